"""Loads that failed: how often, from where, and when to try again."""

from __future__ import annotations

import random

from msgspec import Struct

from gypsumrouter.orders.const import (
    AVOIDED_MS,
    BACKOFF_FIRST_MS,
    BACKOFF_MAX_MS,
    NEIGHBOURS_ASKED,
)
from gypsumrouter.util.clock import Clock


class _Failed(Struct, kw_only=True):
    version: str
    failures: int = 0
    not_before_ms: int = 0
    neighbours: int = 0


class Retries:
    """Count failed loads by model; another version begins anew.

    A neighbour that did not give weights is avoided for some minutes, or until the store has
    failed as well. The pause doubles with each failure at the store, with jitter, so that many
    sides do not come back at once.
    """

    __slots__ = ("_avoided_until_ms", "_clock", "_failed", "_random")

    def __init__(self, *, clock: Clock, seed: int) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._failed: dict[str, _Failed] = {}
        self._avoided_until_ms: dict[str, int] = {}

    def note_failed(self, name: str, version: str, *, source: str) -> None:
        """Take in that a load failed; an empty `source` is the weight store."""
        failed = self._obtain(name, version)
        now_ms = self._clock.now_ms()
        if source:
            self._avoided_until_ms[source] = now_ms + AVOIDED_MS
            failed.neighbours += 1
            failed.not_before_ms = now_ms + self._vary(BACKOFF_FIRST_MS)
            return
        self._avoided_until_ms.clear()
        failed.neighbours = 0
        pause_ms = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS << min(failed.failures, 16))
        failed.failures += 1
        failed.not_before_ms = now_ms + self._vary(pause_ms)

    def note_done(self, name: str) -> None:
        """Forget the failures of a model that was loaded, or is not wanted any more."""
        self._failed.pop(name, None)

    def get_failures(self, name: str) -> int:
        """Return how often a model could not be loaded since it last could."""
        failed = self._failed.get(name)
        return 0 if failed is None else failed.failures

    def get_wait_ms(self, name: str, version: str) -> int:
        """Return the milliseconds until the next try is due."""
        failed = self._failed.get(name)
        if failed is None or failed.version != version:
            return 0
        return max(0, failed.not_before_ms - self._clock.now_ms())

    def list_avoided(self) -> frozenset[str]:
        """Return the neighbours that gave no weights a short time ago."""
        now_ms = self._clock.now_ms()
        return frozenset(
            engine for engine, until_ms in self._avoided_until_ms.items() if now_ms < until_ms
        )

    def may_ask_neighbours(self, name: str, version: str) -> bool:
        """Return whether a version is worth another try at a neighbour."""
        failed = self._failed.get(name)
        if failed is None or failed.version != version:
            return True
        return failed.neighbours < NEIGHBOURS_ASKED

    def _obtain(self, name: str, version: str) -> _Failed:
        failed = self._failed.get(name)
        if failed is None or failed.version != version:
            failed = self._failed[name] = _Failed(version=version)
        return failed

    def _vary(self, pause_ms: int) -> int:
        return round(pause_ms * self._random.uniform(0.5, 1.0))
