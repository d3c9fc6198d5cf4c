"""Loads that failed: how often, from where, and when to try again."""

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
    """Count failed loads by model; another version begins anew.

    A neighbour that did not give weights is avoided for some minutes, or until the store has
    failed as well. The pause doubles with each failure at the store, with jitter, so that many
    sides do not come back at once.
    """

    __slots__ = ("_avoided_until_ms", "_clock", "_random", "_records")

    def __init__(self, *, clock: Clock, seed: int) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._records: dict[str, _FailureRecord] = {}
        self._avoided_until_ms: dict[str, int] = {}

    def record_failure(self, name: str, version: str, *, source: str) -> None:
        """Take in that a load failed; an empty `source` is the weight store."""
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
        """Forget the failures of a model that was loaded, or is not wanted any more."""
        self._records.pop(name, None)

    def get_failures(self, name: str) -> int:
        """Return how often a model could not be loaded since it last could."""
        record = self._records.get(name)
        return 0 if record is None else record.failures

    def get_wait_ms(self, name: str, version: str) -> int:
        """Return the milliseconds until the next try is due."""
        record = self._records.get(name)
        if record is None or record.version != version:
            return 0
        return max(0, record.not_before_ms - self._clock.now_ms())

    def list_avoided(self) -> frozenset[str]:
        """Return the neighbours that gave no weights a short time ago."""
        now_ms = self._clock.now_ms()
        return frozenset(
            engine for engine, until_ms in self._avoided_until_ms.items() if now_ms < until_ms
        )

    def may_try_neighbours(self, name: str, version: str) -> bool:
        """Return whether a version is worth another try at a neighbour."""
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
