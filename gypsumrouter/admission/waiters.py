"""Waiting requests, grouped by workspace and class."""

from __future__ import annotations

import asyncio
import heapq
from collections import deque

from gypsumrouter.admission.estimates import ServiceTime
from gypsumrouter.admission.shares import WorkspaceUsage
from gypsumrouter.admission.slots import Slot
from gypsumrouter.configuration.models import CallerClass
from gypsumrouter.outcomes import Refused


class Waiter:
    """One request that waits for a slot; all times are monotonic milliseconds.

    `start_by_ms` is the latest start that meets the latency target, `expires_ms` the latest start
    that meets the caller's deadline.
    """

    __slots__ = (
        "arrived_ms",
        "caller_class",
        "expires_ms",
        "future",
        "queued",
        "request_id",
        "sequence",
        "service",
        "start_by_ms",
        "usage",
    )

    def __init__(
        self,
        *,
        request_id: str,
        sequence: int,
        usage: WorkspaceUsage,
        caller_class: CallerClass,
        service: ServiceTime,
        arrived_ms: int,
        start_by_ms: float,
        expires_ms: float,
        future: asyncio.Future[Slot | Refused],
    ) -> None:
        self.request_id = request_id
        self.sequence = sequence
        self.usage = usage
        self.caller_class = caller_class
        self.service = service
        self.arrived_ms = arrived_ms
        self.start_by_ms = start_by_ms
        self.expires_ms = expires_ms
        self.future = future
        self.queued = False


class WaiterGroup:
    """The waiters of one workspace and class, ordered by their latest start.

    All of them have the same target and penalty, so only the front has to be compared with other
    groups. Late waiters, whose latest start has passed, are kept in a separate list, oldest first.
    """

    __slots__ = ("_heap", "_late", "caller_class", "size", "usage")

    def __init__(self, *, usage: WorkspaceUsage, caller_class: CallerClass) -> None:
        self.usage = usage
        self.caller_class = caller_class
        self.size = 0
        self._heap: list[tuple[float, int, Waiter]] = []
        self._late: deque[Waiter] = deque()

    def add(self, waiter: Waiter) -> None:
        """Add a waiter."""
        heapq.heappush(self._heap, (waiter.start_by_ms, waiter.sequence, waiter))
        self.size += 1

    def front(self, now_ms: float) -> Waiter | None:
        """Return the waiter that must start first among those that are not late."""
        heap = self._heap
        while heap:
            start_by_ms, _, waiter = heap[0]
            if not waiter.queued:
                heapq.heappop(heap)
                continue
            if start_by_ms >= now_ms:
                return waiter
            heapq.heappop(heap)
            self._late.append(waiter)
        return None

    def oldest_late(self) -> Waiter | None:
        """Return the waiter that has been late longest; call :meth:`front` first."""
        while self._late and not self._late[0].queued:
            self._late.popleft()
        return self._late[0] if self._late else None

    def count_due(self, start_by_ms: float) -> int:
        """Return the number of waiters that are late or must start by a time."""
        late = sum(waiter.queued for waiter in self._late)
        return late + sum(item[0] <= start_by_ms and item[2].queued for item in self._heap)

    def find_victim(self) -> Waiter | None:
        """Return the waiter to evict: the most recently late one, else the newest."""
        late_waiters = [waiter for waiter in self._late if waiter.queued]
        if late_waiters:
            return late_waiters[-1]
        waiting = (waiter for _, _, waiter in self._heap if waiter.queued)
        return max(waiting, key=lambda waiter: waiter.sequence, default=None)
