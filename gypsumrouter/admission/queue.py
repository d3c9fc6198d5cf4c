"""The wait queue: which request runs next, and which one is evicted when the queue is full."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

from gypsumrouter.admission.const import (
    COMPACT_RATIO,
    COMPACT_SPARE,
    GRANTS_PER_BATCH_GRANT,
    GRANTS_PER_LATE_GRANT,
    GUARANTEE_RELEASES,
    LOOKAHEAD_RELEASES,
    MIN_PENALTY,
)
from gypsumrouter.admission.shares import Shares, WorkspaceUsage
from gypsumrouter.admission.waiters import Waiter, WaiterGroup
from gypsumrouter.configuration.models import CallerClass

_GroupKey = tuple[str, CallerClass]


class WaitQueue:
    """Orders waiting requests by the cost of further delay.

    Interactive requests that can still meet their latency target are ordered by the apparent
    tardiness cost (ATC) rule: penalty per millisecond of slot time, discounted by the remaining
    slack. Requests of workspaces below their guaranteed share go first once their slack is short.
    Late requests, whose target has passed, follow, and batch work comes last. To prevent
    starvation, late requests and batch work each get a fixed minimum fraction of the grants.
    """

    __slots__ = (
        "_expiring",
        "_grants_since_batch",
        "_grants_since_late",
        "_groups",
        "_late_waiting",
        "_shares",
        "interactive",
        "size",
    )

    def __init__(self, *, shares: Shares) -> None:
        self._shares = shares
        self._groups: dict[_GroupKey, WaiterGroup] = {}
        self._expiring: list[tuple[float, int, Waiter]] = []
        self._grants_since_late = 0
        self._late_waiting = False
        self._grants_since_batch = 0
        self.size = 0
        self.interactive = 0

    @property
    def batch(self) -> int:
        """Return the number of waiting batch requests."""
        return self.size - self.interactive

    def add(self, waiter: Waiter) -> None:
        """Add a waiter."""
        key = (waiter.usage.name, waiter.caller_class)
        group = self._groups.get(key)
        if group is None:
            group = WaiterGroup(usage=waiter.usage, caller_class=waiter.caller_class)
            self._groups[key] = group
        group.add(waiter)
        self._compact_expiring()
        heapq.heappush(self._expiring, (waiter.expires_ms, waiter.sequence, waiter))
        waiter.queued = True
        self._adjust_counts(waiter, 1)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter; its heap entries are dropped lazily."""
        if not waiter.queued:
            return
        waiter.queued = False
        self._adjust_counts(waiter, -1)
        key = (waiter.usage.name, waiter.caller_class)
        group = self._groups[key]
        group.size -= 1
        if group.size == 0:
            del self._groups[key]
        if self.size == 0:
            self._expiring.clear()
            self._grants_since_late = 0
            self._grants_since_batch = 0

    def select_next(
        self, *, now_ms: int, slots: int, release_interval_ms: float, batch_allowed: bool
    ) -> Waiter | None:
        """Return the request to run next, or None if none may run.

        `release_interval_ms` is the expected time between two slot releases. `batch_allowed` says
        whether a batch request may start now.
        """
        if self._grants_since_batch >= GRANTS_PER_BATCH_GRANT:
            overdue = self._select_batch()
            if overdue is not None:
                return overdue
        best, late = self._select_interactive(now_ms, slots, release_interval_ms)
        self._late_waiting = late is not None
        if late is not None and (
            best is None or self._grants_since_late >= GRANTS_PER_LATE_GRANT - 1
        ):
            return late
        if best is not None:
            return best
        return self._select_batch() if batch_allowed else None

    def record_grant(self, waiter: Waiter, *, now_ms: int) -> bool:
        """Count a grant; return whether it was a batch request's anti-starvation grant."""
        if waiter.caller_class.batch:
            overdue = self._grants_since_batch >= GRANTS_PER_BATCH_GRANT
            self._grants_since_batch = 0
            return overdue
        if self.batch:
            self._grants_since_batch += 1
        if waiter.start_by_ms < now_ms:
            self._grants_since_late = 0
        elif self._late_waiting:
            self._grants_since_late += 1
        return False

    def find_victim(
        self, *, capacity: int, newcomer: WorkspaceUsage | None, interactive_only: bool
    ) -> Waiter | None:
        """Return the waiter to evict so that the total load fits `capacity`.

        It is chosen from the workspace that exceeds its guaranteed share by the largest amount.
        Returns None if that is the newcomer's own workspace. With `interactive_only` batch
        requests, which don't count as load while they wait, are not evicted.
        """
        worst: WorkspaceUsage | None = newcomer
        worst_excess = -math.inf if newcomer is None else self._get_excess(newcomer, capacity) + 1
        for usage in self._shares.list_waiting():
            excess = self._get_excess(usage, capacity)
            if excess > worst_excess:
                worst = usage
                worst_excess = excess
        if worst is None or worst is newcomer:
            return None
        return self._find_workspace_victim(worst, interactive_only=interactive_only)

    def find_lower_class_victim(
        self, usage: WorkspaceUsage, newcomer_class: CallerClass, *, interactive_only: bool
    ) -> Waiter | None:
        """Return a waiter of the same workspace whose class ranks below the newcomer's."""
        victim = self._find_workspace_victim(usage, interactive_only=interactive_only)
        if victim is None or _get_eviction_rank(victim.caller_class) >= _get_eviction_rank(
            newcomer_class
        ):
            return None
        return victim

    def iter_expired(self, now_ms: int) -> Iterator[Waiter]:
        """Yield waiters that can no longer meet their deadline; the caller removes them."""
        while self._expiring and self._expiring[0][0] <= now_ms:
            _, _, waiter = heapq.heappop(self._expiring)
            if waiter.queued:
                yield waiter

    def count_due(self, *, start_by_ms: float, limit: int) -> int:
        """Return the number of interactive requests due by `start_by_ms`, at most `limit`."""
        due = 0
        for group in self._groups.values():
            if group.caller_class.batch:
                continue
            due += group.count_due(start_by_ms)
            if due >= limit:
                return limit
        return due

    def list_waiters(self) -> list[Waiter]:
        """Return all waiting requests."""
        return [waiter for _, _, waiter in self._expiring if waiter.queued]

    def _compact_expiring(self) -> None:
        """Rebuild the expiry heap once most of its entries have left the queue."""
        if len(self._expiring) < COMPACT_RATIO * (self.size + COMPACT_SPARE):
            return
        self._expiring = [item for item in self._expiring if item[2].queued]
        heapq.heapify(self._expiring)

    def _adjust_counts(self, waiter: Waiter, change: int) -> None:
        self.size += change
        waiter.usage.waiting += change
        if not waiter.caller_class.batch:
            self.interactive += change

    def _get_excess(self, usage: WorkspaceUsage, capacity: int) -> float:
        return usage.load - self._shares.get_guarantee(usage, capacity)

    def _select_interactive(
        self, now_ms: int, slots: int, release_interval_ms: float
    ) -> tuple[Waiter | None, Waiter | None]:
        """Return the best request that can meet its target, and the oldest late request."""
        best: Waiter | None = None
        best_rank = (False, -math.inf)
        oldest_late: Waiter | None = None
        lookahead_ms = LOOKAHEAD_RELEASES * release_interval_ms
        guarantee_ms = GUARANTEE_RELEASES * release_interval_ms
        for group in self._groups.values():
            if group.caller_class.batch:
                continue
            front = group.front(now_ms)
            late = group.oldest_late()
            if late is not None and (oldest_late is None or late.sequence < oldest_late.sequence):
                oldest_late = late
            if front is None:
                continue
            slack_ms = front.start_by_ms - now_ms
            guaranteed = slack_ms <= guarantee_ms and self._shares.is_below_guarantee(
                group.usage, slots
            )
            penalty = max(MIN_PENALTY, group.caller_class.penalty)
            cost = math.log(penalty / front.service.hold_ms) - slack_ms / lookahead_ms
            rank = (guaranteed, cost)
            if rank > best_rank:
                best = front
                best_rank = rank
        return best, oldest_late

    def _select_batch(self) -> Waiter | None:
        """Return the batch request of the workspace with the least running batch work per share."""
        best: Waiter | None = None
        best_rank = (math.inf, math.inf)
        for group in self._groups.values():
            if not group.caller_class.batch:
                continue
            # Batch requests have a target for the whole response only, so none of them is late.
            front = group.front(-math.inf)
            if front is None:
                continue
            rank = (group.usage.batch_running / group.usage.share, front.start_by_ms)
            if rank < best_rank:
                best = front
                best_rank = rank
        return best

    def _find_workspace_victim(
        self, usage: WorkspaceUsage, *, interactive_only: bool
    ) -> Waiter | None:
        groups = [
            group
            for group in self._groups.values()
            if group.usage is usage and not (interactive_only and group.caller_class.batch)
        ]
        if not groups:
            return None
        return min(groups, key=lambda group: _get_eviction_rank(group.caller_class)).find_victim()


def _get_eviction_rank(caller_class: CallerClass) -> tuple[bool, float]:
    return (not caller_class.batch, caller_class.penalty)
