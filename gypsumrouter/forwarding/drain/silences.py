"""How long an answer stood still, as far as that can be told from its pace."""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.drain.const import (
    FIRST_SILENCE_FACTOR,
    MIN_SILENCE_MS,
    PAUSE_SILENCE_FACTOR,
    SILENCE_MS,
)
from gypsumrouter.forwarding.progress import Progress

# With fewer events the pauses of a stream don't tell which of them is usual.
MIN_PACED_EVENTS: Final = 3


def find_pause_ms(progress: Progress, *, total_ms: float) -> float:
    """Return how long a stream stood still after its first event, 0 if it kept its pace.

    At most that is `SILENCE_MS`. `total_ms` is the time since the request arrived.
    """
    if progress.events < MIN_PACED_EVENTS:
        return 0.0
    others_ms = total_ms - progress.first_byte_ms - progress.longest_pause_ms
    usual_ms = max(0.0, others_ms / (progress.events - 2))
    if progress.longest_pause_ms < max(MIN_SILENCE_MS, PAUSE_SILENCE_FACTOR * usual_ms):
        return 0.0
    return min(SILENCE_MS, progress.longest_pause_ms - usual_ms)


def find_silence_before_ms(first_ms: float, *, usual_ms: float) -> float:
    """Return how long an upstream stood still before the first byte of its answer, 0 if it did not.

    At most that is `SILENCE_MS`. `first_ms` is when the byte came, `usual_ms` when it usually does.
    """
    silent_ms = first_ms - usual_ms
    if silent_ms < MIN_SILENCE_MS or first_ms < FIRST_SILENCE_FACTOR * usual_ms:
        return 0.0
    return min(SILENCE_MS, silent_ms)
