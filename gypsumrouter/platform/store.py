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
from gypsumrouter.util.revisions import get_epoch, get_number, make_revision

_LOGGER = logging.getLogger(__name__)

CONNECT_MS: Final = 1_000
# A call takes 4 ms as published; a slow store takes sixty times that, and lists come in pages.
ANSWER_MS: Final = 1_500
# Pages of one list; a list of 930 runners has two.
MAX_PAGES: Final = 64
MAX_ERA_DIGITS: Final = 18
# Eras rise by one from any number on: their last six digits keep the order.
EPOCHS: Final = 10**6


class StoreAnswer(Struct, frozen=True, kw_only=True):
    """An answer of the store; `epoch` counts how often it came back from a copy."""

    status: int
    epoch: int
    body: bytes


class Document(Struct, frozen=True, kw_only=True):
    """A document of the store, and the epoch that its revisions belong to."""

    epoch: int
    content: Any


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
            if document is None:
                raise StoreUnavailable("a list without its history")
            page = read_page(document.content, "items", epoch=document.epoch)
            items.extend(page.items)
            # Pages are no snapshot: what changed after the first one is told by the watch.
            as_of = page.as_of if as_of is None else as_of
            if document.epoch != get_epoch(as_of):
                raise StoreUnavailable("restored from a copy while the list was read")
            if not page.more:
                return Listed(items=tuple(items), as_of=as_of)
            if not page.last_key:
                break
            after = page.last_key
        # A list that breaks off would end all the upstreams that it did not come to.
        raise StoreUnavailable("a list without an end")

    async def async_watch(self, *, after: int, wait_ms: int) -> Listed | HistoryLost:
        """Return what changed after a revision; raises StoreUnavailable."""
        number = str(get_number(after))
        query = {"prefix": self._prefix, "after": number, "wait_ms": str(wait_ms)}
        document = await self._async_get(names.CALL_WATCH, query, wait_ms=wait_ms)
        # After a restoration the store may know the number again, for another change.
        if document is None or document.epoch != get_epoch(after):
            return HistoryLost()
        page = read_page(document.content, "events", epoch=document.epoch)
        return Listed(items=page.items, as_of=page.as_of)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    async def _async_get(
        self, call: str, query: dict[str, str], *, wait_ms: int
    ) -> Document | None:
        """Return a document, or None where the history is lost; raises StoreUnavailable."""
        try:
            async with asyncio.timeout((wait_ms + ANSWER_MS) / MS_PER_S):
                answer = await self._async_exchange(f"{call}?{urlencode(query)}")
        except (ConnectFailed, ConnectionBroken) as error:
            self.close()
            raise StoreUnavailable(str(error)) from error
        except TimeoutError:
            self.close()
            raise StoreUnavailable("no answer in time") from None
        except asyncio.CancelledError:
            self.close()
            raise
        if answer.status == names.STATUS_HISTORY_LOST:
            return None
        if answer.status != names.STATUS_OK:
            raise StoreUnavailable(f"status {answer.status}")
        try:
            return Document(epoch=answer.epoch, content=json.loads(answer.body))
        except (ValueError, RecursionError):
            self.close()
            raise StoreUnavailable("the answer is no JSON") from None

    async def _async_exchange(self, target: str) -> StoreAnswer:
        connection = self._connection
        if connection is None or not connection.reusable:
            self.close()
            connection = await async_connect(address=self._address, timeout_ms=CONNECT_MS)
            self._connection = connection
        head = f"GET {target} HTTP/1.1\r\nHost: {self._address}\r\n\r\n"
        connection.send_request(method="GET", data=head.encode())
        answer = await connection.async_read_response()
        body = await answer.body.read()
        connection.finish()
        if answer.message.should_close:
            self.close()
        epoch = _read_epoch(answer.get(names.STORE_ERA))
        return StoreAnswer(status=answer.status, epoch=epoch, body=body)


def read_page(document: Any, field: str, *, epoch: int = 0) -> Page:
    """Return a page of an epoch; raises StoreUnavailable for a document that is none."""
    if not isinstance(document, dict) or not isinstance(document.get(field), list):
        raise StoreUnavailable(f"a page without {field}")
    as_of = _read_revision(document.get("as_of"), epoch)
    if as_of is None:
        raise StoreUnavailable("a page without its revision")
    entries = document[field]
    return Page(
        items=tuple(item for e in entries if (item := _read_item(e, epoch)) is not None),
        as_of=as_of,
        more=bool(document.get("more_pages")),
        last_key=_read_key(entries[-1]) if entries else "",
    )


def _read_epoch(text: str | None) -> int:
    """Return the epoch that an answer names, 0 where it names none; raises StoreUnavailable."""
    if text is None:
        return 0
    if text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS:
        return int(text) % EPOCHS
    raise StoreUnavailable(f"the era {text!r:.40} is no number")


def _read_item(entry: Any, epoch: int) -> Item | None:
    """Return an item or the removal of one; None where it has no key or revision."""
    key = _read_key(entry)
    revision = _read_revision(entry.get("revision"), epoch) if key else None
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


def _read_revision(value: Any, epoch: int) -> int | None:
    """Return a revision; True and False are no numbers here, though Python counts with them."""
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    try:
        return make_revision(epoch=epoch, number=value)
    except ValueError:
        return None
