"""What engines hold, learned by a router that starts: from a peer, or from each engine once."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding import handler, holdings
from gypsumrouter.forwarding.holdings import Holdings
from gypsumrouter.forwarding.inventory import HeldList, Inventory
from gypsumrouter.journal import Journal
from gypsumrouter.link import HeldAt, HeldNews, Notice, NoticeHub, Peer
from gypsumrouter.link.notice_codec import decode_notice, encode_notice
from gypsumrouter.peers import held
from gypsumrouter.peers.held import HeldDesk

SEEDS = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")
ENGINES = 23
# A wait that no test sees the end of, and after how long a test has failed.
FOREVER_MS = 600_000
HANG_S = 20


class Net:
    """Routers that reach each other at once; one that is down refuses."""

    def __init__(self) -> None:
        self.hubs: dict[str, NoticeHub] = {}
        self.desks: dict[str, HeldDesk] = {}
        self.holdings: dict[str, Holdings] = {}
        self.refused: set[tuple[str, str]] = set()

    def add(self, address: str) -> HeldDesk:
        """Start a router."""
        app = Application(name=address, role=Role.FORWARDER, data_centre="a", region="r")
        hub = self.hubs[address] = NoticeHub()
        own_holdings = self.holdings[address] = Holdings()
        desk = self.desks[address] = HeldDesk(
            app=app,
            journal=Journal(app=app),
            notices=hub,
            holdings=own_holdings,
            own=lambda: address,
            list_seeds=lambda: SEEDS,
            send=lambda target, notice: self._async_send(address, target, notice),
        )
        return desk

    async def _async_send(self, source: str, target: str, notice: Notice) -> bool:
        if target not in self.hubs or (source, target) in self.refused:
            return False
        self._deliver(source, target, notice)
        return True

    def _deliver(self, source: str, target: str, notice: Notice) -> bool:
        peer = SimpleNamespace(
            hello=SimpleNamespace(name=source),
            send=lambda reply: self._deliver(target, source, reply),
        )
        kind, body = encode_notice(notice)
        self.hubs[target].publish(cast(Peer, peer), decode_notice(kind, body))
        return True


def test_each_engine_is_asked_by_one_seed_and_the_others_stand_in_for_it_in_turn() -> None:
    net = Net()
    desks = [net.add(seed) for seed in SEEDS]
    other = net.add("10.0.0.9:7")
    ranks = [[desk.rank(position) for desk in desks] for position in range(ENGINES)]
    assert all(sorted(turn) == [0, 1, 2] for turn in ranks)
    asked = [sum(turn[number] == 0 for turn in ranks) for number in range(len(SEEDS))]
    assert max(asked) - min(asked) <= 1
    assert {other.rank(position) for position in range(ENGINES)} == {len(SEEDS)}


async def test_a_router_that_starts_is_told_all_by_a_peer_that_lives() -> None:
    net = Net()
    living = net.add(SEEDS[0])
    net.holdings[SEEDS[0]].note_held(part=7, upstream="i-1", now_ms=living._app.clock.now_ms())
    living.note_informed()
    for address in (SEEDS[1], "10.0.0.9:7"):
        assert await net.add(address).async_ask()
        assert net.holdings[address].list_held(now_ms=living._app.clock.now_ms()) == {"i-1": (7,)}


async def test_seeds_that_start_together_do_not_wait_for_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All routers were lost: no answer is worth waiting for the whole patience."""
    net = Net()
    desks = [net.add(seed) for seed in SEEDS[:2]]
    monkeypatch.setattr(held, "SEED_PATIENCE_MS", FOREVER_MS)
    async with asyncio.timeout(HANG_S):
        assert await asyncio.gather(*(desk.async_ask() for desk in desks)) == [False, False]


async def test_a_router_that_is_no_seed_waits_until_a_seed_knows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(held, "OTHER_PATIENCE_MS", FOREVER_MS)
    net = Net()
    seed = net.add(SEEDS[0])
    asking = asyncio.ensure_future(net.add("10.0.0.9:7").async_ask())
    async with asyncio.timeout(HANG_S):
        while not seed._wanting:
            await asyncio.get_running_loop().run_in_executor(None, lambda: None)
    assert not asking.done()
    now_ms = seed._app.clock.now_ms()
    net.holdings[SEEDS[0]].note_held(part=7, upstream="i-1", now_ms=now_ms)
    seed.note_informed()
    assert await asking


async def test_a_seed_that_starts_later_is_told_what_was_found_before() -> None:
    """Machines get their power back one after the other."""
    net = Net()
    first = net.add(SEEDS[0])
    now_ms = first._app.clock.now_ms()
    net.holdings[SEEDS[0]].note_held(part=7, upstream="i-1", now_ms=now_ms)
    net.holdings[SEEDS[0]].note_held(part=8, upstream="i-2", now_ms=now_ms)
    await first.async_share("i-1", (7,))
    late = net.add(SEEDS[1])
    told: list[str] = []
    late.on_told(told.append)
    assert not await late.async_ask()
    assert told == ["i-1"]


async def test_a_seed_tells_those_that_asked_also_where_its_own_links_fail() -> None:
    net = Net()
    first = net.add(SEEDS[0])
    late = net.add(SEEDS[1])
    told: list[str] = []
    late.on_told(told.append)
    assert not await late.async_ask()
    net.refused.add((SEEDS[0], SEEDS[1]))
    await first.async_share("i-1", (7,))
    assert told == ["i-1"]


async def test_what_one_seed_found_is_told_to_the_others() -> None:
    net = Net()
    first = net.add(SEEDS[0])
    told: list[str] = []
    net.add(SEEDS[1]).on_told(told.append)
    await first.async_share("i-1", (7, 8))
    assert told == ["i-1"]
    listed = net.holdings[SEEDS[1]].list_held(now_ms=first._app.clock.now_ms())
    assert listed == {"i-1": (7, 8)}


def test_a_list_of_parts_keeps_its_way_over_a_link() -> None:
    news = HeldNews(complete=True, engines=(HeldAt(upstream="i-1~0abcd", parts=(1, 2**64 - 1)),))
    kind, body = encode_notice(news)
    assert decode_notice(kind, body) == news


def test_what_all_engines_of_a_large_fleet_hold_keeps_its_way_over_a_link() -> None:
    """39 engines that hold 500 parts each: a hash does not shrink when it is packed."""
    random = Random(1)
    engines = tuple(
        HeldAt(upstream=f"i-{n}~0abcd", parts=tuple(random.getrandbits(64) for _ in range(500)))
        for n in range(39)
    )
    news = HeldNews(complete=True, engines=engines)
    kind, body = encode_notice(news)
    assert decode_notice(kind, body) == news


async def test_a_router_without_peers_asks_all_engines_of_a_large_fleet(
    world: ForwardingWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As many as a seed has to ask where three of them divide the engines of 120 among them."""
    asked: list[str] = []

    async def async_ask(self: Inventory, entry: Entry) -> HeldList:
        asked.append(entry.upstream)
        return HeldList(parts=())

    monkeypatch.setattr(Inventory, "_async_ask", async_ask)
    names = [f"i-more-{number}" for number in range(37)]
    for name in names:
        address = world.addresses["i-models-1"]
        await world.store.async_put_runner(name, service="models", address=address)
    late = await world.async_start_forwarder("entry-2", first_start=False)
    await world.async_until(late.is_ready)
    await world.async_until(lambda: set(names) <= set(asked))


async def test_a_second_router_knows_what_engines_hold_without_asking_them(
    world: ForwardingWorld,
    session: aiohttp.ClientSession,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(held, "OTHER_PATIENCE_MS", FOREVER_MS)
    monkeypatch.setattr(handler, "STARTUP_WAIT_MS", FOREVER_MS)
    monkeypatch.setattr(holdings, "READABLE_MS", 0)
    caplog.set_level(logging.INFO)
    await world.async_call(session, "POST", "/quote/a", "r0", extra=PROMPT, body=b"{}")
    seed = str(world.product.addresses["link"])
    late = await world.async_start_forwarder("entry-2", seeds=(seed,), first_start=False)
    await world.async_until(late.is_ready)
    await world.async_call(
        session, "POST", "/quote/a", "r1", product=late, extra=PROMPT, body=b"{}"
    )
    assert _list_missing(caplog) == [1_200, 0]
    assert [runner.listed for runner in world.models] == [0, 0]


async def test_a_router_without_peers_asks_each_engine_once(
    world: ForwardingWorld, session: aiohttp.ClientSession, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    for runner in world.models:
        runner.held = [("", "a1", 800, "m"), ("", "b2", 400, "m")]
    late = await world.async_start_forwarder("entry-2", first_start=False)
    await world.async_until(late.is_ready)
    await world.async_call(
        session, "POST", "/quote/a", "r1", product=late, extra=PROMPT, body=b"{}"
    )
    assert _list_missing(caplog) == [0]
    assert [runner.listed for runner in world.models] == [1, 1]


def _list_missing(caplog: pytest.LogCaptureFixture) -> list[int]:
    placed = [record for record in caplog.records if record.message == "request_placed"]
    return [cast(Any, record).event["missing_tokens"] for record in placed]
