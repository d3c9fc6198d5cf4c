"""The refused requests of one service in the order in which they are to return."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from typing import Final

from msgspec import Struct

# Time constant of the decaying count of releases. Shorter ones follow single long requests, longer
# ones miss the loss of half of the upstreams for seconds.
WINDOW_MS: Final = 2_000
# The rate of a first few releases is taken over at least this time.
MIN_AGE_MS: Final = 200


class ReleaseRate:
    """Exponentially decaying count of releases."""

    __slots__ = ("_count", "_first_ms", "_last_ms")

    def __init__(self) -> None:
        self._count = 0.0
        self._first_ms: int | None = None
        self._last_ms = 0

    def note(self, now_ms: int) -> None:
        """Count a release."""
        if self._first_ms is None:
            self._first_ms = self._last_ms = now_ms
        self._count = self._get_count(now_ms) + 1
        self._last_ms = max(self._last_ms, now_ms)

    def get_interval_ms(self, now_ms: int) -> float | None:
        """Return the mean time between two releases, None without recent ones."""
        count = self._get_count(now_ms)
        if self._first_ms is None or count < 1:
            return None
        age_ms = max(MIN_AGE_MS, now_ms - self._first_ms)
        # Before the count has settled, it covers only the time since the first release.
        return WINDOW_MS * -math.expm1(-age_ms / WINDOW_MS) / count

    def _get_count(self, now_ms: int) -> float:
        return self._count * math.exp(-max(0, now_ms - self._last_ms) / WINDOW_MS)


# Digest of a request's content, and its workspace.
PlaceKey = tuple[int, str]

# Shortest time until a return. Peers report their loads every 100 to 200 ms, so what a router knows
# about the room of a service hardly changes within less.
MIN_RETURN_MS: Final = 50
# How long a place is kept after the time of its return, for callers that wait longer than told.
KEEP_MS: Final = 2_000
# Callers' timers and the response's own processing let a patient caller return this much early.
EARLY_TOLERANCE_MS: Final = 10
# Time for which room is left for a return that is due. Most callers return through another router,
# and those that return here do so within the jitter of a network path.
DUE_WINDOW_MS: Final = 100
# Time between two releases of a whole service whose releases are not known: three plain upstreams
# with 6 slots and 90 ms per request release one every 5 ms.
DEFAULT_INTERVAL_MS: Final = 5.0
# Bounds on the time between two returns to one router. Times of return are whole milliseconds, so
# that shorter intervals would not order them. The upper bound keeps a router with hardly any
# releases from sending its callers away for seconds.
MIN_INTERVAL_MS: Final = 1.0
MAX_INTERVAL_MS: Final = 250.0


class FleetPosition(Struct, frozen=True, kw_only=True):
    """The number of routers in the fleet, and the rank of this one among them, from 0."""

    rank: int
    routers: int


class ReturnLane:
    """Times of return of one service; all times are in milliseconds.

    Requests refused for the first time return one interval apart. Those that were repeated before
    their time return after all others and take up no interval, so that they delay nobody.
    """

    __slots__ = ("_early", "_early_end_ms", "_end_ms", "_first", "releases")

    def __init__(self) -> None:
        # Places by time of return: of requests refused for the first time, and of repeated ones.
        self._first: list[tuple[int, PlaceKey]] = []
        self._early: list[tuple[int, PlaceKey]] = []
        self._end_ms = -math.inf
        self._early_end_ms = -math.inf
        self.releases = ReleaseRate()

    def __len__(self) -> int:
        return len(self._first) + len(self._early)

    def schedule(
        self, *, room_in_ms: int, now_ms: int, longest_ms: int, position: FleetPosition
    ) -> int:
        """Return when the next refused request is to return, at most `longest_ms` from now."""
        interval_ms = self.get_interval_ms(now_ms, position)
        room_ms = now_ms + min(longest_ms, max(MIN_RETURN_MS, room_in_ms))
        due_ms = self._end_ms + interval_ms
        if due_ms < room_ms:
            due_ms = room_ms + interval_ms * position.rank / position.routers
        due_ms = min(due_ms, now_ms + longest_ms)
        self._end_ms = max(self._end_ms, due_ms)
        return math.ceil(due_ms)

    def schedule_early(self, *, now_ms: int, longest_ms: int, position: FleetPosition) -> int:
        """Return when a request that was repeated early is to return: after all others.

        That is later than `longest_ms` from now only if another request has such a time.
        """
        next_ms = self._early_end_ms + self.get_interval_ms(now_ms, position)
        due_ms = max(
            self._get_last_ms() + 1,
            math.ceil(min(max(next_ms, now_ms + MIN_RETURN_MS), now_ms + longest_ms)),
        )
        self._early_end_ms = max(self._early_end_ms, due_ms)
        return due_ms

    def get_early_due_ms(self, now_ms: int) -> int:
        """Return the first time after all returns scheduled so far."""
        return max(now_ms, self._get_last_ms()) + 1

    def add(self, key: PlaceKey, *, due_ms: int, early: bool) -> None:
        """Keep a place."""
        insort(self._early if early else self._first, (due_ms, key))

    def remove(self, key: PlaceKey, *, due_ms: int, early: bool) -> None:
        """Drop a place that was added with the same values."""
        places = self._early if early else self._first
        del places[bisect_left(places, (due_ms, key))]

    def has_due(self, now_ms: int) -> bool:
        """Return whether a patient caller is to return about now."""
        index = bisect_left(self._first, (now_ms - DUE_WINDOW_MS, (0, "")))
        return index < len(self._first) and self._first[index][0] <= now_ms + EARLY_TOLERANCE_MS

    def pop_expired(self, now_ms: int) -> list[PlaceKey]:
        """Drop the places whose callers did not return, and return their keys."""
        expired: list[PlaceKey] = []
        for places in (self._first, self._early):
            count = bisect_left(places, (now_ms - KEEP_MS, (0, "")))
            expired.extend(key for _, key in places[:count])
            del places[:count]
        return expired

    def is_idle(self, now_ms: int) -> bool:
        """Return whether nothing would be lost with this object."""
        return not self and self._end_ms < now_ms and self.releases.get_interval_ms(now_ms) is None

    def get_interval_ms(self, now_ms: int, position: FleetPosition) -> float:
        """Return the time between two returns to this router.

        Its own releases are its part of the service's, so the intervals of all routers together
        make up the service's rate of releases.
        """
        interval_ms = self.releases.get_interval_ms(now_ms)
        if interval_ms is None:
            interval_ms = DEFAULT_INTERVAL_MS * position.routers
        return max(MIN_INTERVAL_MS, min(MAX_INTERVAL_MS, interval_ms))

    def dump(self, now_ms: int, position: FleetPosition) -> dict[str, object]:
        """Return plain JSON data for the state dump."""
        return {
            "reservations": len(self),
            "early": len(self._early),
            "last_in_ms": max(0, self._get_last_ms() - now_ms),
            "interval_ms": round(self.get_interval_ms(now_ms, position), 1),
        }

    def _get_last_ms(self) -> int:
        return 0 if self._end_ms == -math.inf else math.ceil(self._end_ms)
