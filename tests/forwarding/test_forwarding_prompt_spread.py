"""A prompt in high demand is spread over engines of its order, and others stay where they are."""

from __future__ import annotations

import random

import pytest
from uneven_loads import EVEN, HOT_PROMPT, average, replay_seeds, summarize_first_events

from bench.placements import Outcome
from bench.replay_placer import add_entries, make_ready_entry, make_replay_placer
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.cache_index import COPY_READY_MS
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.placement import Cap, order_by_affinity
from gypsumrouter.forwarding.prompt_spread import (
    MAX_PARTS,
    RATE_MS,
    PromptSpread,
    choose_spread_engine,
)
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.settings import Contention
from gypsumrouter.util.clock import ManualClock

SERVICE = "models"
CAP = Cap(factor=2.0, slack=3.0)
MEAN = 9.0
ENGINES = tuple(f"i-{number}" for number in range(12))
HELD_MS = 2_000
SHARED_TOKENS = 10_000
HOT = 7
SEEDS = (1, 2, 3)


def make_prompt(own: int, *, shared: int = HOT) -> Prompt:
    parts = (PromptPart(part=shared, tokens=SHARED_TOKENS), PromptPart(part=own, tokens=100))
    return Prompt(model="m", parts=parts, input_tokens=SHARED_TOKENS + 100, max_output_tokens=80)


def note_rate(
    spread: PromptSpread, *, per_s: float, from_ms: int = 0, for_ms: int = 5 * RATE_MS
) -> int:
    """Record placements of a part at a constant rate; return the time of the last one."""
    steps = int(for_ms * per_s / 1_000)
    for step in range(1, steps + 1):
        spread.note_placed(HOT, now_ms=from_ms + round(step * 1_000 / per_s))
        spread.note_ended(HOT, held_ms=HELD_MS)
    return from_ms + for_ms


def count_engines(spread: PromptSpread, now_ms: int, *, mean: float = MEAN) -> int:
    return spread.count_engines(HOT, mean=mean, cap=CAP, now_ms=now_ms)


def test_unknown_prompt_stays_at_one_engine() -> None:
    assert count_engines(PromptSpread(), 0) == 1


@pytest.mark.parametrize("per_s", [0.5, 1.0, 2.0])
def test_prompt_that_one_engine_sustains_stays_there(per_s: float) -> None:
    spread = PromptSpread()
    assert count_engines(spread, note_rate(spread, per_s=per_s)) == 1


@pytest.mark.parametrize(("per_s", "least"), [(5.0, 2), (20.0, 6), (40.0, 12)])
def test_engines_are_as_many_as_the_rate_needs(per_s: float, least: int) -> None:
    """An engine holds half of what the cap allows above the mean: 6 requests of 2 s."""
    spread = PromptSpread()
    now_ms = note_rate(spread, per_s=per_s)
    assert spread.estimate_running(HOT, now_ms=now_ms) == pytest.approx(2 * per_s, rel=0.15)
    assert least <= count_engines(spread, now_ms) <= 1.25 * least + 1


def test_spread_ends_within_seconds_after_the_demand() -> None:
    spread = PromptSpread()
    now_ms = note_rate(spread, per_s=20)
    assert count_engines(spread, now_ms) > 5
    assert count_engines(spread, now_ms + 4 * RATE_MS) == 1


def test_more_demand_never_needs_fewer_engines() -> None:
    rng = random.Random(4)
    for _ in range(100):
        spread = PromptSpread()
        spread.note_ended(HOT, held_ms=rng.randrange(0, 10_000))
        mean, last = rng.uniform(0, 60), 1
        for _ in range(200):
            spread.note_placed(HOT, now_ms=0)
            needed = count_engines(spread, 0, mean=mean)
            assert needed >= last
            last = needed


def test_idle_service_and_wrong_times_give_at_least_one_engine() -> None:
    spread = PromptSpread()
    spread.note_ended(HOT, held_ms=0)
    for now_ms in (1_000, 0, 5_000, -7):
        spread.note_placed(HOT, now_ms=now_ms)
        assert spread.count_engines(HOT, mean=0, cap=Cap(factor=1, slack=0), now_ms=now_ms) == 1


def test_tracked_prompts_are_bounded_and_keep_those_in_demand() -> None:
    spread = PromptSpread()
    spread.note_ended(HOT, held_ms=HELD_MS)
    for number in range(3 * MAX_PARTS):
        spread.note_placed(1_000 + number, now_ms=number // 10)
        if number % 100 == 0:
            spread.note_placed(HOT, now_ms=number // 10)
    assert len(spread._demands) == MAX_PARTS
    assert spread.estimate_running(HOT, now_ms=3 * MAX_PARTS // 10) > 50


def test_engines_of_routers_with_different_estimates_are_nested() -> None:
    """Otherwise a prompt would be copied to other engines by each router."""
    rng = random.Random(2)
    order = order_by_affinity(ENGINES, affinity=HOT)
    for _ in range(500):
        n = rng.randrange(1, len(ENGINES) + 5)
        prompt = make_prompt(rng.getrandbits(60))
        chosen = choose_spread_engine(ENGINES, prompt=prompt, affinity=HOT, n=n)
        assert chosen in order[:n]


def test_requests_are_divided_evenly_over_the_engines() -> None:
    counts = dict.fromkeys(ENGINES, 0)
    for own in range(4_000):
        prompt = make_prompt(1_000 + own)
        counts[choose_spread_engine(ENGINES, prompt=prompt, affinity=HOT, n=4)] += 1
    assert sorted(counts.values())[-4:] == pytest.approx([1_000] * 4, rel=0.15)


class Router:
    """The placer of one router with the part, which knows that `i-0` has cached the hot prompt."""

    def __init__(self, *, contention: Contention | None = None) -> None:
        self.clock = ManualClock(now_ms=100_000)
        app = Application(
            name="r", role=Role.FORWARDER, data_centre="dc-0", region="r", clock=self.clock
        )
        journal = Journal(app=app)
        directory = Directory(app=app, journal=journal)
        self.placer = make_replay_placer(
            app=app,
            journal=journal,
            directory=directory,
            cap=CAP,
            contention=contention,
        )
        add_entries(
            directory,
            (
                make_ready_entry(name, service=SERVICE, slots=64, data_centre="dc-0")
                for name in ENGINES
            ),
        )
        for name in ENGINES:
            for _ in range(int(MEAN)):
                self.placer.loads.begin(name, tokens=0)

    def place(self, own: int) -> Placement:
        placed = self.placer.place(service=SERVICE, prompt=make_prompt(own), excluded=())
        assert isinstance(placed, Placement)
        return placed

    def note_peer_placements(self, upstream: str, *, count: int) -> None:
        """Record placements that a peer reports."""
        for _ in range(count):
            self.placer.cache_index.note(part=HOT, upstream=upstream, now_ms=self.clock.now_ms())


def test_hot_prompt_is_copied_to_further_engines_before_the_first_is_full() -> None:
    router = Router(contention=Contention())
    first = router.place(1)
    router.placer.note_ended(router.placer.note_sent(first, make_prompt(1)), held_ms=HELD_MS)
    router.clock.advance(COPY_READY_MS)
    router.note_peer_placements(first.entry.incarnation, count=60)
    placed = [router.place(1_000 + own) for own in range(50)]
    assert len({place.entry.incarnation for place in placed}) > 3
    for place in placed:
        if place.entry.incarnation == first.entry.incarnation:
            assert place.fetch_from is None
        else:
            assert place.fetch_from is not None
            assert place.fetch_from.incarnation == first.entry.incarnation


def test_hot_prompt_that_no_engine_can_copy_yet_stays_at_its_engine() -> None:
    """Spread now, it would be prefilled by each of its engines."""
    router = Router(contention=Contention())
    first = router.place(1)
    router.placer.note_ended(router.placer.note_sent(first, make_prompt(1)), held_ms=HELD_MS)
    router.note_peer_placements(first.entry.incarnation, count=60)
    assert {router.place(own).entry.incarnation for own in range(50)} == {first.entry.incarnation}


def test_hot_prompt_stays_at_its_engine_without_the_setting() -> None:
    router = Router()
    first = router.place(1)
    router.placer.note_ended(router.placer.note_sent(first, make_prompt(1)), held_ms=HELD_MS)
    router.clock.advance(COPY_READY_MS)
    router.note_peer_placements(first.entry.incarnation, count=60)
    assert {router.place(own).entry.incarnation for own in range(50)} == {first.entry.incarnation}


def test_without_reports_of_peers_a_router_counts_its_own_placements() -> None:
    router = Router(contention=Contention())
    for own in range(60):
        prompt = make_prompt(1_000 + own)
        sent = router.placer.note_sent(router.place(1_000 + own), prompt)
        router.placer.note_ended(sent, held_ms=HELD_MS)
        router.clock.advance(20)
    assert len({router.place(5_000 + own).entry.incarnation for own in range(50)}) > 3


def test_listed_cache_contents_are_no_demand() -> None:
    """After its start, a router reads what all engines have cached."""
    router = Router(contention=Contention())
    assert router.placer.uneven_load.prompt_spread is not None
    router.placer.uneven_load.prompt_spread.note_ended(HOT, held_ms=HELD_MS)
    for name in ENGINES * 20:
        router.placer.note_cached(part=HOT, upstream=name)
    assert count_engines(router.placer.uneven_load.prompt_spread, router.clock.now_ms()) == 1


def get_mean_queue_ms(outcome: Outcome) -> float:
    return sum(outcome.queued_ms) / len(outcome.queued_ms)


def test_replay_of_a_hot_prompt_beyond_one_engine() -> None:
    """Without the spread, its requests wait for slots until the load cap diverts them."""
    before = replay_seeds(HOT_PROMPT, SEEDS, mechanism=None)
    after = replay_seeds(HOT_PROMPT, SEEDS, mechanism=Mechanism.PROMPT_SPREAD)
    queued = [average(outcomes, get_mean_queue_ms) for outcomes in (before, after)]
    prefilled_again = [
        average(outcomes, lambda o: o.prefilled_again) for outcomes in (before, after)
    ]
    copied = [average(outcomes, lambda o: o.copied) for outcomes in (before, after)]
    first = [summarize_first_events(outcomes) for outcomes in (before, after)]
    print(f"hot prompt: queued {queued} ms, prefilled again {prefilled_again}, copied {copied}")
    print(f"hot prompt: first events {first}")
    assert queued[1] < 0.3 * queued[0]
    assert prefilled_again[1] < 1.1 * prefilled_again[0]
    assert first[1].p99 < 0.9 * first[0].p99


def test_replay_of_even_demand_is_served_as_before() -> None:
    before = replay_seeds(EVEN, SEEDS[:1], mechanism=None)[0]
    after = replay_seeds(EVEN, SEEDS[:1], mechanism=Mechanism.PROMPT_SPREAD)[0]
    assert after.prefilled_again <= 1.1 * before.prefilled_again
    assert after.copied <= 1.1 * before.copied
    assert sum(after.first_ms) < 1.02 * sum(before.first_ms)
