"""Prefix cache of the stand-in engine and its events."""

from __future__ import annotations

from gypsumrouter.standins.cache import CacheEventKind, CacheEventLog, PrefixCache
from gypsumrouter.standins.tokens import (
    TOKENS_PER_BLOCK,
    Message,
    count_tokens,
    hash_blocks,
    make_text,
    render_prompt,
)
from gypsumrouter.util.clock import ManualClock

MODEL = "gypsum-chat"


def make_cache(
    clock: ManualClock, *, blocks: int = 1_000, lag_ms: int = 0, loss: float = 0.0
) -> PrefixCache:
    events = CacheEventLog(clock=clock, lag_ms=lag_ms, loss=loss, seed=7)
    return PrefixCache(capacity_tokens=blocks * TOKENS_PER_BLOCK, events=events)


def hash_chat(*contents: str, model: str = MODEL) -> tuple[int, ...]:
    messages = [Message(role="user", content=content) for content in contents]
    return hash_blocks(render_prompt(messages), model=model)


def test_next_turn_reuses_all_full_blocks_of_the_previous_turn(clock: ManualClock) -> None:
    cache = make_cache(clock)
    first = hash_chat("a" * 1_000)
    cache.store(chat="c", blocks=first)
    second = hash_chat("a" * 1_000, "b" * 500)
    assert cache.find_prefix(second) == len(first) * TOKENS_PER_BLOCK
    assert second[: len(first)] == first


def test_prompt_with_different_first_block_has_no_cached_prefix(clock: ManualClock) -> None:
    cache = make_cache(clock)
    cache.store(chat="c", blocks=hash_chat("a" * 1_000))
    assert cache.find_prefix(hash_chat("b" + "a" * 999)) == 0


def test_cached_prefix_is_not_shared_between_models(clock: ManualClock) -> None:
    cache = make_cache(clock)
    cache.store(chat="c", blocks=hash_chat("a" * 1_000))
    assert cache.find_prefix(hash_chat("a" * 1_000, model="other")) == 0


def test_chats_share_the_blocks_of_a_common_prefix(clock: ManualClock) -> None:
    cache = make_cache(clock)
    cache.store(chat="c", blocks=hash_chat("a" * 1_000, "x" * 200))
    held = cache.tokens
    shared = cache.find_prefix(hash_chat("a" * 1_000, "y" * 200))
    assert shared >= 240
    cache.store(chat="d", blocks=hash_chat("a" * 1_000, "y" * 200))
    assert cache.tokens < 2 * held


def test_least_recently_used_chat_is_evicted_from_its_end(clock: ManualClock) -> None:
    cache = make_cache(clock, blocks=25)
    old, used, new = (hash_chat(letter * 640) for letter in "abc")
    cache.store(chat="old", blocks=old)
    cache.store(chat="used", blocks=used)
    cache.find_prefix(used)
    cache.store(chat="new", blocks=new)
    assert cache.find_prefix(used) == len(used) * TOKENS_PER_BLOCK
    assert cache.find_prefix(new) == len(new) * TOKENS_PER_BLOCK
    assert cache.tokens == 25 * TOKENS_PER_BLOCK
    assert len(cache.export("old")) < len(old)
    assert cache.export("old") == old[: len(cache.export("old"))]


def test_prompt_larger_than_the_cache_keeps_its_prefix(clock: ManualClock) -> None:
    cache = make_cache(clock, blocks=5)
    blocks = hash_chat("a" * 2_000)
    cache.store(chat="c", blocks=blocks)
    assert cache.export("c") == blocks[:5]


def test_exported_blocks_are_reusable_after_import(clock: ManualClock) -> None:
    source, target = make_cache(clock), make_cache(clock)
    blocks = hash_chat("a" * 2_000)
    source.store(chat="c", blocks=blocks)
    target.store(chat="c", blocks=source.export("c"))
    assert target.find_prefix(blocks) == len(blocks) * TOKENS_PER_BLOCK


def test_events_are_reported_after_the_lag_and_only_once(clock: ManualClock) -> None:
    cache = make_cache(clock, blocks=20, lag_ms=500)
    cache.store(chat="c", blocks=hash_chat("a" * 1_000))
    assert cache.events.list_after(0) == ()
    clock.advance(500)
    (event,) = cache.events.list_after(0)
    assert (event.kind, event.chat, event.tokens) == (CacheEventKind.STORED, "c", 240)
    assert cache.events.list_after(event.seq) == ()


def test_eviction_event_names_the_evicted_chat(clock: ManualClock) -> None:
    cache = make_cache(clock, blocks=15)
    cache.store(chat="old", blocks=hash_chat("a" * 960))
    cache.store(chat="new", blocks=hash_chat("b" * 960))
    kinds = [(event.kind, event.chat) for event in cache.events.list_after(0)]
    assert (CacheEventKind.EVICTED, "old") in kinds


def test_lost_events_leave_gaps_that_depend_only_on_the_seed(
    clock: ManualClock,
) -> None:
    seen = []
    for _ in range(2):
        cache = make_cache(clock, loss=0.3)
        for index in range(100):
            cache.store(chat=f"c{index}", blocks=hash_chat(f"{index}" * 200))
        seen.append([event.seq for event in cache.events.list_after(0)])
    assert seen[0] == seen[1]
    assert 40 < len(seen[0]) < 95


def test_completion_text_and_token_count_are_deterministic() -> None:
    assert make_text("abc", 3) == "abc w1 w2"
    assert count_tokens(b"12345") == 2
