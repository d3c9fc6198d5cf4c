"""Lists of listeners for events of the links."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Generic, ParamSpec

from gypsumrouter.core import Remove
from gypsumrouter.exceptions import InvariantBroken

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
