"""Items of the platform's store, and the port through which they are read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class StoreUnavailable(Exception):
    """The store gave no usable answer."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Item:
    """One item as of its last change; `value` is None where it was removed."""

    key: str
    revision: int
    value: bytes | None


@dataclass(slots=True, kw_only=True, frozen=True)
class Listed:
    """Items with the store's revision: a whole list, or what changed since an earlier one."""

    items: tuple[Item, ...]
    as_of: int


@dataclass(slots=True, kw_only=True, frozen=True)
class HistoryLost:
    """The store no longer knows what changed since then: read the list anew."""


class PublishedStore(Protocol):
    """Reads of the store below one prefix; raises StoreUnavailable."""

    async def async_list(self) -> Listed:
        """Return all items."""

    async def async_watch(self, *, after: int, wait_ms: int) -> Listed | HistoryLost:
        """Return what changed after a revision, waiting for the first change."""

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
