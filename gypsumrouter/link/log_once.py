"""Logging something once for each peer, with bounded memory."""

from __future__ import annotations

from gypsumrouter.link.const import MAX_LOGGED_PEERS


class LogOnce:
    """Remember which names were logged."""

    __slots__ = ("_names",)

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def is_first(self, name: str) -> bool:
        """Return whether `name` is seen for the first time; the oldest names are forgotten."""
        if name in self._names:
            return False
        if len(self._names) >= MAX_LOGGED_PEERS:
            del self._names[next(iter(self._names))]
        self._names[name] = None
        return True

    def clear(self, name: str) -> bool:
        """Forget `name`; return whether it was there."""
        if name not in self._names:
            return False
        del self._names[name]
        return True
