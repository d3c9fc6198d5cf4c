"""Order in which waiting requests are released, and in which they are evicted."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Collection, Iterable, Iterator

from gypsumrouter.contention.const import MIN_CLASS_SHARE, MIN_EXCESS, RANK_TTL_MS
from gypsumrouter.contention.models import Waiting
from gypsumrouter.contention.returns import Return

GetExcess = Callable[[str], float]
Rank = tuple[int, float, int, float, int]

_RETURN_RANKS = {Return.KEPT: 0, Return.UNKNOWN: 1, Return.EARLY: 2}


class ClassCredits:
    """Guarantees each waiting class a part of the releases.

    With each release, every waiting class earns its guaranteed part of it. A class that has earned
    a whole release is served next.
    """

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[str, float] = {}

    def note_released(self, released: str, *, waiting: Collection[str]) -> None:
        """Record a release; `waiting` are the classes that had waiting requests before it."""
        part = MIN_CLASS_SHARE / max(1, len(waiting))
        self._credits = {name: self._credits.get(name, 0.0) + part for name in waiting}
        if released in self._credits:
            self._credits[released] = max(0.0, self._credits[released] - 1)

    def find_overdue(self) -> str | None:
        """Return the class that has earned a release, None if there is none."""
        if not self._credits:
            return None
        name = max(self._credits, key=lambda name: self._credits[name])
        # A sum of equal parts may miss 1 by a rounding error.
        return name if self._credits[name] >= 1 - 1e-9 else None


def choose_next(
    waiting: Iterable[Waiting],
    *,
    now_ms: int,
    get_excess: GetExcess,
    by_urgency: bool = True,
    overdue: str | None = None,
) -> Waiting | None:
    """Return the request to release next, None if none waits.

    Kept places go first, then workspaces within their shares, then the more urgent, those that must
    start earlier to meet their target, and the earlier. Requests that have missed their target
    follow the others of their priority. Those of the class `overdue` go before all others.
    """
    order = WaitingOrder(by_urgency=by_urgency)
    order.sort(waiting, now_ms=now_ms, get_excess=get_excess)
    return next(order.iter_next(overdue=overdue), None)


class WaitingOrder:
    """The waiting requests in the order of release.

    Ranks depend on the usage of the workspaces and on the time. They are computed when a request is
    added and when all are sorted again.
    """

    __slots__ = ("_by_urgency", "_ordered", "_ranks", "_sorted_ms")

    def __init__(self, *, by_urgency: bool) -> None:
        self._by_urgency = by_urgency
        self._ranks: dict[int, Rank] = {}
        self._ordered: list[tuple[Rank, Waiting]] = []
        self._sorted_ms: int | None = None

    def sort(self, waiting: Iterable[Waiting], *, now_ms: int, get_excess: GetExcess) -> None:
        """Compute the order of all waiting requests."""
        self._sorted_ms = now_ms
        self._ranks = {}
        self._ordered = []
        for item in waiting:
            place = rank(item, now_ms, get_excess, self._by_urgency)
            self._ranks[item.sequence] = place
            self._ordered.append((place, item))
        # Ranks end with the sequence number, so requests are never compared.
        self._ordered.sort()

    def is_sort_due(self, *, now_ms: int) -> bool:
        """Return whether the ranks are to be computed again."""
        return self._sorted_ms is None or now_ms - self._sorted_ms >= RANK_TTL_MS

    def add(self, item: Waiting, *, now_ms: int, get_excess: GetExcess) -> None:
        """Add a request."""
        place = rank(item, now_ms, get_excess, self._by_urgency)
        self._ranks[item.sequence] = place
        insort(self._ordered, (place, item))

    def remove(self, item: Waiting) -> None:
        """Remove a request."""
        place = self._ranks.pop(item.sequence, None)
        if place is not None:
            del self._ordered[bisect_left(self._ordered, (place,))]

    def get_position(self, item: Waiting) -> int:
        """Return how many requests go before a waiting one."""
        return bisect_left(self._ordered, (self._ranks[item.sequence],))

    def iter_next(self, *, overdue: str | None) -> Iterator[Waiting]:
        """Yield the requests in order, those of the class `overdue` first."""
        if overdue is not None:
            yield from (i for _, i in self._ordered if i.claim.caller_class == overdue)
        yield from (i for _, i in self._ordered if i.claim.caller_class != overdue)

    def choose_victim(self) -> Waiting | None:
        """Return the request to refuse when the queue is full: the last one, None if none waits."""
        return self._ordered[-1][1] if self._ordered else None


def rank(item: Waiting, now_ms: int, get_excess: GetExcess, by_urgency: bool) -> Rank:
    """Return the place of a request in the order; the lowest one is released first."""
    excess = get_excess(item.claim.workspace)
    if excess < MIN_EXCESS:
        excess = 0.0
    returned = _RETURN_RANKS[item.returned]
    if not by_urgency:
        return (returned, excess, 0, 0.0, item.sequence)
    late = item.latest_start_ms < now_ms
    start_ms = float("inf") if late else item.latest_start_ms
    return (returned, excess, item.priority, start_ms, item.sequence)
