"""A map of bounded size."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

_K = TypeVar("_K", bound=Hashable)
_V = TypeVar("_V")


class LruMap(Generic[_K, _V]):
    """A map that evicts the least recently used entry when it is full."""

    __slots__ = ("_items", "_size")

    def __init__(self, *, size: int) -> None:
        self._items: OrderedDict[_K, _V] = OrderedDict()
        self._size = size

    def __len__(self) -> int:
        return len(self._items)

    def get(self, key: _K) -> _V | None:
        """Return the value of a key, or None, and mark the entry as recently used."""
        value = self._items.get(key)
        if value is not None:
            self._items.move_to_end(key)
        return value

    def put(self, key: _K, value: _V) -> None:
        """Set the value of a key and evict the least recently used entry if needed."""
        self._items[key] = value
        self._items.move_to_end(key)
        if len(self._items) > self._size:
            self._items.popitem(last=False)
