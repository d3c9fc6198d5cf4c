"""Order in which waiting requests are released, and in which they are evicted."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from gypsumrouter.contention.const import MIN_CLASS_SHARE, MIN_EXCESS
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
    return min(
        waiting,
        key=lambda item: (
            item.claim.caller_class != overdue,
            rank(item, now_ms, get_excess, by_urgency),
        ),
        default=None,
    )


def choose_victim(
    waiting: Iterable[Waiting], *, now_ms: int, get_excess: GetExcess, by_urgency: bool = True
) -> Waiting | None:
    """Return the request to refuse when the queue is full: the last one in the order."""
    return max(waiting, key=lambda item: rank(item, now_ms, get_excess, by_urgency), default=None)


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
