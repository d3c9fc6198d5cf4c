"""The return order of refused requests, as the forwarder uses it."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from gypsumrouter.contention import FleetPosition, Return, ReturnSchedule
from gypsumrouter.core import Application
from gypsumrouter.forwarding.const import RETRY_AFTER_RATIO
from gypsumrouter.forwarding.health.slow_start import SlowStartLimiter
from gypsumrouter.forwarding.service_time import MAX_TIME_SHARE

# The places of requests that this router refuses before it knows their route, or because it stops.
NO_SERVICE: Final = ""
# Latest return of a plain request, as a share of the time left to its target. The router that it
# returns to does not know when the request was first sent: it admits it if its response is expected
# within MAX_TIME_SHARE of the whole target. Only the remainder can be spent waiting.
PLAIN_RETURN_SHARE: Final = 1 - MAX_TIME_SHARE
# A plain request returns after its target only if room is expected later than this many times the
# time left to the target. Room of plain services is estimated too late during a burst: with a
# factor of 1, 0.088 of the patient callers were served late in the replay of a burst, with 1.5
# 0.077, without a limit 0.074.
PLAIN_ROOM_FACTOR: Final = 1.5


class Reservation(Struct, frozen=True, kw_only=True):
    """The Retry-After of a refusal and the number of requests that return before, -1 if unknown."""

    retry_after_ms: int
    position: int


class ReturnOrder:
    """Assigns times of return to refused requests and recognizes them when they return."""

    __slots__ = ("_app", "_returns", "_schedule")

    def __init__(self, *, app: Application, limit: int, slow_start: SlowStartLimiter) -> None:
        self._app = app
        self._schedule = ReturnSchedule(
            limit=limit,
            get_position=lambda: FleetPosition(
                rank=slow_start.get_rank(), routers=slow_start.count_routers()
            ),
        )
        self._returns = app.metrics.counter(
            "gypsumrouter_returns_total",
            "Requests by return after a refusal; unknown includes those never refused",
        )
        app.add_dump_section("returns", lambda: self._schedule.dump(app.clock.now_ms()))

    def claim(self, *, digest: int, workspace: str) -> Return:
        """Return whether a request that arrives has a kept place, and count it."""
        kind = self._schedule.claim(
            digest=digest, workspace=workspace, now_ms=self._app.clock.now_ms()
        )
        self._returns.inc(labels=(("kind", kind.value),))
        return kind

    def reserve(
        self,
        *,
        service: str,
        digest: int,
        workspace: str,
        plain: bool,
        room_in_ms: int,
        remaining_ms: int,
        target_left_ms: int,
    ) -> Reservation:
        """Reserve a time of return; the times left count to the deadline and to the target.

        `plain` is whether the request is known to be for a plain service.
        """
        retry_after_ms = self._schedule.reserve(
            service=service,
            digest=digest,
            workspace=workspace,
            room_in_ms=room_in_ms,
            now_ms=self._app.clock.now_ms(),
            longest_ms=get_longest_ms(
                plain=plain,
                room_in_ms=room_in_ms,
                remaining_ms=remaining_ms,
                target_left_ms=target_left_ms,
            ),
        )
        position = self._schedule.get_position(digest=digest, workspace=workspace)
        return Reservation(retry_after_ms=retry_after_ms, position=position)

    def note_release(self, service: str) -> None:
        """Record that an attempt has ended, which leaves room at an upstream of a service."""
        self._schedule.note_release(service, self._app.clock.now_ms())

    def get_needed_permits(self, service: str, kind: Return) -> int:
        """Return the permits that a plain request needs if it is expected to be late."""
        has_due = self._schedule.has_due(service, self._app.clock.now_ms())
        return count_needed_permits(kind, has_due=has_due)

    def sweep(self) -> None:
        """Drop expired reservations; call this about once a second."""
        self._schedule.sweep(self._app.clock.now_ms())


def get_longest_ms(*, plain: bool, room_in_ms: int, remaining_ms: int, target_left_ms: int) -> int:
    """Return the longest useful Retry-After in milliseconds.

    Callers wait for a part of their remaining time. If room is expected while the target can still
    be met, the return is scheduled before that ends: a request that returns later is served late
    and takes the room of others that would be in time.
    """
    longest_ms = int(remaining_ms * RETRY_AFTER_RATIO)
    in_time_ms = int(target_left_ms * (PLAIN_RETURN_SHARE if plain else MAX_TIME_SHARE))
    room_limit_ms = target_left_ms * PLAIN_ROOM_FACTOR if plain else in_time_ms
    if in_time_ms <= 0 or room_in_ms >= room_limit_ms:
        return longest_ms
    return min(longest_ms, in_time_ms)


def count_needed_permits(kind: Return, *, has_due: bool) -> int:
    """Return the permits that a plain request needs if it is expected to be late.

    A request leaves one permit to each kind that goes before it: kept places that are due, and,
    if it was repeated early, requests that are new. That delays it, but wastes no permit.
    """
    match kind:
        case Return.KEPT:
            return 1
        case Return.EARLY:
            return 3 if has_due else 2
        case Return.UNKNOWN:
            return 2 if has_due else 1
