"""Whether an answer has ended with its last part or in a pause behind it.

Who writes an answer to its end closes the connection then. A process that is ended falls into a
pause between two parts more often than not.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from gypsumrouter.helpers.arrivals import Arrivals

# A shorter mean pause can't be told from the way of the end to this process.
MIN_MEAN_PAUSE_MS: Final = 5
# Part of the mean pause up to which an end belongs to the part before it, and the least time.
WITH_PART_SHARE: Final = 1 / 8
WITH_PART_MS: Final = 2
# A body that takes no longer from its first part to its end has no pause.
AT_ONCE_MS: Final = 50
# A text comes at once, too, if none of its pauses is longer than that, and all of it takes less.
MAX_FLOW_MS: Final = 1_000


class EndTiming(StrEnum):
    """When an answer has ended; the values are in the journal."""

    WITH_PART = "with part"
    AT_ONCE = "at once"
    IN_PAUSE = "in pause"
    UNKNOWN = ""


def read_timing(arrivals: Arrivals, *, ended_ms: int, was_paused: bool, is_text: bool) -> EndTiming:
    """Return when an answer has ended, that was closed at `ended_ms` (monotonic milliseconds).

    Where its reading `was_paused`, the parts have waited, and nothing is known of their pauses. An
    answer without a part shows nothing, either.
    """
    if not arrivals.first_ms:
        return EndTiming.UNKNOWN
    if _came_at_once(arrivals, ended_ms=ended_ms, is_text=is_text):
        return EndTiming.AT_ONCE
    mean_ms = arrivals.mean_pause_ms
    if was_paused or mean_ms < MIN_MEAN_PAUSE_MS:
        return EndTiming.UNKNOWN
    if ended_ms - arrivals.last_ms <= max(WITH_PART_MS, mean_ms * WITH_PART_SHARE):
        return EndTiming.WITH_PART
    return EndTiming.IN_PAUSE


def _came_at_once(arrivals: Arrivals, *, ended_ms: int, is_text: bool) -> bool:
    """Return whether a body came without a pause."""
    taken_ms = ended_ms - arrivals.first_ms
    if taken_ms <= AT_ONCE_MS:
        return True
    longest_ms = max(arrivals.longest_pause_ms, ended_ms - arrivals.last_ms)
    return is_text and taken_ms <= MAX_FLOW_MS and longest_ms <= AT_ONCE_MS
