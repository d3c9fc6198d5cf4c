"""What engines hold when a router starts after a failure: asked once.

Answers this load: all routers are lost at once and start again knowing nothing, while the engines
still hold every prompt that is in use. Without it about half of these prompts were read again.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Final, Protocol

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, name_incarnation
from gypsumrouter.forwarding.connections import UpstreamConnections
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.helpers.http_connection import ConnectFailed, ConnectionBroken, HttpConnection
from gypsumrouter.routing import RoutingStore

_LOGGER = logging.getLogger(__name__)

LIST_MS: Final = 1_000
# One call costs as much as reading 600 tokens. With 28 engines and 30 routers, each asking those of
# its data centre, the calls cost 0.012 of a day's worth and their news kept small routers busy.
MAX_ASKED: Final = 12
# Parts of fewer tokens are read faster than they are told.
MIN_TOKENS: Final = 100


@dataclass(slots=True, kw_only=True, frozen=True)
class HeldPart:
    """A part of a prompt in an engine's cache."""

    part: int
    tokens: int


@dataclass(slots=True, kw_only=True, frozen=True)
class HeldList:
    """All parts in an engine's cache, and when the engine was started (Unix time; 0: not told)."""

    parts: tuple[HeldPart, ...]
    born_ms: int = 0


class AskHeld(Protocol):
    """Asks an engine what it holds."""

    async def __call__(self, connection: HttpConnection) -> HeldList:
        """Return the list; raises ConnectionBroken for anything that is no list."""


class Inventory:
    """Asks all engines where they are few; `done` is set when all have answered.

    In a large fleet so many routers start together that their calls would hold the engines up;
    there the stable order of prompts has to do.
    """

    __slots__ = ("_app", "_ask", "_connections", "_directory", "_placer", "_routing", "done")

    def __init__(
        self,
        *,
        app: Application,
        directory: Directory,
        routing: RoutingStore,
        placer: Placer,
        connections: UpstreamConnections,
        ask: AskHeld,
    ) -> None:
        self._app = app
        self._directory = directory
        self._routing = routing
        self._placer = placer
        self._connections = connections
        self._ask = ask
        self.done = asyncio.Event()

    def async_start(self) -> None:
        """Ask once, as soon as the list and the configuration are there."""
        self._app.async_create_task(self._async_run(), "inventory")

    async def _async_run(self) -> None:
        await self._routing.ready.wait()
        await self._directory.loaded.wait()
        await asyncio.gather(*(self._async_take(entry) for entry in self._list_engines()))
        self.done.set()

    def _list_engines(self) -> list[Entry]:
        table = self._routing.table
        if table is None:
            return []
        engines = {s.name for s in table.configuration.services if s.engine is not None}
        entries = [
            record.entry
            for record in self._directory.records()
            if record.entry.service in engines and record.entry.state is EntryState.READY
        ]
        return entries if len(entries) <= MAX_ASKED else []

    async def _async_take(self, entry: Entry) -> None:
        try:
            async with asyncio.timeout(LIST_MS / 1_000):
                held = await self._async_ask(entry)
        except (ConnectFailed, ConnectionBroken, TimeoutError) as error:
            # It is a hint: what is not known is read again.
            _LOGGER.warning("Upstream %s does not list what it holds: %r", entry.incarnation, error)
            return
        # A later start may answer before the list tells of it; what it holds is its own.
        born_ms = held.born_ms or entry.born_ms
        incarnation = name_incarnation(upstream=entry.upstream, born_ms=born_ms)
        for part in held.parts:
            if part.tokens >= MIN_TOKENS:
                self._placer.note_held(part=part.part, upstream=incarnation)
        _LOGGER.info("Upstream %s holds %d parts", incarnation, len(held.parts))

    async def _async_ask(self, entry: Entry) -> HeldList:
        leased = await self._connections.async_lease(entry, repeatable=True, timeout_ms=LIST_MS)
        try:
            held = await self._ask(leased.connection)
        except BaseException:
            leased.connection.close()
            raise
        self._connections.give_back(entry, leased.connection)
        return held
