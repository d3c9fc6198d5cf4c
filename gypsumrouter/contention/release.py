"""Check whether a request may be sent now, with respect to all others of its service."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from msgspec.structs import replace

from gypsumrouter.contention.const import CONTENTION_MS, MAX_UNREPORTED_SHARE
from gypsumrouter.contention.decision import Demand, get_budget_ms, is_in_time
from gypsumrouter.contention.models import Expected, ServiceWork, Waiting
from gypsumrouter.contention.order import ClassCredits
from gypsumrouter.contention.room import RoomShare


class UrgencyLimits:
    """Backlogs up to which the requests that had to wait recently would have been in time.

    Less urgent requests often have later targets. If they filled the upstreams up to these, the
    more urgent would never find an upstream that is in time for them.
    """

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        # Time and limit by priority.
        self._limits: dict[int, tuple[int, float]] = {}

    def note(self, priority: int, *, limit_ms: float, now_ms: int) -> None:
        """Record that a request had to wait or was refused; `limit_ms` is its largest backlog."""
        if limit_ms <= 0:
            return
        noted_ms, known_ms = self._limits.get(priority, (now_ms, math.inf))
        if now_ms - noted_ms > CONTENTION_MS:
            known_ms = math.inf
        self._limits[priority] = (now_ms, min(known_ms, limit_ms))

    def get(self, priority: int, *, now_ms: int) -> float:
        """Return the largest backlog with which a request may be sent, infinite without a limit."""
        return min(
            (
                limit_ms
                for other, (noted_ms, limit_ms) in self._limits.items()
                if other < priority and now_ms - noted_ms <= CONTENTION_MS
            ),
            default=math.inf,
        )

    def is_contended(self, *, now_ms: int) -> bool:
        """Return whether a request had to wait or was refused recently."""
        return any(now_ms - noted_ms <= CONTENTION_MS for noted_ms, _ in self._limits.values())


def estimate_unreported_ms(work: ServiceWork, *, budget_ms: float) -> float:
    """Return the work at an upstream that peers have probably sent since their last reports.

    Under contention upstreams work all the time, so as much is sent to them as they serve. Peers
    that report hardly any unfinished work are not under contention.
    """
    running = work.own_running + work.peers_running
    if running == 0:
        return 0.0
    unreported_ms = work.peers_age_ms * work.peers_running / running
    reported_ms = work.peers_ms / max(1, work.upstreams)
    return min(unreported_ms, reported_ms, budget_ms * MAX_UNREPORTED_SHARE)


GetWork = Callable[[], ServiceWork]


class ReleaseCheck:
    """Keeps the limits that apply to requests under contention.

    Without contention a request may be sent if it is expected in time. Under contention the
    upstream must also be left in time for the more urgent requests that waited recently, the
    estimate allows for what peers have not reported yet, and the work of this router must be within
    its share.
    """

    __slots__ = ("_credits", "_limits", "_room")

    def __init__(self) -> None:
        self._credits = ClassCredits()
        self._limits = UrgencyLimits()
        self._room = RoomShare()

    def may_send(
        self, item: Waiting, expected: Expected, get_work: GetWork, *, now_ms: int
    ) -> bool:
        """Return whether a request may be sent now."""
        demand = make_demand(item, now_ms)
        if not self._limits.is_contended(now_ms=now_ms):
            return is_in_time(demand, expected)
        work = get_work()
        self._room.note(work, now_ms=now_ms)
        budget_ms = get_budget_ms(plain=item.claim.plain, target_ms=item.route_target_ms)
        unreported_ms = estimate_unreported_ms(work, budget_ms=budget_ms)
        expected = replace(expected, backlog_ms=expected.backlog_ms + unreported_ms)
        limit_ms = math.inf
        if item.claim.caller_class != self.find_overdue():
            limit_ms = self._limits.get(item.priority, now_ms=now_ms)
        budget_ms = min(budget_ms, limit_ms + expected.own_ms)
        return (
            expected.backlog_ms <= limit_ms
            and is_in_time(demand, expected)
            and self._room.allows(work, budget_ms=budget_ms, now_ms=now_ms)
        )

    def note_waiting(self, item: Waiting, *, now_ms: int) -> None:
        """Record that a request has to wait or was refused."""
        left_ms = get_budget_ms(plain=item.claim.plain, target_ms=item.target_at_ms - now_ms)
        self._limits.note(item.priority, limit_ms=left_ms - item.own_ms, now_ms=now_ms)

    def note_sent(self, *, now_ms: int) -> None:
        """Record that a request is sent without a wait."""
        self._room.note_released(now_ms=now_ms)

    def note_released(self, name: str, *, waiting: Collection[str], now_ms: int) -> None:
        """Record a release of the class `name`; `waiting` are all classes that waited before it."""
        self._credits.note_released(name, waiting=waiting)
        self._room.note_released(now_ms=now_ms)

    def find_overdue(self) -> str | None:
        """Return the class whose guaranteed part of the releases is due, None if there is none."""
        return self._credits.find_overdue()

    def note_work(self, work: ServiceWork, *, now_ms: int) -> None:
        """Sample the demand for the share of this router."""
        self._room.note(work, now_ms=now_ms)

    def is_sample_due(self, *, now_ms: int) -> bool:
        """Return whether the last sample of the demand is old enough for another one."""
        return self._room.is_sample_due(now_ms=now_ms)

    def get_share(self, work: ServiceWork) -> float:
        """Return the part of the capacity that this router may use, from 0 to 1."""
        return self._room.get_share(work)


def make_demand(
    item: Waiting, now_ms: int, *, ahead_ms: float = 0.0, hold_ms: float | None = None
) -> Demand:
    """Return what a request needs, counted from now."""
    return Demand(
        plain=item.claim.plain,
        target_ms=item.target_at_ms - now_ms,
        remaining_ms=item.expires_ms - now_ms,
        hold_ms=item.hold_until_ms - now_ms if hold_ms is None else hold_ms,
        ahead_ms=ahead_ms,
    )
