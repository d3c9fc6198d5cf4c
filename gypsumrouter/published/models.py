"""Items of the platform's store, and the interface through which they are read."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct


class StoreUnavailable(Exception):
    """The store is unreachable or sent an invalid response."""


class Item(Struct, frozen=True, kw_only=True):
    """One item as of its last change; `value` is None if it was removed."""

    key: str
    revision: int
    value: bytes | None


class ItemBatch(Struct, frozen=True, kw_only=True):
    """Items as of a store revision: a full list, or the changes since an earlier revision."""

    items: tuple[Item, ...]
    as_of: int


class HistoryLost(Struct, frozen=True, kw_only=True):
    """The store's history does not reach back to the requested revision; read a full list."""


class PublishedStore(Protocol):
    """Read access to the store below one prefix; its methods raise StoreUnavailable."""

    async def async_list(self) -> ItemBatch:
        """Return all items."""

    async def async_watch(self, *, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        """Return the changes after a revision; wait up to `wait_ms` for the first one."""

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
