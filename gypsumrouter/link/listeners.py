"""Calls of listeners that must not fail, and log messages that are written once for each peer."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Generic, ParamSpec

from gypsumrouter.core import Remove
from gypsumrouter.exceptions import InvariantBroken
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


_LOGGER = logging.getLogger(__name__)
P = ParamSpec("P")


class Listeners(Generic[P]):
    """Listeners that are called in the order in which they were added."""

    __slots__ = ("_listeners",)

    def __init__(self) -> None:
        self._listeners: list[Callable[P, None]] = []

    def add(self, listener: Callable[P, None]) -> Remove:
        """Add a listener and return the function that removes it."""
        self._listeners.append(listener)

        def remove() -> None:
            if listener in self._listeners:
                self._listeners.remove(listener)

        return remove

    def call(self, *args: P.args, **kwargs: P.kwargs) -> None:
        """Call every listener."""
        for listener in tuple(self._listeners):
            call_safely(listener, *args, **kwargs)


def call_safely(listener: Callable[P, None], *args: P.args, **kwargs: P.kwargs) -> None:
    """Call a listener; log an exception in it, so that the link stays open."""
    try:
        listener(*args, **kwargs)
    except InvariantBroken:
        raise
    except Exception:
        _LOGGER.exception("A link listener raised an exception; other listeners are still called")
