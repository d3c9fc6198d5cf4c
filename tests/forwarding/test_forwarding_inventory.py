"""Loading of cache listings by a starting router, from a peer or once from each engine."""

from __future__ import annotations

import asyncio
import logging
import time
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Entry, EntryState
from gypsumrouter.forwarding import cache_index, startup_wait
from gypsumrouter.forwarding.cache_index import CacheIndex
from gypsumrouter.forwarding.const import CONNECT_TIMEOUT_MS
from gypsumrouter.forwarding.inventory import CacheInventory, CacheListing
from gypsumrouter.helpers import http_connection
from gypsumrouter.helpers.http_connection import ConnectFailed, HttpConnection
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.link import EngineListing, InventoryUpdate, Notice, NoticeHub, Peer
from gypsumrouter.link.notice_codec import decode_notice, encode_notice
from gypsumrouter.peers import held as peer_inventory
from gypsumrouter.peers.held import InventoryCoordinator

SEEDS = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")
ENGINES = 23
# A timeout that no test reaches, and the time after which a test counts as hung.
FOREVER_MS = 600_000
HANG_S = 20


class Net:
    """A network that delivers messages between routers at once, except to refused targets."""

    def __init__(self) -> None:
        self.hubs: dict[str, NoticeHub] = {}
        self.coordinators: dict[str, InventoryCoordinator] = {}
        self.cache_indexes: dict[str, CacheIndex] = {}
        self.refused: set[tuple[str, str]] = set()

    def add(self, address: str) -> InventoryCoordinator:
        """Start a router."""
        app = Application(name=address, role=Role.FORWARDER, data_centre="a", region="r")
        hub = self.hubs[address] = NoticeHub()
        own_index = self.cache_indexes[address] = CacheIndex()
        coordinator = self.coordinators[address] = InventoryCoordinator(
            app=app,
            journal=Journal(app=app),
            notices=hub,
            cache_index=own_index,
            get_own_address=lambda: address,
            list_seeds=lambda: SEEDS,
            send=lambda target, notice: self._async_send(address, target, notice),
        )
        return coordinator

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


def test_each_engine_is_queried_by_one_seed_with_the_others_as_fallbacks() -> None:
    net = Net()
    coordinators = [net.add(seed) for seed in SEEDS]
    other = net.add("10.0.0.9:7")
    ranks = [
        [coordinator.rank(position) for coordinator in coordinators] for position in range(ENGINES)
    ]
    assert all(sorted(ranks_of_engine) == [0, 1, 2] for ranks_of_engine in ranks)
    queried = [
        sum(ranks_of_engine[number] == 0 for ranks_of_engine in ranks)
        for number in range(len(SEEDS))
    ]
    assert max(queried) - min(queried) <= 1
    assert {other.rank(position) for position in range(ENGINES)} == {len(SEEDS)}


async def test_starting_router_gets_all_listings_from_a_running_peer() -> None:
    net = Net()
    running = net.add(SEEDS[0])
    net.cache_indexes[SEEDS[0]].note_cached(
        part=7, upstream="i-1", now_ms=running._app.clock.now_ms()
    )
    running.publish_inventory()
    for address in (SEEDS[1], "10.0.0.9:7"):
        assert await net.add(address).async_request()
        assert net.cache_indexes[address].list_cached(now_ms=running._app.clock.now_ms()) == {
            "i-1": (7,)
        }


async def test_seeds_that_start_together_do_not_wait_for_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After the loss of all routers no seed has listings, so waiting for one is pointless."""
    net = Net()
    coordinators = [net.add(seed) for seed in SEEDS[:2]]
    monkeypatch.setattr(peer_inventory, "SEED_TIMEOUT_MS", FOREVER_MS)
    async with asyncio.timeout(HANG_S):
        assert await asyncio.gather(
            *(coordinator.async_request() for coordinator in coordinators)
        ) == [False, False]


async def test_router_that_is_not_a_seed_waits_until_a_seed_has_the_listings(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_inventory, "NON_SEED_TIMEOUT_MS", FOREVER_MS)
    net = Net()
    seed = net.add(SEEDS[0])
    asking = asyncio.ensure_future(net.add("10.0.0.9:7").async_request())
    async with asyncio.timeout(HANG_S):
        while not seed._waiting_peers:
            await asyncio.get_running_loop().run_in_executor(None, lambda: None)
    assert not asking.done()
    now_ms = seed._app.clock.now_ms()
    net.cache_indexes[SEEDS[0]].note_cached(part=7, upstream="i-1", now_ms=now_ms)
    seed.publish_inventory()
    assert await asking


async def test_seed_that_starts_later_gets_the_listings_found_before() -> None:
    """Seeds start one after the other, for instance after a power failure."""
    net = Net()
    first = net.add(SEEDS[0])
    now_ms = first._app.clock.now_ms()
    net.cache_indexes[SEEDS[0]].note_cached(part=7, upstream="i-1", now_ms=now_ms)
    net.cache_indexes[SEEDS[0]].note_cached(part=8, upstream="i-2", now_ms=now_ms)
    await first.async_share_listing("i-1", (7,))
    second = net.add(SEEDS[1])
    reported: list[str] = []
    second.on_listing_received(reported.append)
    assert not await second.async_request()
    assert reported == ["i-1"]


async def test_seed_answers_requesters_that_it_cannot_connect_to_itself() -> None:
    net = Net()
    first = net.add(SEEDS[0])
    second = net.add(SEEDS[1])
    reported: list[str] = []
    second.on_listing_received(reported.append)
    assert not await second.async_request()
    net.refused.add((SEEDS[0], SEEDS[1]))
    await first.async_share_listing("i-1", (7,))
    assert reported == ["i-1"]


async def test_listing_found_by_one_seed_is_sent_to_the_others() -> None:
    net = Net()
    first = net.add(SEEDS[0])
    reported: list[str] = []
    net.add(SEEDS[1]).on_listing_received(reported.append)
    await first.async_share_listing("i-1", (7, 8))
    assert reported == ["i-1"]
    listed = net.cache_indexes[SEEDS[1]].list_cached(now_ms=first._app.clock.now_ms())
    assert listed == {"i-1": (7, 8)}


def test_listing_survives_encoding_and_decoding() -> None:
    message = InventoryUpdate(
        complete=True, engines=(EngineListing(upstream="i-1~0abcd", parts=(1, 2**64 - 1)),)
    )
    kind, body = encode_notice(message)
    assert decode_notice(kind, body) == message


def test_listings_of_a_large_fleet_survive_encoding_and_decoding() -> None:
    """39 engines with 500 parts each: hashes do not compress, so the message is large."""
    random = Random(1)
    engines = tuple(
        EngineListing(
            upstream=f"i-{n}~0abcd", parts=tuple(random.getrandbits(64) for _ in range(500))
        )
        for n in range(39)
    )
    message = InventoryUpdate(complete=True, engines=engines)
    kind, body = encode_notice(message)
    assert decode_notice(kind, body) == message


async def test_engine_was_not_queried_after_a_connect_that_the_router_itself_delayed(
    world: ForwardingWorld, session: aiohttp.ClientSession, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop is blocked for longer than the timeout, right after the connects begin."""
    connects: list[int] = []

    async def async_connect(*, address: Address, timeout_ms: int) -> HttpConnection:
        opening = asyncio.ensure_future(
            http_connection.async_connect(address=address, timeout_ms=timeout_ms)
        )
        # The first iteration starts the timeout, the second one the connect.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        connects.append(address.port)
        if len(connects) <= len(world.models):
            block_event_loop()
        return await opening

    monkeypatch.setattr("gypsumrouter.forwarding.connections.async_connect", async_connect)
    second = await world.async_start_forwarder("entry-2", first_start=False)
    await world.async_until(second.is_ready)
    await world.async_until(lambda: all(runner.inventory_calls for runner in world.models))
    assert [runner.inventory_calls for runner in world.models] == [1, 1]


async def test_engine_that_refuses_is_asked_once(monkeypatch: pytest.MonkeyPatch) -> None:
    asked: list[str] = []

    class RefusingPool:
        async def async_acquire(self, entry: Entry, **_: object) -> None:
            asked.append(entry.upstream)
            raise ConnectFailed("refused", refused=True)

    inventory = CacheInventory.__new__(CacheInventory)
    inventory._pool = cast(Any, RefusingPool())
    with pytest.raises(ConnectFailed):
        await inventory._async_fetch(Entry(upstream="i-1", state=EntryState.READY))
    assert asked == ["i-1"]


async def test_router_without_peers_queries_all_engines_of_a_large_fleet(
    world: ForwardingWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    """About as many engines as each of three seeds has to query in a fleet of 120."""
    queried: list[str] = []

    async def async_request(self: CacheInventory, entry: Entry) -> CacheListing:
        queried.append(entry.upstream)
        return CacheListing(parts=())

    monkeypatch.setattr(CacheInventory, "_async_fetch", async_request)
    names = [f"i-more-{number}" for number in range(37)]
    for name in names:
        address = world.addresses["i-models-1"]
        await world.store.async_put_runner(name, service="models", address=address)
    second = await world.async_start_forwarder("entry-2", first_start=False)
    await world.async_until(second.is_ready)
    await world.async_until(lambda: set(names) <= set(queried))


async def test_second_router_gets_listings_from_its_peer_without_querying_engines(
    world: ForwardingWorld,
    session: aiohttp.ClientSession,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_inventory, "NON_SEED_TIMEOUT_MS", FOREVER_MS)
    monkeypatch.setattr(startup_wait, "STARTUP_WAIT_MS", FOREVER_MS)
    monkeypatch.setattr(cache_index, "COPY_READY_MS", 0)
    caplog.set_level(logging.INFO)
    await world.async_call(session, "POST", "/quote/a", "r0", extra=PROMPT, body=b"{}")
    seed = str(world.product.addresses["link"])
    second = await world.async_start_forwarder("entry-2", seeds=(seed,), first_start=False)
    await world.async_until(second.is_ready)
    await world.async_call(
        session, "POST", "/quote/a", "r1", product=second, extra=PROMPT, body=b"{}"
    )
    assert _list_missing(caplog) == [1_200, 0]
    assert [runner.inventory_calls for runner in world.models] == [0, 0]


async def test_router_without_peers_queries_each_engine_once(
    world: ForwardingWorld, session: aiohttp.ClientSession, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    for runner in world.models:
        runner.inventory = [("", "a1", 800, "m"), ("", "b2", 400, "m")]
    second = await world.async_start_forwarder("entry-2", first_start=False)
    await world.async_until(second.is_ready)
    await world.async_call(
        session, "POST", "/quote/a", "r1", product=second, extra=PROMPT, body=b"{}"
    )
    assert _list_missing(caplog) == [0]
    assert [runner.inventory_calls for runner in world.models] == [1, 1]


def block_event_loop() -> None:
    """Block for longer than a connect may take."""
    time.sleep((CONNECT_TIMEOUT_MS + 50) / 1_000)


def _list_missing(caplog: pytest.LogCaptureFixture) -> list[int]:
    placed = [record for record in caplog.records if record.message == "request_placed"]
    return [cast(Any, record).event["missing_tokens"] for record in placed]
