"""Whether upstreams that leave take connections still.

One that ends in order takes no more of them at some moment, and ends what is under way. What
arrives of an answer behind that moment shows that its process went on without a listener.
"""

from __future__ import annotations

import asyncio
from typing import Final, TypeVar

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState
from gypsumrouter.forwarding.connections import ConnectionPool
from gypsumrouter.helpers.http_connection import ConnectFailed, async_connect

_T = TypeVar("_T")

# Pause between two connects to an upstream that leaves.
LOOK_PAUSE_MS: Final = 100
LOOK_TIMEOUT_MS: Final = 1_000
# Upstreams of which it is remembered; above it, the oldest is forgotten.
MAX_REMEMBERED: Final = 4_096


class LeavingListeners:
    """Connects to leaving upstreams that have answers under way until they refuse that.

    Only to those of services that have given an answer without a length or chunks.
    """

    __slots__ = ("_app", "_closed_ms", "_directory", "_entries", "_looks", "_pool", "_services")

    def __init__(self, *, app: Application, pool: ConnectionPool, directory: Directory) -> None:
        self._app = app
        self._directory = directory
        self._pool = pool
        # When a listener was first met closed (monotonic milliseconds), by incarnation.
        self._closed_ms: dict[str, int] = {}
        # A removed entry has no address any more.
        self._entries: dict[str, Entry] = {}
        self._looks: dict[str, asyncio.Task[None]] = {}
        self._services: set[str] = set()
        directory.on_change(self._handle_change)

    def note_unframed(self, entry: Entry) -> None:
        """Note that an upstream gives an answer whose end its connection shows."""
        self._services.add(entry.service)
        _remember(self._entries, entry.incarnation, entry)
        listed = self._directory.get_incarnation(entry.incarnation)
        if listed is not None:
            self._handle_change(listed)

    def get_closed_ms(self, entry: Entry) -> int | None:
        """Return when an upstream was first met without a listener, None if it wasn't."""
        return self._closed_ms.get(entry.incarnation)

    def _handle_change(self, listed: Entry) -> None:
        if listed.state not in (EntryState.LEAVING, EntryState.GONE):
            return
        entry = listed if listed.address is not None else self._entries.get(listed.incarnation)
        if entry is None or entry.service not in self._services:
            return
        incarnation = entry.incarnation
        if incarnation in self._looks or incarnation in self._closed_ms:
            return
        if self._pool.has_open(entry):
            self._looks[incarnation] = self._app.async_create_task(
                self._async_look(entry), "look whether a leaving upstream listens"
            )

    async def _async_look(self, entry: Entry) -> None:
        clock = self._app.clock
        try:
            while self._pool.has_open(entry):
                if await _async_is_refused(entry):
                    _remember(self._closed_ms, entry.incarnation, clock.now_ms())
                    return
                await clock.async_sleep(LOOK_PAUSE_MS)
        finally:
            del self._looks[entry.incarnation]


async def _async_is_refused(entry: Entry) -> bool:
    """Return whether nothing listens at the address of an upstream."""
    if entry.address is None:
        return False
    try:
        connection = await async_connect(address=entry.address, timeout_ms=LOOK_TIMEOUT_MS)
    except ConnectFailed as error:
        return error.refused
    connection.close()
    return False


def _remember(known: dict[str, _T], incarnation: str, value: _T) -> None:
    known.pop(incarnation, None)
    known[incarnation] = value
    if len(known) > MAX_REMEMBERED:
        del known[next(iter(known))]
