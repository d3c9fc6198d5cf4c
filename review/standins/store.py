"""Stand-in of the platform's store: reads and watches as PROTOCOL.md has them.

Runners and the operator write with `PUT /write?key=KEY`, which is the stand-in's own. A runner's
entry expires after three heartbeat intervals without a write.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time

from standins.http import Request, make_response, read_request

ANSWER_S = 0.004
HEARTBEAT_S = 1.2
PAGE_ITEMS = 50


class Store:
    """The items, and the history of their changes."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict[str, object]] = {}
        self.history: list[dict[str, object]] = []
        self._written_s: dict[str, float] = {}
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()
        self.log: list[tuple[float, str, str]] = []
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._tasks.add(asyncio.create_task(self._expire()))

    async def put(self, key: str, value: bytes) -> None:
        """Write an item; a write of the same value changes nothing but its time."""
        self._written_s[key] = time.monotonic()
        text = base64.b64encode(value).decode()
        known = self.items.get(key)
        if known is not None and known["value"] == text:
            return
        self.revision += 1
        item = {"key": key, "value": text, "revision": self.revision, "lease": 0}
        item["created"] = self.revision if known is None else known["created"]
        self.items[key] = item
        await self._note(item)

    async def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        await self._note({"key": key, "revision": self.revision, "tombstone": True})

    async def _note(self, change: dict[str, object]) -> None:
        self.history.append(change)
        value = str(change.get("value", ""))
        shown = base64.b64decode(value).decode() if value else "removed"
        self.log.append((time.monotonic(), str(change["key"]), shown))
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for key in tuple(self.items):
                if not key.startswith("servers/"):
                    continue
                if time.monotonic() - self._written_s[key] > 3 * HEARTBEAT_S:
                    await self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                status, document = await self._answer(request)
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(make_response(status, headers, json.dumps(document).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, object]:
        if request.method == "PUT":
            await self.put(request.query["key"], request.body)
            return 200, {}
        if request.path == "/api/kv-range":
            return 200, self._range(request.query["prefix"], request.query.get("after", ""))
        if request.path == "/api/kv-watch":
            return await self._watch(request)
        return 404, {}

    def _range(self, prefix: str, after: str) -> object:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "more_pages": len(keys) > PAGE_ITEMS, "as_of": self.revision}

    async def _watch(self, request: Request) -> tuple[int, object]:
        prefix, after = request.query["prefix"], int(request.query["after"])
        if after > self.revision:
            return 410, {}

        def find() -> list[dict[str, object]]:
            return [
                change
                for change in self.history
                if str(change["key"]).startswith(prefix) and int(str(change["revision"])) > after
            ]

        try:
            async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(find)
        except TimeoutError:
            pass
        return 200, {"events": find(), "as_of": self.revision}
