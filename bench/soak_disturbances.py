"""When the soak test disturbed a forwarder or the store, and which guarantees hold at a time."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Final

# The drain bound holds for a forwarder while it, its connections and the store were left alone for
# this long.
CALM_S: Final = 4.0


class Disturbances:
    """Monotonic times in seconds, by the number of the forwarder and of the store.

    An interruption is a stop, a start or a resumption of a forwarder; a disturbance is anything
    that was done to it or its connections.
    """

    def __init__(self, *, forwarders: int) -> None:
        self.interruptions_s: dict[int, list[float]] = {number: [] for number in range(forwarders)}
        self.forwarders_s: dict[int, list[float]] = {number: [] for number in range(forwarders)}
        self.store_s: list[float] = []

    def note_interruption(self, number: int) -> None:
        """Record that a forwarder was stopped, started or resumed."""
        self.interruptions_s[number].append(time.monotonic())
        self.note(number)

    def note(self, number: int) -> None:
        """Record that something was done to a forwarder or its connections."""
        self.forwarders_s[number].append(time.monotonic())

    def note_all(self) -> None:
        """Record that something was done that counts for the connections of all forwarders."""
        for number in self.forwarders_s:
            self.note(number)

    def note_store(self) -> None:
        """Record that the store began or ceased to fail."""
        self.store_s.append(time.monotonic())

    def is_store_stable(self, at_s: float) -> bool:
        """Return whether an acknowledgement of the store at a time counts."""
        return _is_calm(self.store_s, at_s)

    def is_bound(self, forwarder: int, at_s: float) -> bool:
        """Return whether the drain bound holds for a request of a forwarder at a time."""
        return self.is_store_stable(at_s) and _is_calm(self.forwarders_s[forwarder], at_s)


def _is_calm(disturbed_s: Iterable[float], at_s: float) -> bool:
    return not any(at_s - CALM_S < disturbed <= at_s for disturbed in disturbed_s)
