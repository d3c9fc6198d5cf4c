"""Loads the cache contents of all engines when a router starts, from a peer or from the engines.

Without it, a restart of all routers makes the engines prefill prompts again that they still have in
their caches.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Protocol

from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.directory import (
    Directory,
    Entry,
    EntryState,
    Evacuations,
    name_incarnation,
)
from gypsumrouter.forwarding.connections import ConnectionPool, PooledConnection
from gypsumrouter.forwarding.const import SOURCE_RESPONSE
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    HttpConnection,
)
from gypsumrouter.helpers.http_response import (
    ConnectionBroken,
)
from gypsumrouter.routing import RoutingStore

_LOGGER = logging.getLogger(__name__)

LIST_TIMEOUT_MS: Final = 1_000
# A router that would have to query more engines than this by itself queries none: parsing the
# listings would take longer than requests wait for the inventory.
# A listing holds its engine up for as long as prefilling 600 tokens, and one of 500 parts takes a
# router 1 ms of a core.
MAX_ENGINES: Final = 64
# Per rank, how long a router waits for routers of a lower rank to report an engine's listing.
FALLBACK_DELAY_MS: Final = 100
# Parts of fewer tokens are left out: prefilling them costs less than sharing them.
MIN_PART_TOKENS: Final = 100


class CachedPart(Struct, frozen=True, kw_only=True):
    """A prompt part in the cache of an engine."""

    part: int
    tokens: int


class CacheListing(Struct, frozen=True, kw_only=True):
    """The prompt parts in the cache of an engine.

    `started_ms` is when the engine was started (Unix time; 0 if not reported); `draining` is true
    if the engine is shutting down.
    """

    parts: tuple[CachedPart, ...]
    started_ms: int = 0
    draining: bool = False


class FetchCacheListing(Protocol):
    """Fetches the cache listing of an engine."""

    async def __call__(self, connection: HttpConnection) -> CacheListing:
        """Return the listing; raises ConnectionBroken if the response is not a valid listing."""


class InventoryPeers(Protocol):
    """The other routers, for the exchange of cache listings."""

    @property
    def complete(self) -> asyncio.Event:
        """Return the event that is set when a peer has reported the listings of all engines."""

    async def async_request(self) -> bool:
        """Query the peers; return whether one reported the listings of all engines in time."""

    def rank(self, position: int) -> int:
        """Return how many routers have precedence in querying the engine at a list position."""

    async def async_share_listing(self, upstream: str, parts: tuple[int, ...]) -> None:
        """Send the cached parts of an engine to the other routers."""

    def on_listing_received(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with each engine whose listing a peer reported."""

    def publish_inventory(self) -> None:
        """Mark this router's inventory as complete and send it to the peers that wait for it."""


class CacheInventory:
    """Fills the cache index at the start of a router; `done` is set when this has finished.

    A running peer reports all listings in one message. Routers that start together divide the
    engines among themselves, because each query delays its engine.
    """

    __slots__ = (
        "_app",
        "_directory",
        "_evacuations",
        "_fetch_listing",
        "_peers",
        "_placer",
        "_pool",
        "_reported",
        "_routing",
        "done",
    )

    def __init__(
        self,
        *,
        app: Application,
        directory: Directory,
        evacuations: Evacuations,
        routing: RoutingStore,
        placer: Placer,
        pool: ConnectionPool,
        fetch_listing: FetchCacheListing,
    ) -> None:
        self._app = app
        self._directory = directory
        self._evacuations = evacuations
        self._routing = routing
        self._placer = placer
        self._pool = pool
        self._fetch_listing = fetch_listing
        self._peers: InventoryPeers | None = None
        self._reported: dict[str, asyncio.Event] = {}
        self.done = asyncio.Event()

    def set_peers(self, peers: InventoryPeers) -> None:
        """Set the routers to query before the engines and to share listings with."""
        self._peers = peers
        peers.on_listing_received(self._note_reported)

    def async_start(self) -> None:
        """Start loading in the background, once the directory and the configuration are loaded."""
        self._app.async_create_task(self._async_run(), "inventory")

    def mark_complete(self) -> None:
        """Set `done`: loading has finished, or is not needed because all engines are new."""
        self.done.set()
        if self._peers is not None:
            self._peers.publish_inventory()

    async def _async_run(self) -> None:
        reported = self._app.async_create_task(self._async_query_peers(), "query peers")
        await self._routing.ready.wait()
        await self._directory.loaded.wait()
        if self._peers is None:
            await self._async_load_all()
        elif not await reported:
            await self._async_load_share(self._peers)
        self.mark_complete()

    async def _async_query_peers(self) -> bool:
        return self._peers is not None and await self._peers.async_request()

    async def _async_load_share(self, peers: InventoryPeers) -> None:
        """Query this router's share of the engines, until a peer has reported all listings."""
        loading = asyncio.ensure_future(self._async_load_all())
        complete = asyncio.ensure_future(peers.complete.wait())
        try:
            await asyncio.wait((loading, complete), return_when=asyncio.FIRST_COMPLETED)
        finally:
            complete.cancel()
            loading.cancel()

    async def _async_load_all(self) -> None:
        ranked = [(self._rank(position), e) for position, e in enumerate(self._list_engines())]
        first = [entry for rank, entry in ranked if rank == 0]
        others = [(rank, entry) for rank, entry in ranked if rank > 0]
        if len(first) > MAX_ENGINES or (not first and len(others) > MAX_ENGINES):
            return
        await asyncio.gather(
            *(self._async_load(entry) for entry in first),
            *(self._async_load_as_fallback(entry, rank) for rank, entry in others),
        )

    async def _async_load_as_fallback(self, entry: Entry, rank: int) -> None:
        """Query an engine unless a router of a lower rank reports its listing in time."""
        reported = self._reported.setdefault(entry.incarnation, asyncio.Event())
        try:
            async with asyncio.timeout(rank * FALLBACK_DELAY_MS / MS_PER_S):
                await reported.wait()
        except TimeoutError:
            await self._async_load(entry)

    def _rank(self, position: int) -> int:
        return 0 if self._peers is None else self._peers.rank(position)

    def _note_reported(self, incarnation: str) -> None:
        self._reported.setdefault(incarnation, asyncio.Event()).set()

    def _list_engines(self) -> list[Entry]:
        table = self._routing.table
        if table is None:
            return []
        engines = {s.name for s in table.configuration.services if s.engine is not None}
        entries = [
            record.entry
            for record in self._directory.records()
            if record.entry.service in engines
            and record.entry.state is EntryState.READY
            and not self._placer.backoffs.is_backing_off(record.entry.incarnation)
            and not self._evacuations.is_active(record.entry.data_centre)
        ]
        return sorted(entries, key=lambda entry: entry.incarnation)

    async def _async_load(self, entry: Entry) -> None:
        try:
            async with asyncio.timeout(LIST_TIMEOUT_MS / MS_PER_S):
                listing = await self._async_fetch(entry)
        except (ConnectFailed, ConnectionBroken, TimeoutError) as error:
            # The listing is only a hint: prompts that are not listed are prefilled again.
            _LOGGER.warning(
                "No cache listing from upstream %s (%r); its cached prompts may be prefilled again",
                entry.incarnation,
                error,
            )
            return
        # The engine may have restarted before the directory shows it; the listing names its start.
        started_ms = listing.started_ms or entry.started_ms
        incarnation = name_incarnation(upstream=entry.upstream, started_ms=started_ms)
        parts = tuple(part.part for part in listing.parts if part.tokens >= MIN_PART_TOKENS)
        for part in parts:
            self._placer.note_cached(part=part, upstream=incarnation)
        if listing.draining:
            self._directory.note_leaving(incarnation, source=SOURCE_RESPONSE)
        _LOGGER.info("Upstream %s listed %d cached prompt parts", incarnation, len(listing.parts))
        if self._peers is not None:
            await self._peers.async_share_listing(incarnation, parts)

    async def _async_fetch(self, entry: Entry) -> CacheListing:
        pooled = await self._async_acquire(entry)
        try:
            listing = await self._fetch_listing(pooled.connection)
        except BaseException:
            pooled.connection.close()
            raise
        self._pool.release(entry, pooled.connection)
        return listing

    async def _async_acquire(self, entry: Entry) -> PooledConnection:
        """Return a connection; raises ConnectFailed.

        A starting router may be so busy that a connect times out before it could succeed, so there
        is a second one.
        """
        try:
            return await self._pool.async_acquire(
                entry, repeatable=True, timeout_ms=LIST_TIMEOUT_MS
            )
        except ConnectFailed as error:
            if error.refused:
                raise
        return await self._pool.async_acquire(entry, repeatable=True, timeout_ms=LIST_TIMEOUT_MS)
