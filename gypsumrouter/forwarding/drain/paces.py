"""Paces of upstreams, by the answers that were seen of them."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from gypsumrouter.forwarding.drain.const import LATEST_FIRST_MS, SLOWEST_MS_PER_TOKEN
from gypsumrouter.forwarding.models import Prompt


class SeenAnswer(NamedTuple):
    """An answer of an upstream: time to its first event, and pace for each token asked for.

    The pace is None if the answer shows none. `longest_pause_ms` is the longest wait for a part of
    it behind the first. `tokens` is the size of its prompt, and `ended_ms` when it ended (monotonic
    milliseconds).
    """

    first_ms: float
    ms_per_token: float | None
    longest_pause_ms: int
    tokens: int
    ended_ms: int


class Pace(NamedTuple):
    """The pace of an upstream as it was known at a time (monotonic milliseconds).

    `first_ms` is for prompts of at most `longest` tokens.
    """

    known_at_ms: int
    first_ms: float
    longest: int
    ms_per_token: float

    def estimate_first_ms(self, prompt: Prompt | None) -> float:
        """Return how long the first event of an answer takes, or an answer without events.

        With a prompt that is longer than those seen it takes longer.
        """
        if prompt is None or not self.longest:
            return self.first_ms
        return self.first_ms * max(1.0, prompt.input_tokens / self.longest)

    def estimate_ms(self, prompt: Prompt | None) -> float:
        """Return how long an answer takes."""
        first_ms = self.estimate_first_ms(prompt)
        if prompt is None:
            return first_ms
        return first_ms + self.ms_per_token * max(0, prompt.max_output_tokens - 1)


def estimate_slowest_ms(prompt: Prompt) -> float:
    """Return how long an answer takes at the slowest upstream that is expected."""
    return LATEST_FIRST_MS + SLOWEST_MS_PER_TOKEN * prompt.max_output_tokens


def find_pace(seen: Sequence[SeenAnswer], quantile: float, now_ms: int) -> Pace:
    """Return the pace of the upstream of these answers."""
    paces = [answer.ms_per_token for answer in seen if answer.ms_per_token is not None]
    return Pace(
        known_at_ms=now_ms,
        first_ms=find_quantile([answer.first_ms for answer in seen], quantile),
        longest=max(answer.tokens for answer in seen),
        ms_per_token=find_quantile(paces, quantile) if paces else SLOWEST_MS_PER_TOKEN,
    )


def find_quantile(values: Iterable[float], quantile: float) -> float:
    """Return the smallest value that is no less than a share of the values."""
    ordered = sorted(values)
    return ordered[math.ceil(quantile * len(ordered)) - 1]
