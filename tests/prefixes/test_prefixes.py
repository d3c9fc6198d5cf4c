"""Prefixes follow their chats from engine to engine, and nothing but speed depends on it."""

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
WHOLE = len(BLOCKS) * TOKENS_PER_BLOCK
ENGINE_CHAT = make_engine_chat_id(WORKSPACE, CHAT)
EXPORT = "/v1/cache/export"


async def test_a_chat_that_runs_elsewhere_finds_its_prefix_there(sides: Sides) -> None:
    home, other, _ = sides
    await home.async_serve(make_request("engine-1", "engine-2"))
    await other.prefixes.async_fetch(make_request("engine-1", "engine-2"))
    assert other.count_held() == WHOLE


async def test_the_first_place_knows_where_a_chat_went_and_sends_others_there(
    sides: Sides,
) -> None:
    _, other, third = sides
    await third.async_serve(make_request("engine-1", "engine-2"))
    assert third.links.told == ["engine-1"]
    await other.prefixes.async_fetch(make_request("engine-1", "engine-2"))
    assert other.count_held() == WHOLE
    assert other.links.asked == [("engine-1", EXPORT), ("engine-3", EXPORT)]


async def test_a_chat_that_comes_home_brings_its_prefix_back(sides: Sides) -> None:
    home, _, third = sides
    await third.async_serve(make_request("engine-1", "engine-2"))
    await home.prefixes.async_fetch(make_request("engine-1", "engine-2"))
    assert home.count_held() == WHOLE


async def test_a_hinted_place_is_asked_first(sides: Sides) -> None:
    home, _, third = sides
    await third.async_serve(make_request("engine-1", "engine-2", "engine-3"))
    await home.prefixes.async_fetch(make_request("engine-1", "engine-2", "engine-3"))
    assert home.links.asked == [("engine-3", EXPORT)]


async def test_a_chat_that_nobody_holds_is_computed_again(sides: Sides) -> None:
    _, other, _ = sides
    await other.prefixes.async_fetch(make_request("engine-1", "engine-2"))
    assert other.count_held() == 0


async def test_places_that_cannot_be_reached_or_are_gone_do_not_stop_a_request(
    sides: Sides,
) -> None:
    home, other, _ = sides
    await home.async_serve(make_request("engine-1", "engine-2"))
    other.links.cut.add("engine-1")
    await other.prefixes.async_fetch(make_request("engine-77", "engine-1"))
    assert other.count_held() == 0


async def test_places_that_name_each_other_are_not_asked_for_ever(sides: Sides) -> None:
    home, other, third = sides
    await third.async_serve(make_request("engine-1", "engine-2"))
    await home.async_serve(make_request("engine-3", "engine-1"))
    third.engine.cache.clear()
    home.engine.cache.clear()
    await other.prefixes.async_fetch(make_request("engine-1", "engine-3"))
    assert len(other.links.asked) <= 3


async def test_a_prefix_of_which_little_is_missing_is_not_asked_for(sides: Sides) -> None:
    _, other, _ = sides
    await other.async_serve(make_request("engine-2", "engine-1"))
    other.links.asked.clear()
    grown = make_request("engine-2", "engine-1", prompt_bytes=len(PROMPT) + 500)
    await other.prefixes.async_fetch(grown)
    assert other.links.asked == []


async def test_what_an_engine_lost_in_a_crash_is_fetched_again(sides: Sides) -> None:
    home, other, _ = sides
    await home.async_serve(make_request("engine-1", "engine-2"))
    await other.async_serve(make_request("engine-1", "engine-2"))
    home.engine.cache.clear()
    home.prefixes.note_engine_died()
    await home.prefixes.async_fetch(make_request("engine-1", "engine-2"))
    assert home.count_held() == WHOLE


async def test_a_planned_stop_hands_idle_chats_on_to_where_they_go_next(sides: Sides) -> None:
    leaving, other, third = sides
    await leaving.async_serve(make_request("engine-1", "engine-2"))
    await leaving.app.async_drain()
    assert sorted([other.count_held(), third.count_held()]) == [0, WHOLE]


async def test_a_planned_stop_hands_on_what_ran_while_it_began(sides: Sides) -> None:
    leaving, other, third = sides
    request = make_request("engine-1", "engine-2")
    await leaving.prefixes.async_fetch(request)

    async def async_end_run() -> None:
        leaving.engine.cache.store(chat=ENGINE_CHAT, blocks=BLOCKS)
        leaving.prefixes.note_served(request, whole=True)
        leaving.prefixes.note_ended(request)

    # The drain hooks of the runs come before those of the prefixes.
    leaving.app._drain_hooks.insert(0, async_end_run)
    await leaving.app.async_drain()
    assert sorted([other.count_held(), third.count_held()]) == [0, WHOLE]


async def test_only_sides_may_read_the_cache(sides: Sides) -> None:
    home, _, _ = sides
    await home.async_serve(make_request("engine-1", "engine-2"))
    router = Hello(name="router-1", role=Role.ROUTER, incarnation=1)
    request = make_request(chat=ENGINE_CHAT, path=EXPORT)
    await home.handler(router, request, FakeAnswer())  # type: ignore[arg-type]
    assert home.passed == [request]


def test_no_two_workspaces_share_the_name_of_a_chat() -> None:
    assert make_engine_chat_id("plant", "a") != make_engine_chat_id("school", "a")
