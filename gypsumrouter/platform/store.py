"""Client of the platform's store: reads and watches below one prefix."""

from __future__ import annotations

import asyncio
import base64
import json
import logging
from typing import Any, Final
from urllib.parse import urlencode

from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.helpers.http_connection import ConnectFailed, HttpConnection, async_connect
from gypsumrouter.helpers.http_questions import async_ask
from gypsumrouter.helpers.http_response import MAX_PAGE_BYTES, ConnectionBroken
from gypsumrouter.helpers.numbers import read_json_number, read_number
from gypsumrouter.instances import Address
from gypsumrouter.platform import names
from gypsumrouter.published.models import HistoryLost, Item, ItemBatch, StoreUnavailable
from gypsumrouter.util.revisions import NUMBERS_PER_EPOCH, get_epoch, get_number, make_revision

_LOGGER = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS: Final = 1_000
RESPONSE_TIMEOUT_MS: Final = 1_500
# Limit on the pages of one list.
MAX_PAGES: Final = 64
MAX_ERA: Final = 10**18 - 1
# Eras increase by one from an arbitrary start; their last six digits are used as the epoch.
EPOCH_MODULUS: Final = 10**6


class StoreAnswer(Struct, frozen=True, kw_only=True):
    """A response of the store; `epoch` counts its restores from a backup."""

    status: int
    epoch: int
    body: bytes


class Document(Struct, frozen=True, kw_only=True):
    """A decoded body, its size in bytes, and the epoch that its revisions belong to."""

    epoch: int
    content: Any
    size: int


class Page(Struct, frozen=True, kw_only=True):
    """One page of items; unreadable ones are left out. The next page starts after `last_key`."""

    items: tuple[Item, ...]
    as_of: int
    more: bool
    last_key: str


class StoreClient:
    """Reads items below one prefix, over one connection that is opened on demand.

    A call fails `response_timeout_ms` after the end of its wait.
    """

    __slots__ = ("_address", "_connection", "_prefix", "_response_timeout_ms")

    def __init__(
        self, *, address: Address, prefix: str, response_timeout_ms: int = RESPONSE_TIMEOUT_MS
    ) -> None:
        self._address = address
        self._prefix = prefix
        self._response_timeout_ms = response_timeout_ms
        self._connection: HttpConnection | None = None

    async def async_list(self) -> ItemBatch:
        """Return all items; raises StoreUnavailable."""
        items: list[Item] = []
        as_of: int | None = None
        after, size = "", 0
        for _ in range(MAX_PAGES):
            query = {"prefix": self._prefix} | ({"after": after} if after else {})
            document = await self._async_get(names.CALL_RANGE, query, wait_ms=0)
            if document is None:
                raise StoreUnavailable("expected a list, got a lost-history status")
            page = read_page(document.content, "items", epoch=document.epoch)
            items.extend(page.items)
            # Pages are not a consistent snapshot; the watch from the first page's revision returns
            # what changed while the others were read.
            as_of = page.as_of if as_of is None else as_of
            if document.epoch != get_epoch(as_of):
                raise StoreUnavailable("store was restored from a backup while the list was read")
            if not page.more:
                return ItemBatch(items=tuple(items), as_of=as_of)
            size += document.size
            if not page.last_key or size > MAX_PAGE_BYTES:
                break
            after = page.last_key
        # Returning an incomplete list would remove the upstreams missing from it.
        raise StoreUnavailable(f"list not complete: {size} bytes, or {MAX_PAGES} pages")

    async def async_watch(self, *, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        """Return the changes after a revision; raises StoreUnavailable."""
        query = {"prefix": self._prefix, "after": str(get_number(after)), "wait_ms": str(wait_ms)}
        document = await self._async_get(names.CALL_WATCH, query, wait_ms=wait_ms)
        # After a restore the same number may belong to a different change.
        if document is None or document.epoch != get_epoch(after):
            return HistoryLost()
        page = read_page(document.content, "events", epoch=document.epoch)
        return ItemBatch(items=page.items, as_of=page.as_of)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    async def _async_get(
        self, call: str, query: dict[str, str], *, wait_ms: int
    ) -> Document | None:
        """Return a response document, None if the history is lost; raises StoreUnavailable."""
        timeout_ms = wait_ms + self._response_timeout_ms
        # The key of another writer may contain text that is not Unicode.
        target = f"{call}?{urlencode(query, errors='surrogatepass')}"
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                answer = await self._async_exchange(target)
        except (ConnectFailed, ConnectionBroken) as error:
            self.close()
            raise StoreUnavailable(str(error)) from error
        except TimeoutError:
            self.close()
            raise StoreUnavailable(f"no response in {timeout_ms} ms") from None
        except asyncio.CancelledError:
            self.close()
            raise
        if answer.status == names.STATUS_HISTORY_LOST:
            return None
        if answer.status != names.STATUS_OK:
            raise StoreUnavailable(f"expected status {names.STATUS_OK}, got {answer.status}")
        try:
            content = json.loads(answer.body)
            return Document(epoch=answer.epoch, content=content, size=len(answer.body))
        except (ValueError, RecursionError):
            self.close()
            raise StoreUnavailable("expected JSON, got a body that does not parse") from None

    async def _async_exchange(self, target: str) -> StoreAnswer:
        if (connection := self._connection) is None or not connection.reusable:
            self.close()
            connection = await async_connect(address=self._address, timeout_ms=CONNECT_TIMEOUT_MS)
            self._connection = connection
        answer, body = await async_ask(connection, target, headers={}, max_bytes=MAX_PAGE_BYTES)
        connection.finish()
        if answer.message.should_close:
            self.close()
        epoch = _read_epoch(answer.get(names.STORE_ERA))
        return StoreAnswer(status=answer.status, epoch=epoch, body=body)


def read_page(document: Any, field: str, *, epoch: int = 0) -> Page:
    """Decode a page of items in an epoch; raises StoreUnavailable if it is invalid."""
    if not isinstance(document, dict) or not isinstance(document.get(field), list):
        raise StoreUnavailable(f"expected a page with a list {field}, got a page without it")
    as_of = _read_revision(document.get("as_of"), epoch)
    if as_of is None:
        raise StoreUnavailable("expected a page with a revision as_of, got none or an invalid one")
    entries = document[field]
    return Page(
        items=tuple(item for e in entries if (item := _read_item(e, epoch)) is not None),
        as_of=as_of,
        more=bool(document.get("more_pages")),
        last_key=_read_key(entries[-1]) if entries else "",
    )


def _read_epoch(text: str | None) -> int:
    """Return the epoch of a response, 0 if it has none; raises StoreUnavailable if invalid."""
    era = 0 if text is None else read_number(text, largest=MAX_ERA)
    if era is None:
        raise StoreUnavailable(f"expected an era from 0 to {MAX_ERA}, got {text!r:.40}")
    return era % EPOCH_MODULUS


def _read_item(entry: Any, epoch: int) -> Item | None:
    """Decode an item or its removal; None if it has no valid key or revision."""
    key = _read_key(entry)
    revision = _read_revision(entry.get("revision"), epoch) if key else None
    if revision is None:
        _LOGGER.error("Ignoring an item: expected a key and a revision, got %.200r", entry)
        return None
    value = None if entry.get("tombstone") is True else _read_value(entry.get("value"))
    return Item(key=key, revision=revision, value=value)


def _read_key(entry: Any) -> str:
    key = entry.get("key") if isinstance(entry, dict) else None
    return key if isinstance(key, str) else ""


def _read_value(text: Any) -> bytes:
    """Decode a base64 value; empty bytes if it is invalid."""
    try:
        return base64.b64decode(text, validate=True)
    except (ValueError, TypeError):
        return b""


def _read_revision(value: Any, epoch: int) -> int | None:
    """Return a revision, None if invalid; booleans are rejected although they are ints."""
    number = read_json_number(value, largest=NUMBERS_PER_EPOCH - 1)
    return None if number is None else make_revision(epoch=epoch, number=number)
