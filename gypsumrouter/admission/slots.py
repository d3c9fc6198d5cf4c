"""Slots: permits to run a request at the upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumrouter.admission.const import YIELD_TIMEOUT_MS
from gypsumrouter.admission.estimates import ServiceTime
from gypsumrouter.admission.shares import WorkspaceUsage


class Slot:
    """Permit to run one request until it is released.

    `priority` is passed to the engine; higher values run first. `yield_requested` asks the holder
    of a batch slot to cancel its request and have it admitted again.
    """

    __slots__ = (
        "_on_release",
        "batch",
        "first_token_seen",
        "granted_ms",
        "priority",
        "protected",
        "released",
        "request_id",
        "service",
        "usage",
        "yield_requested",
        "yield_requested_ms",
    )

    def __init__(
        self,
        *,
        request_id: str,
        priority: int,
        batch: bool,
        protected: bool,
        granted_ms: int,
        usage: WorkspaceUsage,
        service: ServiceTime,
        on_release: Callable[[Slot], None],
    ) -> None:
        self.request_id = request_id
        self.priority = priority
        self.batch = batch
        self.protected = protected
        self.granted_ms = granted_ms
        self.usage = usage
        self.service = service
        self.released = False
        self.first_token_seen = False
        self.yield_requested = asyncio.Event()
        self.yield_requested_ms = 0
        self._on_release = on_release

    def release(self) -> None:
        """Release the slot; further calls have no effect."""
        if self.released:
            return
        self.released = True
        self._on_release(self)


class Slots:
    """The slots in use."""

    __slots__ = ("_batch", "running")

    def __init__(self) -> None:
        self.running = 0
        self._batch: set[Slot] = set()

    @property
    def batch_running(self) -> int:
        """Return the number of slots held by batch work."""
        return len(self._batch)

    def acquire(self, slot: Slot) -> None:
        """Count a slot as in use."""
        self.running += 1
        if slot.batch:
            self._batch.add(slot)
            slot.usage.batch_running += 1
        else:
            slot.usage.running += 1

    def release(self, slot: Slot) -> None:
        """Count a slot as free."""
        self.running -= 1
        if slot.batch:
            self._batch.discard(slot)
            slot.usage.batch_running -= 1
        else:
            slot.usage.running -= 1

    def request_yields(self, *, needed: int, now_ms: int) -> int:
        """Ask batch slots to yield until `needed` of them are expected to be released.

        The most recently granted are asked first, because they lose the least work. A slot that has
        not yielded within YIELD_TIMEOUT_MS is no longer expected to. Returns the number of slots
        asked.
        """
        pending = sum(
            slot.yield_requested.is_set() and now_ms - slot.yield_requested_ms < YIELD_TIMEOUT_MS
            for slot in self._batch
        )
        missing = needed - pending
        if missing <= 0:
            return 0
        candidates = [s for s in self._batch if not s.yield_requested.is_set() and not s.protected]
        candidates.sort(key=lambda slot: (-slot.granted_ms, slot.request_id))
        for slot in candidates[:missing]:
            slot.yield_requested_ms = now_ms
            slot.yield_requested.set()
        return min(missing, len(candidates))
