"""What the home of a key answers besides a new run."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.link.models import Head
from gypsumrouter.outcomes import Failed, Failure, Refused


class Replay(Struct, frozen=True, kw_only=True):
    """The whole answer of the run that is remembered."""

    head: Head
    body: bytes


CallOutcome = Replay | Failure


def get_call_outcome(failure: Failure, *, from_side: bool) -> Failure:
    """Return what the caller of a call that must not be repeated may be told of its end.

    A refusal speaks of one request. That the call as a whole was not run is only known to its
    home, which never says that another instance may take it. All other refusals leave open
    whether an earlier request with the same key has run.
    """
    match failure:
        case Refused(elsewhere=elsewhere) if elsewhere or not from_side:
            return Failed(
                reason=failure.reason,
                message=failure.message,
                retry_after_ms=failure.retry_after_ms,
            )
        case _:
            return failure
