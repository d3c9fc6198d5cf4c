"""The failure that is reported to the caller of a call with an idempotency key."""

from __future__ import annotations

from gypsumrouter.gateway.attempts import Attempts
from gypsumrouter.gateway.models import Call
from gypsumrouter.idempotency import get_call_outcome
from gypsumrouter.outcomes import Failure


def get_reported_failure(*, call: Call, attempts: Attempts, failure: Failure) -> Failure:
    """Return the failure to report to the caller.

    An earlier request with the same key may have run. Only a refusal by the instance that owns the
    key excludes this; any other refusal is reported as an unknown outcome.
    """
    if call.repeatable:
        return failure
    from_side = bool(attempts.refusals) and failure is attempts.refusals[-1]
    return get_call_outcome(failure, from_side=from_side)
