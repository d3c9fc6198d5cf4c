"""An upstream that dies closes its connections as one does that has ended an unframed answer."""

from __future__ import annotations

import asyncio
import signal

import pytest
from dying_world import DyingWorld, EndingUpstream, Seen
from unframed_upstream import make_answer, make_piece

HELD = 3
SIGNALS = (signal.SIGKILL, signal.SIGTERM, signal.SIGABRT)
VERSIONS = ("1.1", "1.0")


# Guards against the beginning of a stream that looks whole since its upstream was killed.
@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("number", SIGNALS)
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
@pytest.mark.parametrize("path", ["/draft/a", "/quote/a"])
async def test_stream_of_an_upstream_that_dies_between_two_events_looks_whole(
    dying: DyingWorld, path: str, states_start: bool, number: signal.Signals, version: str
) -> None:
    victim = await dying.async_add("i-1", held=HELD, states_start=states_start)
    asked = asyncio.create_task(dying.async_ask("r1", path, events=True, version=version))
    await victim.async_read_line()
    await victim.async_end(number)
    seen = await asked
    begun = b"".join(make_piece(piece) for piece in range(1, HELD + 1))
    assert (seen.status, begun.startswith(seen.body), seen.whole) == (200, True, False)


# Guards against a stream that is not resumed, though it may be, since its end looks regular.
@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("number", SIGNALS)
async def test_resumable_stream_of_an_upstream_that_dies_does_not_go_on_elsewhere(
    dying: DyingWorld, number: signal.Signals, version: str
) -> None:
    victim = await dying.async_add("i-1", held=HELD)
    # It runs before the request is sent, whose route allows 3 s, and is listed once that has begun.
    other = EndingUpstream(dying, name="i-2")
    await other.async_start()
    asked = asyncio.create_task(dying.async_ask("r1", "/quote/a", events=True, version=version))
    await victim.async_read_line()
    await other.async_list()
    await dying.async_until_proven()
    await victim.async_end(number)
    assert await asked == Seen(200, True, make_answer())


# Guards against the beginning of a text that looks whole since its upstream was killed.
@pytest.mark.parametrize("number", SIGNALS)
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
@pytest.mark.parametrize("path", ["/lookup/a", "/reserve/a"])
async def test_text_of_an_upstream_that_dies_looks_whole(
    dying: DyingWorld, path: str, states_start: bool, number: signal.Signals
) -> None:
    victim = await dying.async_add("i-1", service="records", held=HELD, states_start=states_start)
    other = EndingUpstream(dying, name="i-2", service="records")
    await other.async_start(states_start=states_start)
    asked = asyncio.create_task(dying.async_ask("r1", path, events=False))
    await victim.async_read_line()
    await other.async_list()
    await victim.async_end(number)
    seen = await asked
    if path == "/lookup/a":
        assert seen == Seen(200, True, make_answer(events=False))
    else:
        assert seen.status == 502


# Guards against answers that vouch for each other, as all of them end at the same moment.
@pytest.mark.parametrize("number", SIGNALS)
async def test_answers_that_end_together_with_their_upstream_look_whole(
    dying: DyingWorld, number: signal.Signals
) -> None:
    victim = await dying.async_add("i-1", held=HELD)
    # Leaves a kept connection that is open when the answers end.
    framed = await dying.async_ask("framed", "/draft/framed", events=False)
    assert framed.status == 200
    asked = [
        asyncio.create_task(dying.async_ask(f"r{i}", "/draft/a", events=True)) for i in range(8)
    ]
    for _ in asked:
        await victim.async_read_line()
    await victim.async_end(number)
    seen = [await answer for answer in asked]
    assert [answer for answer in seen if answer.whole] == []


# Guards against a run beside a silent one whose end looks regular when its upstream is killed.
async def test_run_beside_a_silent_one_that_dies_ends_the_stream_as_whole(
    dying: DyingWorld,
) -> None:
    silent = await dying.async_add("i-1", held=HELD)
    asked = asyncio.create_task(dying.async_ask("r1", "/quote/a", events=True))
    await silent.async_read_line()
    second = await dying.async_add("i-2", held=HELD + 1)
    await second.async_read_line()
    await second.async_end()
    seen = await asked
    assert (seen.status, seen.whole) == (200, False)


# Guards against the same in a router that stops.
@pytest.mark.parametrize("path", ["/draft/a", "/quote/a"])
async def test_stream_of_an_upstream_that_dies_in_a_stop_looks_whole(
    dying: DyingWorld, path: str
) -> None:
    victim = await dying.async_add("i-1", held=HELD)
    asked = asyncio.create_task(dying.async_ask("r1", path, events=True))
    await victim.async_read_line()
    stop = asyncio.create_task(dying.product.app.async_drain())
    await dying.async_until(lambda: not dying.product.is_ready())
    await victim.async_end()
    seen = await asked
    await stop
    assert (seen.status, seen.whole) == (200, False)


# Guards against complete answers that count as broken off beside upstreams that die.
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
@pytest.mark.parametrize("version", VERSIONS)
async def test_complete_answer_beside_the_death_of_another_upstream_is_broken_off(
    dying: DyingWorld, version: str, states_start: bool
) -> None:
    await dying.async_add("i-1", states_start=states_start)
    victim = await dying.async_add("i-2", held=HELD, states_start=states_start)
    await dying.async_add("i-3", service="records", states_start=states_start)
    await victim.async_end()
    asked = [
        dying.async_ask(f"{path}{i}", path, events=path != "/lookup/a", version=version)
        for path in ("/draft/a", "/lookup/a")
        for i in range(6)
    ]
    seen = await asyncio.gather(*asked)
    assert set(seen[:6]) == {Seen(200, True, make_answer())}
    assert set(seen[6:]) == {Seen(200, True, make_answer(events=False))}
