"""Stand-in of the platform's store: range reads, watches and faults."""

from __future__ import annotations

import asyncio
import base64
import json
from contextlib import suppress
from enum import StrEnum
from typing import Any, Final

from aiohttp import web
from msgspec import Struct

from gypsumrouter.instances import Address
from gypsumrouter.platform import names
from gypsumrouter.standins.listener import StandinListener, reset_transport

PAGE_ITEMS: Final = 50


class StoreFault(StrEnum):
    """How the store fails: 503 (busy), connection reset, or no response (silent)."""

    NONE = "none"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"


class StoreSnapshot(Struct, frozen=True, kw_only=True):
    """Contents and history of the store at the time of the snapshot."""

    items: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    revision: int


class PublishedStoreStandin:
    """Serves reads and watches of items that tests write directly.

    Each response carries the `era` of the store, which increases with each restore.
    """

    def __init__(self, *, host: str = "127.0.0.1") -> None:
        routes = web.Application()
        routes.router.add_get(names.CALL_RANGE, self._async_range)
        routes.router.add_get(names.CALL_WATCH, self._async_watch)
        routes.on_response_prepare.append(self._async_add_era_header)
        self._listener = StandinListener(app=routes, host=host, port=0)
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self.revision = 100
        self.era = 1
        self.fault = StoreFault.NONE
        self.calls: list[str] = []

    async def async_start(self) -> Address:
        """Start listening and return the address."""
        return await self._listener.async_start()

    async def async_stop(self) -> None:
        """Stop the store and reset its connections."""
        await self._listener.async_stop()

    async def async_put(self, key: str, document: object) -> None:
        """Write an item, encoded as JSON."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._async_write({"key": key, "value": value, "created": self.revision, "lease": 0})

    async def async_remove(self, key: str) -> None:
        """Remove an item."""
        await self._async_write({"key": key, "tombstone": True})

    async def async_put_configuration(self, document: dict[str, Any]) -> None:
        """Write the configuration."""
        await self.async_put(names.KEY_CONFIGURATION, document)

    async def async_put_runner(
        self, runner: str, *, service: str, address: Address, state: str = "ready", **more: Any
    ) -> None:
        """Write the entry of a runner."""
        entry = {"service": service, "address": str(address), "state": state, "zone": "dc-a"}
        await self.async_put(f"{names.PREFIX_SERVERS}{runner}", {"slots": 6, **entry, **more})

    def compact_history(self) -> None:
        """Discard the history, so that watches from an earlier revision fail with 410."""
        self._history.clear()
        self._compacted_revision = self.revision

    def make_snapshot(self) -> StoreSnapshot:
        """Return a snapshot for `async_restore`."""
        return StoreSnapshot(
            items=dict(self._items), history=list(self._history), revision=self.revision
        )

    async def async_restore(self, snapshot: StoreSnapshot) -> StoreSnapshot:
        """Restore a snapshot: the revision goes back and later writes are lost.

        Returns a snapshot of the state before.
        """
        lost = self.make_snapshot()
        self._items = dict(snapshot.items)
        self._history = list(snapshot.history)
        self.revision = snapshot.revision
        self._compacted_revision = min(self._compacted_revision, snapshot.revision)
        self.era += 1
        async with self._changed:
            self._changed.notify_all()
        return lost

    async def async_replay_lost_writes(
        self, *, snapshot: StoreSnapshot, lost: StoreSnapshot
    ) -> None:
        """Repeat the writes that the restore lost, except for items that were written since."""
        for key in sorted(snapshot.items.keys() | lost.items.keys()):
            saved, wanted = snapshot.items.get(key), lost.items.get(key)
            if wanted is saved or self._items.get(key) is not saved:
                continue
            await self._async_write(wanted or {"key": key, "tombstone": True})

    async def async_set_fault(self, fault: StoreFault) -> None:
        """Set or clear (NONE) a fault; waiting watches are interrupted."""
        self.fault = fault
        if fault is StoreFault.RESET:
            self._listener.reset_connections()
        async with self._changed:
            self._changed.notify_all()

    async def _async_write(self, item: dict[str, Any]) -> None:
        self.revision += 1
        changed = {**item, "revision": self.revision}
        self._history.append(changed)
        if changed.get("tombstone"):
            self._items.pop(item["key"], None)
        else:
            self._items[item["key"]] = changed
        async with self._changed:
            self._changed.notify_all()

    async def _async_range(self, request: web.Request) -> web.Response:
        self.calls.append(request.path)
        await self._async_apply_fault(request)
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return web.json_response({"items": page, "more_pages": more, "as_of": self.revision})

    async def _async_watch(self, request: web.Request) -> web.Response:
        self.calls.append(request.path)
        await self._async_apply_fault(request)
        prefix, after = request.query["prefix"], int(request.query["after"])
        if not self._has_history(after):
            return self._make_gone_response()
        era = self.era
        # What was written beside the end of the wait belongs to the response, as it states the
        # present revision.
        with suppress(TimeoutError):
            async with asyncio.timeout(int(request.query["wait_ms"]) / 1_000):
                await self._async_wait(prefix, after, era)
        await self._async_apply_fault(request)
        if era != self.era or not self._has_history(after):
            return self._make_gone_response()
        return self._make_events(self._list_events(prefix, after))

    def _has_history(self, after: int) -> bool:
        return self._compacted_revision <= after <= self.revision

    async def _async_add_era_header(
        self, _request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        response.headers[names.STORE_ERA] = str(self.era)

    def _make_events(self, events: list[dict[str, Any]]) -> web.Response:
        return web.json_response({"events": events, "as_of": self.revision})

    def _make_gone_response(self) -> web.Response:
        return web.json_response({"error": "gone"}, status=410)

    async def _async_wait(self, prefix: str, after: int, era: int) -> None:
        async with self._changed:
            await self._changed.wait_for(
                lambda: (
                    self._list_events(prefix, after)
                    or self.fault is not StoreFault.NONE
                    or era != self.era
                )
            )

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            item
            for item in self._history
            if item["key"].startswith(prefix) and item["revision"] > after
        ]

    async def _async_apply_fault(self, request: web.Request) -> None:
        match self.fault:
            case StoreFault.BUSY:
                raise web.HTTPServiceUnavailable
            case StoreFault.RESET:
                if request.transport is not None:
                    reset_transport(request.transport)
                raise asyncio.CancelledError
            case StoreFault.SILENT:
                await asyncio.Event().wait()
