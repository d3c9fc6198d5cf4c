"""The one client of the platform's store: reads and watches below one prefix."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any, Final
from urllib.parse import urlencode

from gypsumrouter.const import MS_PER_S
from gypsumrouter.fleet.models import Address
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    ConnectionBroken,
    HttpConnection,
    async_connect,
)
from gypsumrouter.platform import names
from gypsumrouter.published.models import HistoryLost, Item, Listed, StoreUnavailable

CONNECT_MS: Final = 1_000
# A call takes 4 ms as published; a slow store takes sixty times that, and lists come in pages.
ANSWER_MS: Final = 1_500
# Pages of one list; a list of 930 runners has two.
MAX_PAGES: Final = 64


class StoreClient:
    """Reads what lies below one prefix, over one connection that is opened when it is needed."""

    __slots__ = ("_address", "_connection", "_prefix")

    def __init__(self, *, address: Address, prefix: str) -> None:
        self._address = address
        self._prefix = prefix
        self._connection: HttpConnection | None = None

    async def async_list(self) -> Listed:
        """Return all items; raises StoreUnavailable."""
        items: list[Item] = []
        as_of: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": self._prefix}
            if after:
                query["after"] = after
            page = await self._async_get(names.CALL_RANGE, query, wait_ms=0)
            found = [_read_item(entry) for entry in page["items"]]
            items.extend(found)
            # Pages are no snapshot: what changed after the first one is told by the watch.
            as_of = page["as_of"] if as_of is None else as_of
            if not page.get("more_pages") or not found:
                break
            after = found[-1].key
        return Listed(items=tuple(items), as_of=as_of or 0)

    async def async_watch(self, *, after: int, wait_ms: int) -> Listed | HistoryLost:
        """Return what changed after a revision; raises StoreUnavailable."""
        query = {"prefix": self._prefix, "after": str(after), "wait_ms": str(wait_ms)}
        page = await self._async_get(names.CALL_WATCH, query, wait_ms=wait_ms)
        if page is None:
            return HistoryLost()
        return Listed(
            items=tuple(_read_item(entry) for entry in page["events"]), as_of=page["as_of"]
        )

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    async def _async_get(self, call: str, query: dict[str, str], *, wait_ms: int) -> Any:
        """Return a document, or None where the history is lost; raises StoreUnavailable."""
        try:
            async with asyncio.timeout((wait_ms + ANSWER_MS) / MS_PER_S):
                status, body = await self._async_exchange(f"{call}?{urlencode(query)}")
        except (ConnectFailed, ConnectionBroken) as error:
            self.close()
            raise StoreUnavailable(str(error)) from error
        except TimeoutError:
            self.close()
            raise StoreUnavailable("no answer in time") from None
        except asyncio.CancelledError:
            self.close()
            raise
        if status == names.STATUS_HISTORY_LOST:
            return None
        if status != names.STATUS_OK:
            raise StoreUnavailable(f"status {status}")
        try:
            return json.loads(body)
        except ValueError:
            self.close()
            raise StoreUnavailable("the answer is no JSON") from None

    async def _async_exchange(self, target: str) -> tuple[int, bytes]:
        connection = self._connection
        if connection is None or not connection.reusable:
            self.close()
            connection = await async_connect(address=self._address, timeout_ms=CONNECT_MS)
            self._connection = connection
        head = f"GET {target} HTTP/1.1\r\nHost: {self._address}\r\n\r\n"
        connection.begin(method="GET", data=head.encode())
        answer = await connection.async_read_answer()
        body = await answer.body.read()
        connection.finish()
        if answer.message.should_close:
            self.close()
        return answer.status, body


def _read_item(entry: dict[str, Any]) -> Item:
    """Return an item or the removal of one."""
    value = None if entry.get("tombstone") else base64.b64decode(entry["value"])
    return Item(key=entry["key"], revision=entry["revision"], value=value)
