"""Exchange of cache listings between routers: which prompt parts each engine has cached.

An inventory consists of the listings of engines, and is complete if it has those of all.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import xxhash

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.forwarding.cache_index import CacheIndex
from gypsumrouter.journal import HeldPartsTold, Journal
from gypsumrouter.link import (
    EngineListing,
    InventoryRequest,
    InventoryUpdate,
    Notice,
    NoticeHub,
    Peer,
)

# Interval at which a router that is not a seed retries a seed that is not listening yet.
# Routers that start at the same moment listen up to 60 ms later than each other.
RETRY_INTERVAL_MS: Final = 30
# Delay before the request to the next seed, so that normally only one seed sends its inventory.
# An inventory may take 40 KB.
NEXT_SEED_DELAY_MS: Final = 40
# Time that a seed waits for the other seeds before it queries engines itself.
SEED_TIMEOUT_MS: Final = 100
# Time that any other router waits for the seeds, which may start at the same time and have to query
# the engines first.
# Machines that get their power back start within half a second of each other.
NON_SEED_TIMEOUT_MS: Final = 800
# Maximum number of peers that wait for a complete inventory.
MAX_WAITING_PEERS: Final = 1_000

SendTo = Callable[[str, Notice], Awaitable[bool]]
InventoryListener = Callable[[str], None]


class InventoryCoordinator:
    """Requests cache inventories from the seeds, shares this router's, and answers requests.

    When no router has an inventory, the seeds divide the engines among themselves: each engine is
    queried by one seed, and by the next ones in order if that seed does not report a result. All
    other routers request the inventory from the seeds.
    """

    __slots__ = (
        "_all_incomplete",
        "_app",
        "_cache_index",
        "_complete",
        "_get_own_address",
        "_incomplete_seeds",
        "_inventory_known",
        "_journal",
        "_list_seeds",
        "_listed_engines",
        "_listener",
        "_send",
        "_waiting_peers",
    )

    def __init__(
        self,
        *,
        app: Application,
        journal: Journal,
        notices: NoticeHub,
        cache_index: CacheIndex,
        get_own_address: Callable[[], str],
        list_seeds: Callable[[], tuple[str, ...]],
        send: SendTo,
    ) -> None:
        self._app = app
        self._journal = journal
        self._cache_index = cache_index
        self._get_own_address = get_own_address
        self._list_seeds = list_seeds
        self._send = send
        self._inventory_known = False
        self._complete = asyncio.Event()
        # Addresses of unreachable seeds, and names of routers whose inventory is incomplete.
        self._incomplete_seeds: set[str] = set()
        self._all_incomplete = asyncio.Event()
        self._waiting_peers: list[Peer] = []
        # Engines whose listing was received from a peer or shared by this router.
        self._listed_engines: set[str] = set()
        self._listener: InventoryListener = lambda upstream: None
        notices.subscribe(InventoryRequest, self._handle_request)
        notices.subscribe(InventoryUpdate, self._handle_inventory)

    def on_listing_received(self, listener: InventoryListener) -> None:
        """Call `listener` with each engine whose listing was received from a peer."""
        self._listener = listener

    @property
    def complete(self) -> asyncio.Event:
        """Return the event that is set once a peer has sent a complete inventory."""
        return self._complete

    async def async_request(self) -> bool:
        """Request the inventory; return whether a complete one arrived before the timeout."""
        others = self._list_others()
        if not others:
            return False
        if len(others) < len(self._list_seeds()):
            return await self._async_request_as_seed(others)
        return await self._async_request_as_non_seed(others)

    async def _async_request_as_seed(self, others: list[str]) -> bool:
        """Request it from all seeds; wait for a complete one, all incomplete, or the timeout."""
        requests = [
            self._app.async_create_task(self._async_request_from_seed(s), "request inventory")
            for s in others
        ]
        ended = [
            asyncio.ensure_future(event.wait()) for event in (self._complete, self._all_incomplete)
        ]
        await asyncio.wait(
            ended, timeout=SEED_TIMEOUT_MS / MS_PER_S, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (*requests, *ended):
            task.cancel()
        return self._complete.is_set()

    async def _async_request_from_seed(self, seed: str) -> None:
        if not await self._send(seed, InventoryRequest()):
            self._note_incomplete(seed)

    async def _async_request_as_non_seed(self, others: list[str]) -> bool:
        """Request it from the seeds in turn; wait for a complete inventory or the timeout."""
        others.sort(key=lambda seed: _hash(self._get_own_address(), seed))
        requests = [
            self._app.async_create_task(
                self._async_request_until_sent(seed, index * NEXT_SEED_DELAY_MS),
                "request inventory",
            )
            for index, seed in enumerate(others)
        ]
        try:
            async with asyncio.timeout(NON_SEED_TIMEOUT_MS / MS_PER_S):
                await self._complete.wait()
        except TimeoutError:
            return False
        finally:
            for task in requests:
                task.cancel()
        return True

    def rank(self, position: int) -> int:
        """Return how many seeds query the engine at a position of the list before this router."""
        own = self._get_own_address()
        seeds = sorted(self._list_seeds())
        if own not in seeds:
            return len(seeds)
        return (position + seeds.index(own)) % len(seeds)

    async def async_share_listing(self, upstream: str, parts: tuple[int, ...]) -> None:
        """Send an engine's listing to the other seeds and to all waiting peers."""
        self._listed_engines.add(upstream)
        inventory = InventoryUpdate(
            complete=False, engines=(EngineListing(upstream=upstream, parts=parts),)
        )
        for peer in self._waiting_peers:
            peer.send(inventory)
        await asyncio.gather(*(self._send(seed, inventory) for seed in self._list_others()))

    def publish_inventory(self) -> None:
        """Mark this router's inventory as complete and send it to all waiting peers."""
        self._inventory_known = True
        waiting, self._waiting_peers = self._waiting_peers, []
        for peer in waiting:
            peer.send(self._make_inventory())

    def _list_others(self) -> list[str]:
        own = self._get_own_address()
        return [seed for seed in self._list_seeds() if seed != own]

    async def _async_request_until_sent(self, seed: str, delay_ms: int) -> None:
        await self._app.clock.async_sleep(delay_ms)
        while not await self._send(seed, InventoryRequest()):
            await self._app.clock.async_sleep(RETRY_INTERVAL_MS)

    def _handle_request(self, peer: Peer, request: InventoryRequest) -> None:
        if self._inventory_known:
            peer.send(self._make_inventory())
            return
        peer.send(self._make_inventory(only=self._listed_engines))
        if len(self._waiting_peers) < MAX_WAITING_PEERS:
            self._waiting_peers.append(peer)

    def _note_incomplete(self, router: str) -> None:
        self._incomplete_seeds.add(router)
        if len(self._incomplete_seeds) >= len(self._list_others()):
            self._all_incomplete.set()

    def _make_inventory(self, *, only: set[str] | None = None) -> InventoryUpdate:
        """Return the inventory of all engines, marked complete, or of the engines in `only`."""
        held = self._cache_index.list_cached(now_ms=self._app.clock.now_ms())
        engines = tuple(
            EngineListing(upstream=name, parts=parts)
            for name, parts in held.items()
            if only is None or name in only
        )
        return InventoryUpdate(complete=only is None, engines=engines)

    def _handle_inventory(self, peer: Peer, inventory: InventoryUpdate) -> None:
        now_ms = self._app.clock.now_ms()
        for engine in inventory.engines:
            for part in engine.parts:
                self._cache_index.note_cached(part=part, upstream=engine.upstream, now_ms=now_ms)
            self._listed_engines.add(engine.upstream)
            self._listener(engine.upstream)
        self._journal.record(
            HeldPartsTold(
                peer=peer.hello.name,
                engines=len(inventory.engines),
                parts=sum(len(engine.parts) for engine in inventory.engines),
                complete=inventory.complete,
            )
        )
        if inventory.complete:
            self._complete.set()
        else:
            self._note_incomplete(peer.hello.name)


def _hash(upstream: str, seed: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{upstream}/{seed}".encode())
