"""Limits repeated log messages to one for each peer."""

from __future__ import annotations

from gypsumrouter.link.const import MAX_LOGGED_PEERS


class LogOnce:
    """Names for which a message was logged; the oldest are removed when there are too many."""

    __slots__ = ("_names",)

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def is_first(self, name: str) -> bool:
        """Add `name`; return whether it is new."""
        if name in self._names:
            return False
        if len(self._names) >= MAX_LOGGED_PEERS:
            del self._names[next(iter(self._names))]
        self._names[name] = None
        return True

    def clear(self, name: str) -> bool:
        """Remove `name`; return whether it was present."""
        if name not in self._names:
            return False
        del self._names[name]
        return True
