"""Ends of unframed answers where something else still gives a sign of life of a dead upstream."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from dying_world import DyingWorld, EndingUpstream, Seen
from outliving_relay import Behaviour, OutlivingRelay
from unframed_upstream import make_answer

from gypsumrouter.crashes.guard import SETTLE_MS
from gypsumrouter.forwarding.ends.evidence import PROBE_TIMEOUT_MS

HELD = 3
# The crash guard judges a lost connection within this time, with room for a busy machine.
JUDGED_S = 5 * SETTLE_MS / 1_000
STREAMS = 4
WORLDS = pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])


class RelayedWorld:
    """An upstream with a relay before it."""

    def __init__(self, world: DyingWorld) -> None:
        self.world = world
        self.relays: list[OutlivingRelay] = []

    async def async_add(
        self, behaviour: Behaviour, *, states_start: bool, held: int = 0, ending: str = "die"
    ) -> EndingUpstream:
        """Start an upstream behind a relay, and wait until it is listed there."""
        upstream = EndingUpstream(self.world)
        await upstream.async_start(held=held, states_start=states_start, ending=ending)
        relay = OutlivingRelay(behaviour)
        self.relays.append(relay)
        await relay.async_start(upstream.port)
        upstream.listed_port = relay.port
        await upstream.async_list()
        return upstream

    async def async_begin_streams(
        self, upstream: EndingUpstream, *, path: str = "/draft/a"
    ) -> list[asyncio.Task[Seen]]:
        """Begin streams that the upstream holds, beside an idle connection to it."""
        asked = [
            asyncio.create_task(self.world.async_ask(f"r{i}", path, events=True))
            for i in range(STREAMS)
        ]
        for _ in asked:
            await upstream.async_read_line()
        assert (await self.world.async_ask("f", "/draft/framed", events=False)).status == 200
        return asked

    def count_implicated(self) -> int:
        """Return how many subjects are implicated in a crash."""
        suspects: Any = self.world.product.app.dump()["suspects"]
        return int(suspects["judged"])


@pytest.fixture
async def relayed(dying: DyingWorld) -> AsyncIterator[RelayedWorld]:
    """Return a forwarder whose upstreams stand behind relays."""
    world = RelayedWorld(dying)
    yield world
    for relay in world.relays:
        await relay.async_stop()


# Guards against the beginning of a stream that looks whole, since a listener outlives its upstream.
@WORLDS
@pytest.mark.parametrize("behaviour", Behaviour)
async def test_stream_of_a_dead_upstream_looks_whole_as_its_listener_accepts_connections(
    relayed: RelayedWorld, behaviour: Behaviour, states_start: bool
) -> None:
    upstream = await relayed.async_add(behaviour, states_start=states_start, held=HELD)
    asked = await relayed.async_begin_streams(upstream)
    await upstream.async_end()
    seen = [await answer for answer in asked]
    assert [(answer.status, answer.whole) for answer in seen] == [(200, False)] * STREAMS


# Guards against a process that has the address of a dead upstream before the list shows it.
async def test_stream_of_a_dead_upstream_looks_whole_as_another_one_has_its_address(
    relayed: RelayedWorld,
) -> None:
    upstream = await relayed.async_add(Behaviour.SILENT, states_start=False, held=HELD)
    successor = EndingUpstream(relayed.world, name="i-2")
    await successor.async_start(states_start=False)
    asked = await relayed.async_begin_streams(upstream)
    relayed.relays[0].target = successor.port
    await upstream.async_end()
    seen = [await answer for answer in asked]
    assert [(answer.status, answer.whole) for answer in seen] == [(200, False)] * STREAMS


# Guards against complete answers that count as broken off, since a relay stands before their
# upstream.
@WORLDS
async def test_complete_answer_behind_a_relay_is_broken_off(
    relayed: RelayedWorld, states_start: bool
) -> None:
    await relayed.async_add(Behaviour.SILENT, states_start=states_start)
    asked = [relayed.world.async_ask(f"r{i}", "/draft/a", events=True) for i in range(STREAMS)]
    assert set(await asyncio.gather(*asked)) == {Seen(200, True, make_answer())}


# Guards against prompts that crash upstream after upstream, since a crash shows only by a listener
# that refuses connections.
@WORLDS
@pytest.mark.parametrize("behaviour", [Behaviour.SILENT, Behaviour.CLOSES])
async def test_crash_of_an_upstream_is_overlooked_as_its_listener_accepts_connections(
    relayed: RelayedWorld, behaviour: Behaviour, states_start: bool
) -> None:
    upstream = await relayed.async_add(behaviour, states_start=states_start, held=HELD)
    asked = await relayed.async_begin_streams(upstream)
    await upstream.async_end()
    await asyncio.gather(*asked)
    await asyncio.sleep(JUDGED_S)
    assert relayed.count_implicated() > 0


# Guards against the same where another upstream goes on with the streams before the question of the
# end has gone unanswered.
@pytest.mark.parametrize("behaviour", [Behaviour.SILENT, Behaviour.CLOSES])
async def test_crash_of_an_upstream_is_overlooked_as_another_one_goes_on_with_its_streams(
    relayed: RelayedWorld, behaviour: Behaviour
) -> None:
    upstream = await relayed.async_add(behaviour, states_start=True, held=HELD)
    asked = await relayed.async_begin_streams(upstream, path="/quote/a")
    await relayed.world.async_add("i-2")
    await upstream.async_end()
    seen = [await answer for answer in asked]
    assert [(answer.status, answer.whole) for answer in seen] == [(200, True)] * STREAMS
    await asyncio.sleep(PROBE_TIMEOUT_MS / 1_000 + JUDGED_S)
    assert relayed.count_implicated() > 0
