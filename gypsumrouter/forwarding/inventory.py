"""What engines hold when a router starts after a failure: told by a peer, or asked once.

Answers this load: all routers are lost at once and start again knowing nothing, while the engines
still hold every prompt that is in use. Without it these prompts are read again.
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
from gypsumrouter.forwarding.connections import UpstreamConnections
from gypsumrouter.forwarding.const import SOURCE_ANSWER
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.helpers.http_connection import ConnectFailed, ConnectionBroken, HttpConnection
from gypsumrouter.routing import RoutingStore

_LOGGER = logging.getLogger(__name__)

LIST_MS: Final = 1_000
# One call holds its engine up for as long as reading 600 tokens, and a list of 500 parts takes a
# router 1 ms of a core. One that has to ask more engines than this by itself asks none: their lists
# would keep a small router busy for longer than requests wait for them.
MAX_ASKED: Final = 64
# How long a router waits for the one before it in an engine's order: a list, and its way here.
TURN_MS: Final = 100
# Parts of fewer tokens are read faster than they are told.
MIN_TOKENS: Final = 100


class HeldPart(Struct, frozen=True, kw_only=True):
    """A part of a prompt in an engine's cache."""

    part: int
    tokens: int


class HeldList(Struct, frozen=True, kw_only=True):
    """All parts in an engine's cache, and when the engine was started (Unix time; 0: not told).

    `leaving` is its word that it leaves.
    """

    parts: tuple[HeldPart, ...]
    born_ms: int = 0
    leaving: bool = False


class AskHeld(Protocol):
    """Asks an engine what it holds."""

    async def __call__(self, connection: HttpConnection) -> HeldList:
        """Return the list; raises ConnectionBroken for anything that is no list."""


class HeldPeers(Protocol):
    """The other routers, as far as they tell each other what engines hold."""

    @property
    def complete(self) -> asyncio.Event:
        """Return the event that is set once a peer told of all engines."""

    async def async_ask(self) -> bool:
        """Return whether a peer told of all engines in time."""

    def rank(self, position: int) -> int:
        """Return how many routers ask the engine at a position of the list before this one."""

    async def async_share(self, upstream: str, parts: tuple[int, ...]) -> None:
        """Tell the others what an engine holds."""

    def on_told(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with each engine of which a peer told what it holds."""

    def note_informed(self) -> None:
        """Note that this router knows of all engines."""


class Inventory:
    """Learns what engines hold; `done` is set when all is known that will be.

    A peer that lives tells it in one message. Where all routers start together they divide the
    engines among them, since each call delays its engine and is paid for.
    """

    __slots__ = (
        "_app",
        "_ask",
        "_connections",
        "_directory",
        "_evacuations",
        "_peers",
        "_placer",
        "_routing",
        "_told",
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
        connections: UpstreamConnections,
        ask: AskHeld,
    ) -> None:
        self._app = app
        self._directory = directory
        self._evacuations = evacuations
        self._routing = routing
        self._placer = placer
        self._connections = connections
        self._ask = ask
        self._peers: HeldPeers | None = None
        self._told: dict[str, asyncio.Event] = {}
        self.done = asyncio.Event()

    def take_peers(self, peers: HeldPeers) -> None:
        """Ask these routers first from now on, and tell them."""
        self._peers = peers
        peers.on_told(self._note_told)

    def async_start(self) -> None:
        """Learn it as soon as the list and the configuration are there."""
        self._app.async_create_task(self._async_run(), "inventory")

    def note_known(self) -> None:
        """Note that all is known that can be, or that all engines are as new as this router."""
        self.done.set()
        if self._peers is not None:
            self._peers.note_informed()

    async def _async_run(self) -> None:
        told = self._app.async_create_task(self._async_ask_peers(), "ask peers")
        await self._routing.ready.wait()
        await self._directory.loaded.wait()
        if self._peers is None:
            await self._async_ask_all()
        elif not await told:
            await self._async_divide(self._peers)
        self.note_known()

    async def _async_ask_peers(self) -> bool:
        return self._peers is not None and await self._peers.async_ask()

    async def _async_divide(self, peers: HeldPeers) -> None:
        """Ask the engines whose turn is this router's, until all are asked or told."""
        asking = asyncio.ensure_future(self._async_ask_all())
        complete = asyncio.ensure_future(peers.complete.wait())
        try:
            await asyncio.wait((asking, complete), return_when=asyncio.FIRST_COMPLETED)
        finally:
            complete.cancel()
            asking.cancel()

    async def _async_ask_all(self) -> None:
        ranked = [(self._rank(position), e) for position, e in enumerate(self._list_engines())]
        first = [entry for rank, entry in ranked if rank == 0]
        others = [(rank, entry) for rank, entry in ranked if rank > 0]
        if len(first) > MAX_ASKED or (not first and len(others) > MAX_ASKED):
            return
        await asyncio.gather(
            *(self._async_take(entry) for entry in first),
            *(self._async_take_in_turn(entry, rank) for rank, entry in others),
        )

    async def _async_take_in_turn(self, entry: Entry, rank: int) -> None:
        """Ask an engine if nobody before this router told of it."""
        told = self._told.setdefault(entry.incarnation, asyncio.Event())
        try:
            async with asyncio.timeout(rank * TURN_MS / MS_PER_S):
                await told.wait()
        except TimeoutError:
            await self._async_take(entry)

    def _rank(self, position: int) -> int:
        return 0 if self._peers is None else self._peers.rank(position)

    def _note_told(self, incarnation: str) -> None:
        self._told.setdefault(incarnation, asyncio.Event()).set()

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
            and not self._placer.rests.is_resting(record.entry.incarnation)
            and not self._evacuations.is_active(record.entry.data_centre)
        ]
        return sorted(entries, key=lambda entry: entry.incarnation)

    async def _async_take(self, entry: Entry) -> None:
        try:
            async with asyncio.timeout(LIST_MS / MS_PER_S):
                held = await self._async_ask(entry)
        except (ConnectFailed, ConnectionBroken, TimeoutError) as error:
            # It is a hint: what is not known is read again.
            _LOGGER.warning("Upstream %s does not list what it holds: %r", entry.incarnation, error)
            return
        # A later start may answer before the list tells of it; what it holds is its own.
        born_ms = held.born_ms or entry.started_ms
        incarnation = name_incarnation(upstream=entry.upstream, started_ms=born_ms)
        parts = tuple(part.part for part in held.parts if part.tokens >= MIN_TOKENS)
        for part in parts:
            self._placer.note_held(part=part, upstream=incarnation)
        if held.leaving:
            self._directory.note_leaving(incarnation, source=SOURCE_ANSWER)
        _LOGGER.info("Upstream %s holds %d parts", incarnation, len(held.parts))
        if self._peers is not None:
            await self._peers.async_share(incarnation, parts)

    async def _async_ask(self, entry: Entry) -> HeldList:
        leased = await self._connections.async_lease(entry, repeatable=True, timeout_ms=LIST_MS)
        try:
            held = await self._ask(leased.connection)
        except BaseException:
            leased.connection.close()
            raise
        self._connections.give_back(entry, leased.connection)
        return held
