"""Maximum idle time of pooled connections, and the connections that it saves."""

from __future__ import annotations

from random import Random

import pytest

from gypsumrouter.forwarding.idle_connections import get_max_idle_ms

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
def test_max_idle_time_follows_the_announced_timeout_with_a_margin(
    announced_ms: int | None, repeatable: bool, max_idle_ms: int
) -> None:
    assert get_max_idle_ms(announced_ms, repeatable=repeatable) == max_idle_ms


def test_announced_timeout_avoids_most_reconnects_of_infrequent_pairs() -> None:
    """Each pair exchanges a request every 5.5 s; two of three must not be repeated."""
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
