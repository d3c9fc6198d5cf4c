"""Convergence and robustness of the estimated prefill speed."""

from __future__ import annotations

import random

import pytest

from gypsumrouter.forwarding.prefill_speed import (
    MAX_TOKENS_PER_MS,
    MIN_TOKENS_PER_MS,
    PRIOR_TOKENS_PER_MS,
    PrefillSpeed,
)


@pytest.mark.parametrize("speed", [50.0, 82.0, 112.0, 400.0])
def test_estimate_converges_within_two_hundred_requests(speed: float) -> None:
    """Prompts of mixed sizes, some delayed by work that the router does not know of."""
    rng = random.Random(3)
    prefill_speed = PrefillSpeed()
    for _ in range(200):
        tokens = rng.choice((80, 150, 900, 5_000, 10_000, 14_000))
        waited_ms = rng.choice((0, 0, 0, 0, 30))
        first_event_ms = round(45 + rng.uniform(0, 10) + tokens / speed + waited_ms)
        prefill_speed.note(tokens=tokens, first_event_ms=first_event_ms)
    assert prefill_speed.tokens_per_ms == pytest.approx(speed, rel=0.2)


def test_single_stalled_request_hardly_changes_the_estimate() -> None:
    prefill_speed = PrefillSpeed()
    prefill_speed.note(tokens=10_000, first_event_ms=20_000)
    assert prefill_speed.tokens_per_ms > PRIOR_TOKENS_PER_MS * 0.9


def test_estimate_stays_within_its_bounds() -> None:
    slow, fast = PrefillSpeed(), PrefillSpeed()
    for _ in range(1_000):
        slow.note(tokens=10_000, first_event_ms=60_000)
        fast.note(tokens=10_000, first_event_ms=0)
    assert slow.tokens_per_ms == pytest.approx(MIN_TOKENS_PER_MS)
    assert fast.tokens_per_ms == pytest.approx(MAX_TOKENS_PER_MS)


def test_prompts_of_medium_size_are_ignored() -> None:
    prefill_speed = PrefillSpeed()
    prefill_speed.note(tokens=1_000, first_event_ms=5_000)
    assert prefill_speed.tokens_per_ms == PRIOR_TOKENS_PER_MS
