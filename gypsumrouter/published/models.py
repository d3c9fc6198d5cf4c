"""Items of the platform's store, and the port through which they are read."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct


class StoreUnavailable(Exception):
    """The store gave no usable answer."""


class Item(Struct, frozen=True, kw_only=True):
    """One item as of its last change; `value` is None where it was removed."""

    key: str
    revision: int
    value: bytes | None


class ItemBatch(Struct, frozen=True, kw_only=True):
    """Items with the store's revision: a whole list, or what changed since an earlier one."""

    items: tuple[Item, ...]
    as_of: int


class HistoryLost(Struct, frozen=True, kw_only=True):
    """The store no longer knows what changed since then: read the list anew."""


class PublishedStore(Protocol):
    """Reads of the store below one prefix; raises StoreUnavailable."""

    async def async_list(self) -> ItemBatch:
        """Return all items."""

    async def async_watch(self, *, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        """Return what changed after a revision, waiting for the first change."""

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
