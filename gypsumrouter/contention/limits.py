"""What is known of the contention at a service: who had to wait recently, and unreported work."""

from __future__ import annotations

import math

from gypsumrouter.contention.const import CONTENTION_MS, MAX_UNREPORTED_SHARE
from gypsumrouter.contention.models import ServiceWork


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

    Under contention upstreams work all the time, so as much is sent to them as they serve.
    """
    running = work.own_running + work.peers_running
    if running == 0:
        return 0.0
    unreported_ms = work.peers_age_ms * work.peers_running / running
    return min(unreported_ms, budget_ms * MAX_UNREPORTED_SHARE)
