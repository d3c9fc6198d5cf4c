"""How long connections to upstreams are kept, and what that saves where pairs meet seldom."""

from __future__ import annotations

from random import Random

import pytest

from gypsumrouter.forwarding.keep_alive import get_max_idle_ms

ANNOUNCED_MS = 10_000


@pytest.mark.parametrize(
    ("announced_ms", "repeatable", "max_idle_ms"),
    [
        (None, True, 4_000),
        (None, False, 1_500),
        (10_000, True, 9_000),
        (10_000, False, 5_000),
        (2_000, True, 1_000),
        (2_000, False, 1_000),
        (1_000, True, 0),
        (0, False, 0),
    ],
)
def test_an_announced_time_is_kept_with_a_margin(
    announced_ms: int | None, repeatable: bool, max_idle_ms: int
) -> None:
    assert get_max_idle_ms(announced_ms, repeatable=repeatable) == max_idle_ms


def test_pairs_that_meet_each_few_seconds_keep_their_connections() -> None:
    """68 routers before 39 engines: a pair meets every 5.5 s, two of three not to be repeated."""
    random = Random(1)
    opened = {ANNOUNCED_MS: 0, None: 0}
    requests = 5_000
    for _ in range(requests):
        idle_ms = random.expovariate(1 / 5_500)
        repeatable = random.random() < 1 / 3
        for announced_ms in opened:
            opened[announced_ms] += idle_ms >= get_max_idle_ms(announced_ms, repeatable=repeatable)
    assert opened[None] > 0.65 * requests
    assert opened[ANNOUNCED_MS] < 0.35 * requests
