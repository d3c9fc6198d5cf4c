"""Outcomes of an at-most-once call."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.link.models import Head
from gypsumrouter.outcomes import Failed, Failure, Refused


class Replay(Struct, frozen=True, kw_only=True):
    """The stored response of an earlier run."""

    head: Head
    body: bytes


CallOutcome = Replay | Failure


def get_call_outcome(failure: Failure, *, from_side: bool) -> Failure:
    """Return the failure of a call as it may be reported to the caller.

    Only the owner of the key knows that no request with it has run; it reports this by a `Refused`
    without `elsewhere`. A refusal by a router, or one with `elsewhere`, leaves open whether an
    earlier request with the same key has run, so it is returned as `Failed`.
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
