"""Loads that failed: how often, from where, and when to try again."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from gypsumrouter.orders.const import BACKOFF_FIRST_MS, BACKOFF_MAX_MS
from gypsumrouter.util.clock import Clock


@dataclass(slots=True, kw_only=True)
class _Failed:
    version: str
    failures: int = 0
    not_before_ms: int = 0
    avoided: set[str] = field(default_factory=set)


class Retries:
    """Count failed loads by model; another version begins anew.

    A neighbour that does not give its weights is avoided until the store has failed as well. The
    pause doubles with each failure at the store, with jitter, so that many sides do not come back
    at once.
    """

    __slots__ = ("_clock", "_failed", "_random")

    def __init__(self, *, clock: Clock, seed: int) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._failed: dict[str, _Failed] = {}

    def note_failed(self, name: str, version: str, *, source: str) -> None:
        """Take in that a load failed; an empty `source` is the weight store."""
        failed = self._obtain(name, version)
        now_ms = self._clock.now_ms()
        if source:
            failed.avoided.add(source)
            failed.not_before_ms = now_ms + self._vary(BACKOFF_FIRST_MS)
            return
        failed.avoided.clear()
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

    def get_avoided(self, name: str, version: str) -> frozenset[str]:
        """Return the neighbours that did not give a version."""
        failed = self._failed.get(name)
        if failed is None or failed.version != version:
            return frozenset()
        return frozenset(failed.avoided)

    def _obtain(self, name: str, version: str) -> _Failed:
        failed = self._failed.get(name)
        if failed is None or failed.version != version:
            failed = self._failed[name] = _Failed(version=version)
        return failed

    def _vary(self, pause_ms: int) -> int:
        return round(pause_ms * self._random.uniform(0.5, 1.0))
