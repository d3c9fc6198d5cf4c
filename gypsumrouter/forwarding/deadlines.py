"""The deadline that an attempt hands to its upstream, and when the upstream may stop by it."""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.const import RESPONSE_MARGIN_MS, RETURN_TRIP_MS

# An upstream may stop by that much too early: it rounds to milliseconds of its own when it begins
# and when it stops, and its clock may be faster, by up to 1 in 2,000 while it is being set.
ROUNDING_MS: Final = 2
CLOCK_RATIO: Final = 1_000


def get_stop_ms(deadline_ms: int) -> int:
    """Return the time after a request was sent before which no upstream stops by its deadline."""
    return deadline_ms - ROUNDING_MS - deadline_ms // CLOCK_RATIO


def get_handed_ms(remaining_ms: int) -> int:
    """Return the deadline for an upstream of a request that has `remaining_ms` left.

    The upstream stops when the request has reached its limit here, and not before, so that an end
    at its deadline isn't taken for that of its answer. Its caller waits that long.
    """
    remaining_ms = max(1, remaining_ms)
    longer_ms = ROUNDING_MS + remaining_ms // CLOCK_RATIO + 1
    return remaining_ms + min(longer_ms, RESPONSE_MARGIN_MS)


def get_unanswered_ms(remaining_ms: int) -> int:
    """Return the time limit of a request of whose answer nothing was sent to its caller.

    An upstream whose deadline has passed may still say that it has not run the request.
    """
    longer_ms = get_handed_ms(remaining_ms) - remaining_ms + RETURN_TRIP_MS
    return remaining_ms + min(longer_ms, RESPONSE_MARGIN_MS)
