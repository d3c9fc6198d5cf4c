"""How long an answer stood still, as far as other answers of its upstream tell."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from gypsumrouter.forwarding.drain.const import (
    FIRST_SILENCE_FACTOR,
    MEDIAN,
    MIN_SILENCE_MS,
    PAUSE_SILENCE_FACTOR,
    SILENCE_MS,
)
from gypsumrouter.forwarding.drain.paces import SeenAnswer, find_quantile
from gypsumrouter.forwarding.progress import Progress

# With fewer answers the pauses of an upstream don't tell which of them is usual.
MIN_PACED_ANSWERS: Final = 3


def find_pause_ms(progress: Progress, *, seen: Sequence[SeenAnswer]) -> float:
    """Return how long a stream stood still after its first event, 0 if it kept its pace.

    At most that is `SILENCE_MS`. `seen` are earlier answers of its upstream: engines may send
    several events at once, with a pause between, or wait behind a first event that says nothing.
    """
    if len(seen) < MIN_PACED_ANSWERS:
        return 0.0
    usual_ms = find_quantile((answer.longest_pause_ms for answer in seen), MEDIAN)
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
