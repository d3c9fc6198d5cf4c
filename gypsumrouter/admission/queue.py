"""The queue: who runs next, and who is turned away when there is no room."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

from gypsumrouter.admission.const import (
    BATCH_EVERY,
    ENDED_RATIO,
    ENDED_SPARE,
    GUARANTEE_RELEASES,
    HOPELESS_EVERY,
    LOOKAHEAD_RELEASES,
    MIN_PENALTY,
)
from gypsumrouter.admission.shares import Shares, Usage
from gypsumrouter.admission.waiters import Group, Waiter
from gypsumrouter.configuration.models import CallerClass

_GroupKey = tuple[str, CallerClass]


class WaitQueue:
    """Orders waiting requests by the penalty that more waiting costs.

    Among requests that can still meet their target the index of apparent tardiness cost decides:
    penalty for each millisecond of slot time, discounted by the time that is left. Workspaces
    that run less than their guarantee go first once their time gets short. Requests out of reach
    of their target come after all that are within, batch work last; a fixed part of the grants
    goes to each of these two, so that neither waits for ever.
    """

    __slots__ = (
        "_batch_passed",
        "_expiring",
        "_groups",
        "_hopeless_passed",
        "_hopeless_waits",
        "_shares",
        "interactive",
        "size",
    )

    def __init__(self, *, shares: Shares) -> None:
        self._shares = shares
        self._groups: dict[_GroupKey, Group] = {}
        self._expiring: list[tuple[float, int, Waiter]] = []
        self._hopeless_passed = 0
        self._hopeless_waits = False
        self._batch_passed = 0
        self.size = 0
        self.interactive = 0

    @property
    def batch(self) -> int:
        """Return how many batch requests wait."""
        return self.size - self.interactive

    def add(self, waiter: Waiter) -> None:
        """Add a waiter."""
        key = (waiter.usage.name, waiter.caller_class)
        group = self._groups.get(key)
        if group is None:
            group = Group(usage=waiter.usage, caller_class=waiter.caller_class)
            self._groups[key] = group
        group.add(waiter)
        self._drop_ended()
        heapq.heappush(self._expiring, (waiter.expires_ms, waiter.order, waiter))
        waiter.queued = True
        self._count(waiter, 1)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter; what the heaps still hold of it is dropped when it surfaces."""
        if not waiter.queued:
            return
        waiter.queued = False
        self._count(waiter, -1)
        key = (waiter.usage.name, waiter.caller_class)
        group = self._groups[key]
        group.size -= 1
        if group.size == 0:
            del self._groups[key]
        if self.size == 0:
            self._expiring.clear()
            self._hopeless_passed = 0
            self._batch_passed = 0

    def pick(
        self, *, now_ms: int, slots: int, release_ms: float, batch_fits: bool
    ) -> Waiter | None:
        """Return who runs next, None if nobody may.

        `release_ms` is the expected time between two releases, `batch_fits` whether the reserve
        lets batch work run.
        """
        if self._batch_passed >= BATCH_EVERY:
            due = self._first_batch()
            if due is not None:
                return due
        best, hopeless = self._find_interactive(now_ms, slots, release_ms)
        self._hopeless_waits = hopeless is not None
        if hopeless is not None and (best is None or self._hopeless_passed >= HOPELESS_EVERY - 1):
            return hopeless
        if best is not None:
            return best
        return self._first_batch() if batch_fits else None

    def note_granted(self, waiter: Waiter, *, now_ms: int) -> bool:
        """Count a grant; returns whether batch work ran because it was passed over for long."""
        if waiter.caller_class.batch:
            due = self._batch_passed >= BATCH_EVERY
            self._batch_passed = 0
            return due
        if self.batch:
            self._batch_passed += 1
        if waiter.start_by_ms < now_ms:
            self._hopeless_passed = 0
        elif self._hopeless_waits:
            self._hopeless_passed += 1
        return False

    def pick_victim(self, *, room: int, newcomer: Usage | None, counted: bool) -> Waiter | None:
        """Return who is turned away when there is room for a load of `room`.

        It falls on the workspace that is most above its share of the room; None where that is the
        newcomer's own. With `counted` only those that count as load are turned away.
        """
        worst: Usage | None = newcomer
        worst_excess = -math.inf if newcomer is None else self._get_excess(newcomer, room) + 1
        for usage in self._shares.list_waiting():
            excess = self._get_excess(usage, room)
            if excess > worst_excess:
                worst = usage
                worst_excess = excess
        if worst is None or worst is newcomer:
            return None
        return self._find_victim(worst, counted=counted)

    def find_own_victim(
        self, usage: Usage, newcomer_class: CallerClass, *, counted: bool
    ) -> Waiter | None:
        """Return a waiter of the same workspace that is worth less than the newcomer."""
        victim = self._find_victim(usage, counted=counted)
        if victim is None or _get_worth(victim.caller_class) >= _get_worth(newcomer_class):
            return None
        return victim

    def pop_expired(self, now_ms: int) -> Iterator[Waiter]:
        """Yield every waiter that can't be answered in time any more; the caller removes it."""
        while self._expiring and self._expiring[0][0] <= now_ms:
            _, _, waiter = heapq.heappop(self._expiring)
            if waiter.queued:
                yield waiter

    def count_urgent(self, *, start_by_ms: float, most: int) -> int:
        """Return how many interactive requests must start by a time, counted up to `most`."""
        urgent = 0
        for group in self._groups.values():
            if group.caller_class.batch:
                continue
            urgent += group.count_due(start_by_ms)
            if urgent >= most:
                return most
        return urgent

    def list_waiters(self) -> list[Waiter]:
        """Return all that wait."""
        return [waiter for _, _, waiter in self._expiring if waiter.queued]

    def _drop_ended(self) -> None:
        """Forget those that no longer wait once they are most of what is held."""
        if len(self._expiring) < ENDED_RATIO * (self.size + ENDED_SPARE):
            return
        self._expiring = [item for item in self._expiring if item[2].queued]
        heapq.heapify(self._expiring)

    def _count(self, waiter: Waiter, change: int) -> None:
        self.size += change
        waiter.usage.waiting += change
        if not waiter.caller_class.batch:
            self.interactive += change

    def _get_excess(self, usage: Usage, room: int) -> float:
        return usage.load - self._shares.get_guarantee(usage, room)

    def _find_interactive(
        self, now_ms: int, slots: int, release_ms: float
    ) -> tuple[Waiter | None, Waiter | None]:
        """Return the best of those within reach and the oldest of those out of reach."""
        best: Waiter | None = None
        best_rank = (False, -math.inf)
        oldest: Waiter | None = None
        lookahead_ms = LOOKAHEAD_RELEASES * release_ms
        guarantee_ms = GUARANTEE_RELEASES * release_ms
        for group in self._groups.values():
            if group.caller_class.batch:
                continue
            front = group.front(now_ms)
            hopeless = group.oldest_hopeless()
            if hopeless is not None and (oldest is None or hopeless.order < oldest.order):
                oldest = hopeless
            if front is None:
                continue
            left_ms = front.start_by_ms - now_ms
            guaranteed = left_ms <= guarantee_ms and self._shares.is_below(group.usage, slots)
            penalty = max(MIN_PENALTY, group.caller_class.penalty)
            cost = math.log(penalty / front.service.hold_ms) - left_ms / lookahead_ms
            rank = (guaranteed, cost)
            if rank > best_rank:
                best = front
                best_rank = rank
        return best, oldest

    def _first_batch(self) -> Waiter | None:
        """Return the batch request whose workspace uses least, then the one due first."""
        best: Waiter | None = None
        best_rank = (math.inf, math.inf)
        for group in self._groups.values():
            if not group.caller_class.batch:
                continue
            # Batch work has no first-token target: order by the whole answer, never hopeless.
            front = group.front(-math.inf)
            if front is None:
                continue
            rank = (group.usage.batch / group.usage.share, front.start_by_ms)
            if rank < best_rank:
                best = front
                best_rank = rank
        return best

    def _find_victim(self, usage: Usage, *, counted: bool) -> Waiter | None:
        groups = [
            group
            for group in self._groups.values()
            if group.usage is usage and not (counted and group.caller_class.batch)
        ]
        if not groups:
            return None
        return min(groups, key=lambda group: _get_worth(group.caller_class)).newest()


def _get_worth(caller_class: CallerClass) -> tuple[bool, float]:
    return (not caller_class.batch, caller_class.penalty)
