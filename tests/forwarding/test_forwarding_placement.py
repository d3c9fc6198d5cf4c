"""The placement decision, the cache index and the load tracker under extreme loads."""

from __future__ import annotations

import random

import pytest

from gypsumrouter.forwarding.cache_index import CACHE_TTL_MS, COPY_READY_MS, CacheIndex
from gypsumrouter.forwarding.loads import (
    PEER_LOADS_TTL_MS,
    LoadTracker,
    PeerLoads,
    UpstreamLoad,
    get_mean,
)
from gypsumrouter.forwarding.models import PromptPart
from gypsumrouter.forwarding.placement import (
    Candidate,
    Cap,
    choose,
    order_by_affinity,
)
from gypsumrouter.forwarding.prefill_speed import PRIOR_TOKENS_PER_MS

CAP = Cap(factor=2.0, slack=2.0)
ENGINES = tuple(f"i-{number}" for number in range(6))
PROMPT_TOKENS = 10_000


def make_candidate(upstream: str, **more: object) -> Candidate:
    values: dict[str, object] = {"load": 5, "slots": 64, "same_data_centre": True, **more}
    return Candidate(upstream=upstream, **values)  # type: ignore[arg-type]


def place(candidates: list[Candidate], *, mean: float = 5.0, cached: bool = True) -> str:
    chosen = choose(candidates, cap=CAP, mean=mean, shared_tokens=PROMPT_TOKENS, cached=cached)
    assert chosen is not None
    return chosen.upstream


def test_prompt_stays_at_its_engine_despite_small_load_differences() -> None:
    cached = make_candidate("cached", load=9)
    idle = make_candidate("idle", load=2, missing_tokens=PROMPT_TOKENS, off_affinity=True)
    assert place([cached, idle]) == "cached"


def test_popular_prompt_spreads_only_when_its_engine_reaches_the_cap() -> None:
    """A quarter of all requests have the same prompt; only the cap makes copies necessary."""
    loads = dict.fromkeys(ENGINES, 0)
    cached_at: set[str] = set()
    copies = 0
    rng = random.Random(4)
    for step in range(600):
        if step >= 60:
            loads[rng.choice([name for name, load in loads.items() if load])] -= 1
        popular = rng.random() < 0.25
        mean = sum(loads.values()) / len(loads)
        candidates = [
            make_candidate(
                name,
                load=load,
                missing_tokens=PROMPT_TOKENS if popular and name not in cached_at else 0,
                fetchable_tokens=(
                    PROMPT_TOKENS if popular and cached_at and name not in cached_at else 0
                ),
            )
            for name, load in loads.items()
        ]
        name = place(candidates, mean=mean)
        assert loads[name] + 1 <= max(2 * mean + 3, 3)
        loads[name] += 1
        if popular and name not in cached_at:
            cached_at.add(name)
            copies += 1
    assert copies <= 3


def test_engine_above_the_cap_is_not_chosen_while_another_is_below() -> None:
    busy = make_candidate("busy", load=12)
    other = make_candidate("other", load=4, missing_tokens=PROMPT_TOKENS)
    assert place([busy, other], mean=5.0) == "other"


def test_least_loaded_engine_is_chosen_if_all_are_above_the_cap() -> None:
    candidates = [make_candidate("a", load=9), make_candidate("b", load=7)]
    assert place(candidates, mean=1.0) == "b"


def test_copy_from_another_engine_is_preferred_to_redundant_prefill() -> None:
    prefills = make_candidate("prefills", missing_tokens=PROMPT_TOKENS)
    copies = make_candidate("copies", missing_tokens=PROMPT_TOKENS, fetchable_tokens=PROMPT_TOKENS)
    assert place([prefills, copies]) == "copies"


def test_failing_engine_is_avoided_unless_all_fail_alike() -> None:
    failing = make_candidate("failing", penalty_ms=600.0)
    healthy = make_candidate("healthy", missing_tokens=PROMPT_TOKENS)
    assert place([failing, healthy]) == "healthy"
    failing_too = make_candidate("healthy", missing_tokens=PROMPT_TOKENS, penalty_ms=600.0)
    assert place([failing, failing_too]) == "failing"


def test_routers_agree_on_the_engine_of_a_prompt_that_is_cached_nowhere() -> None:
    """Thirty routers with different views of the load send the prompt to one engine."""
    rng = random.Random(7)
    first = order_by_affinity(ENGINES, affinity=99)[0]
    chosen = set()
    for _ in range(30):
        candidates = [
            make_candidate(
                name,
                load=rng.randint(3, 8),
                missing_tokens=PROMPT_TOKENS,
                off_affinity=name != first,
            )
            for name in ENGINES
        ]
        chosen.add(place(candidates, cached=False))
    assert chosen == {first}


def test_few_prompts_change_their_first_engine_when_an_engine_joins() -> None:
    moved = sum(
        order_by_affinity(ENGINES, affinity=prompt)[0]
        != order_by_affinity((*ENGINES, "i-new"), affinity=prompt)[0]
        for prompt in range(700)
    )
    assert moved < 700 / len(ENGINES)


@pytest.mark.parametrize(("age_ms", "missing"), [(CACHE_TTL_MS - 1, 200), (CACHE_TTL_MS, 1_200)])
def test_part_counts_as_evicted_after_the_cache_ttl(age_ms: int, missing: int) -> None:
    cache_index = CacheIndex()
    parts = (PromptPart(part=1, tokens=1_000), PromptPart(part=2, tokens=200))
    cache_index.note(part=1, upstream="a", now_ms=0)
    assert cache_index.missing_tokens(parts=parts, upstream="a", now_ms=age_ms) == missing


def test_part_counts_as_cached_only_if_all_parts_before_it_are() -> None:
    cache_index = CacheIndex()
    parts = (PromptPart(part=1, tokens=1_000), PromptPart(part=2, tokens=200))
    cache_index.note(part=2, upstream="a", now_ms=0)
    assert cache_index.missing_tokens(parts=parts, upstream="a", now_ms=1) == 1_200


def test_part_can_be_copied_only_after_its_prefill() -> None:
    cache_index = CacheIndex()
    cache_index.note(part=1, upstream="a", now_ms=0)
    assert cache_index.list_copy_sources(1, now_ms=COPY_READY_MS - 1) == ()
    assert cache_index.list_copy_sources(1, now_ms=COPY_READY_MS) == ("a",)
    cache_index.note_cached(part=2, upstream="b", now_ms=0)
    assert cache_index.list_copy_sources(2, now_ms=0) == ("b",)


def test_loads_of_all_routers_are_summed_until_a_report_expires() -> None:
    tracker = LoadTracker()
    tracker.begin("a", tokens=500)
    loads = {"a": UpstreamLoad(running=4, pending_tokens=100)}
    tracker.set_peer_loads("entry-2", PeerLoads(received_ms=10, loads=loads))
    assert tracker.get("a", now_ms=10) == UpstreamLoad(running=5, pending_tokens=600)
    assert get_mean(tracker.get_all(["a", "b"], now_ms=10)) == 2.5
    late_ms = 10 + PEER_LOADS_TTL_MS + 1
    assert tracker.get("a", now_ms=late_ms) == UpstreamLoad(running=1, pending_tokens=500)
    tracker.note_prefilled("a", tokens=500)
    tracker.end("a")
    assert tracker.get("a", now_ms=late_ms) == UpstreamLoad(running=0, pending_tokens=0)


def test_pending_tokens_of_a_peer_decrease_with_the_age_of_its_report() -> None:
    """Peers report twice a second; an engine prefills a long prompt in 0.125 s."""
    tracker = LoadTracker()
    report = UpstreamLoad(running=3, pending_tokens=10_000)
    tracker.set_peer_loads("entry-2", PeerLoads(received_ms=0, loads={"i-1": report}))
    assert tracker.get("i-1", now_ms=0).pending_tokens == 10_000
    prefilled = 50 * PRIOR_TOKENS_PER_MS
    assert tracker.get("i-1", now_ms=50).pending_tokens == 10_000 - prefilled
    assert tracker.get("i-1", now_ms=450) == UpstreamLoad(running=3, pending_tokens=0)


def test_incremental_sums_equal_the_sums_over_all_peers() -> None:
    """Reports of peers arrive, expire and resume in random order."""
    rng = random.Random(11)
    tracker = LoadTracker()
    reports: dict[str, PeerLoads] = {}
    for now_ms in range(0, 20_000, 50):
        peer = f"entry-{rng.randrange(6)}"
        if rng.random() < 0.3:
            loads = {
                name: UpstreamLoad(running=rng.randrange(4), pending_tokens=rng.randrange(9_000))
                for name in rng.sample(ENGINES, rng.randrange(len(ENGINES)))
            }
            reports[peer] = PeerLoads(received_ms=now_ms, loads=loads)
            tracker.set_peer_loads(peer, reports[peer])
        current = [
            report
            for report in reports.values()
            if now_ms - report.received_ms <= PEER_LOADS_TTL_MS
        ]
        for name in ENGINES:
            running = sum(report.loads[name].running for report in current if name in report.loads)
            assert tracker.get(name, now_ms=now_ms).running == running


def test_no_state_is_kept_of_upstreams_that_are_no_longer_reported() -> None:
    """Upstream ids are not reused, so leftover entries would be a memory leak."""
    tracker = LoadTracker()
    for number in range(100):
        load = UpstreamLoad(running=1, pending_tokens=50)
        tracker.set_peer_loads(
            "entry-2", PeerLoads(received_ms=number, loads={f"i-{number}": load})
        )
    tracker.set_peer_loads("entry-2", PeerLoads(received_ms=100, loads={}))
    assert tracker._peer_running == {}
    assert tracker._peer_pending == {}
