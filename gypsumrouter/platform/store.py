"""The one client of the platform's store: reads and watches below one prefix."""

from __future__ import annotations

import asyncio
import base64
import json
import logging
from typing import Any, Final
from urllib.parse import urlencode

from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    ConnectionBroken,
    HttpConnection,
    async_connect,
)
from gypsumrouter.instances import Address
from gypsumrouter.platform import names
from gypsumrouter.published.models import HistoryLost, Item, Listed, StoreUnavailable

_LOGGER = logging.getLogger(__name__)

CONNECT_MS: Final = 1_000
# A call takes 4 ms as published; a slow store takes sixty times that, and lists come in pages.
ANSWER_MS: Final = 1_500
# Pages of one list; a list of 930 runners has two.
MAX_PAGES: Final = 64


class Page(Struct, frozen=True, kw_only=True):
    """One answer of the store: its readable items, and where the next page begins."""

    items: tuple[Item, ...]
    as_of: int
    more: bool
    last_key: str


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
            document = await self._async_get(names.CALL_RANGE, query, wait_ms=0)
            page = read_page(document, "items")
            items.extend(page.items)
            # Pages are no snapshot: what changed after the first one is told by the watch.
            as_of = page.as_of if as_of is None else as_of
            if not page.more:
                return Listed(items=tuple(items), as_of=as_of)
            if not page.last_key:
                break
            after = page.last_key
        # A list that breaks off would end all the upstreams that it did not come to.
        raise StoreUnavailable("a list without an end")

    async def async_watch(self, *, after: int, wait_ms: int) -> Listed | HistoryLost:
        """Return what changed after a revision; raises StoreUnavailable."""
        query = {"prefix": self._prefix, "after": str(after), "wait_ms": str(wait_ms)}
        document = await self._async_get(names.CALL_WATCH, query, wait_ms=wait_ms)
        if document is None:
            return HistoryLost()
        page = read_page(document, "events")
        return Listed(items=page.items, as_of=page.as_of)

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
        except (ValueError, RecursionError):
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


def read_page(document: Any, field: str) -> Page:
    """Return a page; raises StoreUnavailable for a document that is none."""
    if not isinstance(document, dict) or not isinstance(document.get(field), list):
        raise StoreUnavailable(f"a page without {field}")
    as_of = _read_revision(document.get("as_of"))
    if as_of is None:
        raise StoreUnavailable("a page without its revision")
    entries = document[field]
    return Page(
        items=tuple(item for item in map(_read_item, entries) if item is not None),
        as_of=as_of,
        more=bool(document.get("more_pages")),
        last_key=_read_key(entries[-1]) if entries else "",
    )


def _read_item(entry: Any) -> Item | None:
    """Return an item or the removal of one; None where it has no key or revision."""
    key = _read_key(entry)
    revision = _read_revision(entry.get("revision")) if key else None
    if revision is None:
        _LOGGER.error("An item without a key or a revision: %.200r", entry)
        return None
    value = None if entry.get("tombstone") is True else _read_value(entry.get("value"))
    return Item(key=key, revision=revision, value=value)


def _read_key(entry: Any) -> str:
    key = entry.get("key") if isinstance(entry, dict) else None
    return key if isinstance(key, str) else ""


def _read_value(text: Any) -> bytes:
    """Return the bytes of a value; of one that is no text in base64, none."""
    try:
        return base64.b64decode(text, validate=True)
    except (ValueError, TypeError):
        return b""


def _read_revision(value: Any) -> int | None:
    """Return a whole number of changes; True and False are none, though Python counts with them."""
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        return None
    return value
