"""The speed of each engine: learning, bounds, recovery, and its effect on placement."""

from __future__ import annotations

import random

import pytest
from uneven_loads import (
    EVEN,
    THREE_SPEEDS,
    replay_seeds,
    summarize_first_events,
)

from gypsumrouter.forwarding.engine_speed import (
    HALF_LIFE_MS,
    MAX_SLOWNESS,
    EngineSpeeds,
)
from gypsumrouter.forwarding.loads import LoadTracker, PeerLoads, UpstreamLoad
from gypsumrouter.forwarding.placement import Candidate, Cap, choose
from gypsumrouter.forwarding.prefill_speed import PrefillSpeed
from gypsumrouter.mechanisms import Mechanism

SLOW, FAST = "slow", "fast"
# Time between two requests to an engine, and how many of them.
STEP_MS = 200
STEPS = 100
SEEDS = (1, 2, 3)


def feed(
    speeds: EngineSpeeds,
    upstream: str,
    *,
    slowdown: float,
    from_ms: int,
    steps: int = STEPS,
    base_ms: float = 45.0,
    seed: int = 1,
) -> int:
    """Record prompts of mixed sizes at an engine that is slower by a factor; return the time."""
    rng = random.Random(seed)
    now_ms = from_ms
    for _ in range(steps):
        now_ms += STEP_MS
        tokens = rng.choice((150, 400, 900, 1_300, 3_000, 11_000))
        first_event_ms = round(base_ms + rng.uniform(-10, 10) + slowdown * tokens / 80)
        speeds.note(upstream, tokens=tokens, first_event_ms=first_event_ms, now_ms=now_ms)
    return now_ms


def make_speeds(*, slowdown: float) -> tuple[EngineSpeeds, int]:
    """Return the speeds of a slow engine among five fast ones, and the time."""
    speeds = EngineSpeeds(service=PrefillSpeed())
    now_ms = 0
    for step in range(STEPS):
        for number in range(5):
            feed(speeds, f"{FAST}-{number}", slowdown=1, from_ms=now_ms, steps=1, seed=step)
        now_ms = feed(speeds, SLOW, slowdown=slowdown, from_ms=now_ms, steps=1, seed=step)
    return speeds, now_ms


def test_engine_without_measurements_has_the_speed_of_all() -> None:
    service = PrefillSpeed()
    speeds = EngineSpeeds(service=service)
    assert speeds.get_slowness("new", now_ms=0) == 1.0
    assert speeds.get_tokens_per_ms("new", now_ms=0) == service.tokens_per_ms


@pytest.mark.parametrize("slowdown", [1.5, 2.0, 3.0])
def test_slow_engine_is_told_from_fast_ones(slowdown: float) -> None:
    speeds, now_ms = make_speeds(slowdown=slowdown)
    slowness = speeds.get_slowness(SLOW, now_ms=now_ms)
    fast = speeds.get_slowness(f"{FAST}-0", now_ms=now_ms)
    assert fast < 1.2
    assert 0.6 * slowdown < slowness / fast < 1.5 * slowdown


def test_wrong_base_time_makes_no_engine_look_slow() -> None:
    """Engines with many measurements must not differ from those with few.

    The first events of all engines take 60 ms longer than the prior says.
    """
    speeds = EngineSpeeds(service=PrefillSpeed())
    now_ms = feed(speeds, "busy", slowdown=1, from_ms=0, base_ms=120, steps=300)
    assert speeds.get_slowness("busy", now_ms=now_ms) == pytest.approx(1.0, abs=0.3)


def test_recovered_engine_without_work_regains_its_share_within_seconds() -> None:
    speeds, now_ms = make_speeds(slowdown=4.0)
    before = speeds.get_slowness(SLOW, now_ms=now_ms) - 1
    after = speeds.get_slowness(SLOW, now_ms=now_ms + 4 * HALF_LIFE_MS) - 1
    assert before > 1
    assert after < 0.3 * before
    assert speeds.get_slowness(SLOW, now_ms=now_ms + 60_000) == pytest.approx(1.0, abs=0.01)


def test_recovered_engine_with_work_regains_its_share_within_four_seconds() -> None:
    speeds, now_ms = make_speeds(slowdown=4.0)
    now_ms = feed(speeds, SLOW, slowdown=1, from_ms=now_ms, steps=4_000 // STEP_MS)
    assert speeds.get_slowness(SLOW, now_ms=now_ms) < 1.3


def test_wrong_measurement_is_bounded_and_forgotten() -> None:
    """A request that waited for something else must not keep all work away from its engine."""
    speeds = EngineSpeeds(service=PrefillSpeed())
    feed(speeds, "other", slowdown=1, from_ms=0)
    speeds.note(SLOW, tokens=10_000, first_event_ms=600_000, now_ms=0)
    assert speeds.get_slowness(SLOW, now_ms=0) <= MAX_SLOWNESS
    assert speeds.get_slowness(SLOW, now_ms=8 * HALF_LIFE_MS) < 1.1


def test_slowness_stays_within_its_bounds() -> None:
    rng = random.Random(5)
    speeds = EngineSpeeds(service=PrefillSpeed())
    now_ms = 0
    for _ in range(2_000):
        now_ms += rng.choice((0, 1, 50, 5_000, -30))
        tokens = rng.choice((-5, 0, 1, 300, 20_000, 10**9))
        first_event_ms = rng.choice((0, 1, 80, 10**7))
        speeds.note("i-1", tokens=tokens, first_event_ms=first_event_ms, now_ms=now_ms)
        for later_ms in (0, 100, 10**9):
            slowness = speeds.get_slowness("i-1", now_ms=now_ms + later_ms)
            assert 1 / MAX_SLOWNESS <= slowness <= MAX_SLOWNESS


def test_removed_engines_are_forgotten() -> None:
    speeds, now_ms = make_speeds(slowdown=3.0)
    speeds.forget(SLOW)
    assert speeds.get_slowness(SLOW, now_ms=now_ms) == 1.0
    # A response that arrives after the removal must not keep the engine for ever.
    for number in range(1_000):
        speeds.note(f"gone-{number}", tokens=500, first_event_ms=90, now_ms=now_ms)
    speeds.sweep(now_ms=now_ms + 60_000)
    assert not speeds._by_upstream


def test_slow_engine_gets_less_work_but_not_none() -> None:
    """With a constant exclusion, a slow engine would idle while the others have queues."""

    def place(pending: int) -> str:
        candidates = [
            Candidate(upstream=name, load=5, slots=64, same_data_centre=True, **state)
            for name, state in (
                (SLOW, {"slowness": 3.0}),
                (FAST, {"pending_tokens": pending}),
            )
        ]
        chosen = choose(
            candidates,
            cap=Cap(factor=2, slack=3),
            mean=5,
            shared_tokens=0,
            cached=False,
            own_tokens=4_000,
        )
        assert chosen is not None
        return chosen.upstream

    assert place(0) == FAST
    assert place(4_000) == FAST
    assert place(12_000) == SLOW


def test_pending_prefill_of_peers_ends_later_at_a_slow_engine() -> None:
    speeds, now_ms = make_speeds(slowdown=3.0)
    loads = LoadTracker(prefill_speed=PrefillSpeed(), engine_speeds=speeds)
    load = UpstreamLoad(running=1, pending_tokens=20_000)
    report = PeerLoads(received_ms=now_ms, loads={SLOW: load, f"{FAST}-0": load})
    loads.set_peer_loads("p", report)
    pending = loads.get_all((SLOW, f"{FAST}-0"), now_ms=now_ms + 100)
    assert pending[SLOW].pending_tokens > pending[f"{FAST}-0"].pending_tokens + 3_000


def test_replay_of_engines_of_three_speeds() -> None:
    """Without speeds of their own, the slow engines get as much to prefill as the fast ones."""
    before = summarize_first_events(replay_seeds(THREE_SPEEDS, SEEDS, mechanism=None))
    after = summarize_first_events(
        replay_seeds(THREE_SPEEDS, SEEDS, mechanism=Mechanism.ENGINE_SPEED)
    )
    print(f"three speeds: before {before}, after {after}")
    assert after.mean < 0.96 * before.mean
    assert after.p99 < 0.9 * before.p99
    assert after.worst < 1.2 * before.worst


def test_replay_of_equal_engines_is_served_as_before() -> None:
    """Noise in the measurements must not divert prompts from the engines that cached them."""
    before = summarize_first_events(replay_seeds(EVEN, SEEDS, mechanism=None))
    after = summarize_first_events(replay_seeds(EVEN, SEEDS, mechanism=Mechanism.ENGINE_SPEED))
    print(f"equal engines: before {before}, after {after}")
    assert after.mean < 1.03 * before.mean
    assert after.p99 < 1.1 * before.p99
