"""What a caller may be told of a call that must not be repeated."""

from __future__ import annotations

from gypsumrouter.gateway.attempts import Attempts
from gypsumrouter.gateway.models import Call
from gypsumrouter.idempotency import get_call_outcome
from gypsumrouter.outcomes import Failure


def get_reported_failure(*, call: Call, attempts: Attempts, failure: Failure) -> Failure:
    """Return the failure as the caller may hear it.

    A refusal by this router, or by a side that is not the key's home, leaves open whether an
    earlier request with the same key has run. Only the home may say that none has.
    """
    if call.repeatable:
        return failure
    from_side = bool(attempts.refusals) and failure is attempts.refusals[-1]
    return get_call_outcome(failure, from_side=from_side)
