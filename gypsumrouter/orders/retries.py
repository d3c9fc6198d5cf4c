"""Failed loads: their number, their sources and the back-off before the next attempt."""

from __future__ import annotations

import random

from msgspec import Struct

from gypsumrouter.orders.const import (
    BACKOFF_FIRST_MS,
    BACKOFF_MAX_MS,
    MAX_NEIGHBOUR_FAILURES,
    NEIGHBOUR_AVOID_MS,
)
from gypsumrouter.util.clock import Clock


class _FailureRecord(Struct, kw_only=True):
    version: str
    failures: int = 0
    not_before_ms: int = 0
    neighbour_failures: int = 0


class Retries:
    """Count failed loads by model; the count restarts with another version.

    An engine from which a load failed is avoided for NEIGHBOUR_AVOID_MS, or until a load from the
    store has failed as well. The back-off doubles with each failure at the store, with jitter to
    spread the retries of many sides.
    """

    __slots__ = ("_avoided_until_ms", "_clock", "_random", "_records")

    def __init__(self, *, clock: Clock, seed: int) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._records: dict[str, _FailureRecord] = {}
        self._avoided_until_ms: dict[str, int] = {}

    def record_failure(self, name: str, version: str, *, source: str) -> None:
        """Record a failed load; an empty `source` is the weight store."""
        record = self._get_or_create(name, version)
        now_ms = self._clock.now_ms()
        if source:
            self._avoided_until_ms[source] = now_ms + NEIGHBOUR_AVOID_MS
            record.neighbour_failures += 1
            record.not_before_ms = now_ms + self._jitter(BACKOFF_FIRST_MS)
            return
        self._avoided_until_ms.clear()
        record.neighbour_failures = 0
        pause_ms = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS << min(record.failures, 16))
        record.failures += 1
        record.not_before_ms = now_ms + self._jitter(pause_ms)

    def clear(self, name: str) -> None:
        """Clear the failures of a model that was loaded or is no longer needed."""
        self._records.pop(name, None)

    def get_failures(self, name: str) -> int:
        """Return the number of failures since the last successful load of a model."""
        record = self._records.get(name)
        return 0 if record is None else record.failures

    def get_wait_ms(self, name: str, version: str) -> int:
        """Return the time until the next attempt is due."""
        record = self._records.get(name)
        if record is None or record.version != version:
            return 0
        return max(0, record.not_before_ms - self._clock.now_ms())

    def list_avoided(self) -> frozenset[str]:
        """Return the engines that are not used as sources at present."""
        now_ms = self._clock.now_ms()
        return frozenset(
            engine for engine, until_ms in self._avoided_until_ms.items() if now_ms < until_ms
        )

    def may_try_neighbours(self, name: str, version: str) -> bool:
        """Return whether a version may be loaded from another engine."""
        record = self._records.get(name)
        if record is None or record.version != version:
            return True
        return record.neighbour_failures < MAX_NEIGHBOUR_FAILURES

    def _get_or_create(self, name: str, version: str) -> _FailureRecord:
        record = self._records.get(name)
        if record is None or record.version != version:
            record = self._records[name] = _FailureRecord(version=version)
        return record

    def _jitter(self, pause_ms: int) -> int:
        return round(pause_ms * self._random.uniform(0.5, 1.0))
