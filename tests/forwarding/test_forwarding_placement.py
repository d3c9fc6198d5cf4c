"""Loads at their worst, replayed against the placement decision alone."""

from __future__ import annotations

import random

import pytest

from gypsumrouter.forwarding.holdings import CACHE_TTL_MS, COPY_READY_MS, CacheIndex
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
from gypsumrouter.forwarding.reading import PRIOR_TOKENS_PER_MS

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


def test_a_prompt_stays_where_it_is_cached_through_small_differences_of_load() -> None:
    holder = make_candidate("holder", load=9)
    idle = make_candidate("idle", load=2, missing_tokens=PROMPT_TOKENS, off_affinity=True)
    assert place([holder, idle]) == "holder"


def test_a_prompt_in_sudden_demand_spreads_only_when_its_engine_meets_the_cap() -> None:
    """A quarter of all requests ask for one prompt; the cap sends some elsewhere, no more."""
    loads = dict.fromkeys(ENGINES, 0)
    held: set[str] = set()
    copies = 0
    rng = random.Random(4)
    for step in range(600):
        if step >= 60:
            loads[rng.choice([name for name, load in loads.items() if load])] -= 1
        hot = rng.random() < 0.25
        mean = sum(loads.values()) / len(loads)
        candidates = [
            make_candidate(
                name,
                load=load,
                missing_tokens=PROMPT_TOKENS if hot and name not in held else 0,
                fetchable_tokens=PROMPT_TOKENS if hot and held and name not in held else 0,
            )
            for name, load in loads.items()
        ]
        name = place(candidates, mean=mean)
        assert loads[name] + 1 <= max(2 * mean + 3, 3)
        loads[name] += 1
        if hot and name not in held:
            held.add(name)
            copies += 1
    assert copies <= 3


def test_no_engine_is_chosen_above_the_cap_while_another_is_below() -> None:
    busy = make_candidate("busy", load=12)
    other = make_candidate("other", load=4, missing_tokens=PROMPT_TOKENS)
    assert place([busy, other], mean=5.0) == "other"


def test_the_least_loaded_engine_is_chosen_where_all_are_above_the_cap() -> None:
    candidates = [make_candidate("a", load=9), make_candidate("b", load=7)]
    assert place(candidates, mean=1.0) == "b"


def test_a_copy_from_another_engine_is_preferred_to_reading_the_prompt_again() -> None:
    reads = make_candidate("reads", missing_tokens=PROMPT_TOKENS)
    copies = make_candidate("copies", missing_tokens=PROMPT_TOKENS, fetchable_tokens=PROMPT_TOKENS)
    assert place([reads, copies]) == "copies"


def test_engines_that_fail_are_passed_over_but_not_when_all_fail_alike() -> None:
    grey = make_candidate("grey", penalty_ms=600.0)
    sound = make_candidate("sound", missing_tokens=PROMPT_TOKENS)
    assert place([grey, sound]) == "sound"
    grey_too = make_candidate("sound", missing_tokens=PROMPT_TOKENS, penalty_ms=600.0)
    assert place([grey, grey_too]) == "grey"


def test_routers_that_know_nothing_agree_on_the_place_of_a_prompt() -> None:
    """Thirty routers with differing loads send an unknown prompt to one engine."""
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


def test_the_stable_order_moves_little_when_an_engine_joins() -> None:
    moved = sum(
        order_by_affinity(ENGINES, affinity=prompt)[0]
        != order_by_affinity((*ENGINES, "i-new"), affinity=prompt)[0]
        for prompt in range(700)
    )
    assert moved < 700 / len(ENGINES)


@pytest.mark.parametrize(("age_ms", "missing"), [(CACHE_TTL_MS - 1, 200), (CACHE_TTL_MS, 1_200)])
def test_what_was_not_asked_for_in_long_counts_as_evicted(age_ms: int, missing: int) -> None:
    holdings = CacheIndex()
    parts = (PromptPart(part=1, tokens=1_000), PromptPart(part=2, tokens=200))
    holdings.note(part=1, upstream="a", now_ms=0)
    assert holdings.missing_tokens(parts=parts, upstream="a", now_ms=age_ms) == missing


def test_a_part_counts_only_if_all_parts_before_it_are_held() -> None:
    holdings = CacheIndex()
    parts = (PromptPart(part=1, tokens=1_000), PromptPart(part=2, tokens=200))
    holdings.note(part=2, upstream="a", now_ms=0)
    assert holdings.missing_tokens(parts=parts, upstream="a", now_ms=1) == 1_200


def test_a_part_can_be_copied_only_after_it_was_read() -> None:
    holdings = CacheIndex()
    holdings.note(part=1, upstream="a", now_ms=0)
    assert holdings.list_copy_sources(1, now_ms=COPY_READY_MS - 1) == ()
    assert holdings.list_copy_sources(1, now_ms=COPY_READY_MS) == ("a",)
    holdings.note_cached(part=2, upstream="b", now_ms=0)
    assert holdings.list_copy_sources(2, now_ms=0) == ("b",)


def test_loads_of_all_routers_are_added_and_a_vanished_router_counts_no_more() -> None:
    book = LoadTracker()
    book.begin("a", tokens=500)
    told = {"a": UpstreamLoad(running=4, pending_tokens=100)}
    book.set_peer_loads("entry-2", PeerLoads(received_ms=10, loads=told))
    assert book.get("a", now_ms=10) == UpstreamLoad(running=5, pending_tokens=600)
    assert get_mean(book.get_all(["a", "b"], now_ms=10)) == 2.5
    late_ms = 10 + PEER_LOADS_TTL_MS + 1
    assert book.get("a", now_ms=late_ms) == UpstreamLoad(running=1, pending_tokens=500)
    book.note_prefilled("a", tokens=500)
    book.end("a")
    assert book.get("a", now_ms=late_ms) == UpstreamLoad(running=0, pending_tokens=0)


def test_prompts_that_a_peer_told_of_are_read_on_while_its_news_grow_old() -> None:
    """Thirty routers tell each other twice a second; an engine reads a long prompt in 0.125 s."""
    book = LoadTracker()
    told = UpstreamLoad(running=3, pending_tokens=10_000)
    book.set_peer_loads("entry-2", PeerLoads(received_ms=0, loads={"i-1": told}))
    assert book.get("i-1", now_ms=0).pending_tokens == 10_000
    read = 50 * PRIOR_TOKENS_PER_MS
    assert book.get("i-1", now_ms=50).pending_tokens == 10_000 - read
    assert book.get("i-1", now_ms=450) == UpstreamLoad(running=3, pending_tokens=0)


def test_kept_sums_are_what_adding_up_every_peer_anew_gives() -> None:
    """Peers tell, fall silent and come back in any order."""
    rng = random.Random(11)
    book = LoadTracker()
    told: dict[str, PeerLoads] = {}
    for now_ms in range(0, 20_000, 50):
        peer = f"entry-{rng.randrange(6)}"
        if rng.random() < 0.3:
            loads = {
                name: UpstreamLoad(running=rng.randrange(4), pending_tokens=rng.randrange(9_000))
                for name in rng.sample(ENGINES, rng.randrange(len(ENGINES)))
            }
            told[peer] = PeerLoads(received_ms=now_ms, loads=loads)
            book.set_peer_loads(peer, told[peer])
        heard = [news for news in told.values() if now_ms - news.received_ms <= PEER_LOADS_TTL_MS]
        for name in ENGINES:
            running = sum(news.loads[name].running for news in heard if name in news.loads)
            assert book.get(name, now_ms=now_ms).running == running


def test_nothing_is_kept_of_upstreams_that_ended() -> None:
    """Ids of upstreams are never used again; thousands of them pass in a process's life."""
    book = LoadTracker()
    for number in range(100):
        load = UpstreamLoad(running=1, pending_tokens=50)
        book.set_peer_loads("entry-2", PeerLoads(received_ms=number, loads={f"i-{number}": load}))
    book.set_peer_loads("entry-2", PeerLoads(received_ms=100, loads={}))
    assert book._peer_running == {}
    assert book._peer_pending == {}
