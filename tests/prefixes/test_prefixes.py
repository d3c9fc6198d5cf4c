"""Transfer of cached prefixes between engines; a failed transfer must not fail a request."""

from __future__ import annotations

from prefixes_fakes import (
    BLOCKS,
    CHAT,
    PROMPT,
    WORKSPACE,
    FakeAnswer,
    Side,
    make_request,
)

from gypsumrouter.const import Role, make_engine_chat_id
from gypsumrouter.link.models import Hello
from gypsumrouter.standins.tokens import TOKENS_PER_BLOCK

Sides = tuple[Side, Side, Side]
ALL_TOKENS = len(BLOCKS) * TOKENS_PER_BLOCK
ENGINE_CHAT = make_engine_chat_id(WORKSPACE, CHAT)
EXPORT = "/v1/cache/export"


async def test_prefix_is_fetched_from_primary_holder(sides: Sides) -> None:
    primary, other, _ = sides
    await primary.async_serve(make_request("engine-1", "engine-2"))
    await other.prefixes.async_fetch(make_request("engine-1", "engine-2"))
    assert other.count_held() == ALL_TOKENS


async def test_primary_redirects_to_side_that_served_chat(
    sides: Sides,
) -> None:
    _, other, third = sides
    await third.async_serve(make_request("engine-1", "engine-2"))
    assert third.links.notified == ["engine-1"]
    await other.prefixes.async_fetch(make_request("engine-1", "engine-2"))
    assert other.count_held() == ALL_TOKENS
    assert other.links.requested == [("engine-1", EXPORT), ("engine-3", EXPORT)]


async def test_primary_fetches_prefix_of_returning_chat(sides: Sides) -> None:
    primary, _, third = sides
    await third.async_serve(make_request("engine-1", "engine-2"))
    await primary.prefixes.async_fetch(make_request("engine-1", "engine-2"))
    assert primary.count_held() == ALL_TOKENS


async def test_hinted_holder_is_requested_first(sides: Sides) -> None:
    primary, _, third = sides
    await third.async_serve(make_request("engine-1", "engine-2", "engine-3"))
    await primary.prefixes.async_fetch(make_request("engine-1", "engine-2", "engine-3"))
    assert primary.links.requested == [("engine-3", EXPORT)]


async def test_fetch_without_holders_imports_nothing(sides: Sides) -> None:
    _, other, _ = sides
    await other.prefixes.async_fetch(make_request("engine-1", "engine-2"))
    assert other.count_held() == 0


async def test_unreachable_and_unknown_holders_are_skipped(
    sides: Sides,
) -> None:
    primary, other, _ = sides
    await primary.async_serve(make_request("engine-1", "engine-2"))
    other.links.cut.add("engine-1")
    await other.prefixes.async_fetch(make_request("engine-77", "engine-1"))
    assert other.count_held() == 0


async def test_redirect_loop_is_bounded(sides: Sides) -> None:
    primary, other, third = sides
    await third.async_serve(make_request("engine-1", "engine-2"))
    await primary.async_serve(make_request("engine-3", "engine-1"))
    third.engine.cache.clear()
    primary.engine.cache.clear()
    await other.prefixes.async_fetch(make_request("engine-1", "engine-3"))
    assert len(other.links.requested) <= 3


async def test_small_missing_part_is_not_fetched(sides: Sides) -> None:
    _, other, _ = sides
    await other.async_serve(make_request("engine-2", "engine-1"))
    other.links.requested.clear()
    grown = make_request("engine-2", "engine-1", prompt_bytes=len(PROMPT) + 500)
    await other.prefixes.async_fetch(grown)
    assert other.links.requested == []


async def test_prefix_lost_in_crash_is_fetched_again(sides: Sides) -> None:
    primary, other, _ = sides
    await primary.async_serve(make_request("engine-1", "engine-2"))
    await other.async_serve(make_request("engine-1", "engine-2"))
    primary.engine.cache.clear()
    primary.prefixes.handle_engine_crash()
    await primary.prefixes.async_fetch(make_request("engine-1", "engine-2"))
    assert primary.count_held() == ALL_TOKENS


async def test_planned_stop_hands_off_idle_chats(sides: Sides) -> None:
    draining, other, third = sides
    await draining.async_serve(make_request("engine-1", "engine-2"))
    await draining.app.async_drain()
    assert sorted([other.count_held(), third.count_held()]) == [0, ALL_TOKENS]


async def test_planned_stop_hands_off_chats_that_were_running(sides: Sides) -> None:
    draining, other, third = sides
    request = make_request("engine-1", "engine-2")
    await draining.prefixes.async_fetch(request)

    async def async_end_run() -> None:
        draining.engine.cache.store(chat=ENGINE_CHAT, blocks=BLOCKS)
        draining.prefixes.record_served(request, complete=True)
        draining.prefixes.record_run_ended(request)

    # The drain hooks of runs are called before those of prefixes.
    draining.app._drain_hooks.insert(0, async_end_run)
    await draining.app.async_drain()
    assert sorted([other.count_held(), third.count_held()]) == [0, ALL_TOKENS]


async def test_prefix_requests_from_routers_are_not_served(sides: Sides) -> None:
    primary, _, _ = sides
    await primary.async_serve(make_request("engine-1", "engine-2"))
    router = Hello(name="router-1", role=Role.ROUTER, incarnation=1)
    request = make_request(chat=ENGINE_CHAT, path=EXPORT)
    await primary.handler(router, request, FakeAnswer())  # type: ignore[arg-type]
    assert primary.passed == [request]


def test_engine_chat_name_includes_workspace() -> None:
    assert make_engine_chat_id("plant", "a") != make_engine_chat_id("school", "a")
