"""The order in which refused requests return: the first refused is the first to return.

Most callers return through another router, which does not know their place. So the order is in the
times that they are told; a kept place only confirms it where a caller meets the same router again.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from gypsumrouter.contention.return_lane import (
    EARLY_TOLERANCE_MS,
    KEEP_MS,
    FleetPosition,
    PlaceKey,
    ReturnLane,
)


class Return(StrEnum):
    """How a request returns after a refusal; `UNKNOWN` also for one that was never refused."""

    KEPT = "kept"
    EARLY = "early"
    UNKNOWN = "unknown"


class _Place:
    """The place of a refused request; `position` is the number of requests before it."""

    __slots__ = ("due_ms", "early", "position", "service")

    def __init__(self, *, service: str, due_ms: int, early: bool, position: int) -> None:
        self.service = service
        self.due_ms = due_ms
        self.early = early
        self.position = position


class ReturnSchedule:
    """Assigns times of return to refused requests and recognizes the requests by their content.

    A retry has a new id, so a request is known by the digest of its content and its workspace.
    Requests with equal digests share one place; the others count as new. At most `limit` places
    are kept, the oldest first: later ones are told their time but are not recognized.
    `get_position` returns this router's position in the fleet.
    """

    __slots__ = ("_get_position", "_lanes", "_limit", "_places")

    def __init__(self, *, limit: int, get_position: Callable[[], FleetPosition]) -> None:
        self._limit = limit
        self._get_position = get_position
        self._lanes: dict[str, ReturnLane] = {}
        self._places: dict[PlaceKey, _Place] = {}

    def __len__(self) -> int:
        return len(self._places)

    def reserve(
        self,
        *,
        service: str,
        digest: int,
        workspace: str,
        room_in_ms: int,
        now_ms: int,
        longest_ms: int,
    ) -> int:
        """Return the Retry-After of a refused request in milliseconds, at most `longest_ms`.

        Room is expected in `room_in_ms`, 0 if that is not known.
        """
        if longest_ms <= 0:
            return 0
        lane = self._get_lane(service)
        self._expire(lane, now_ms)
        key = (digest, workspace)
        known = self._places.get(key)
        early = known is not None and known.early
        position = self._get_position()
        if early:
            due_ms = lane.schedule_early(now_ms=now_ms, longest_ms=longest_ms, position=position)
            self._remove(key)
        else:
            due_ms = lane.schedule(
                room_in_ms=room_in_ms, now_ms=now_ms, longest_ms=longest_ms, position=position
            )
        if key not in self._places and len(self._places) < self._limit:
            self._add(key, _Place(service=service, due_ms=due_ms, early=early, position=len(lane)))
        return min(longest_ms, max(1, due_ms - now_ms))

    def claim(self, *, digest: int, workspace: str, now_ms: int) -> Return:
        """Return how a request returns; a kept place is used up.

        One that comes before its time loses its place to all that were refused in the meantime.
        """
        key = (digest, workspace)
        place = self._places.get(key)
        if place is None:
            return Return.UNKNOWN
        if now_ms > place.due_ms + KEEP_MS:
            self._remove(key)
            return Return.UNKNOWN
        if now_ms >= place.due_ms - (0 if place.early else EARLY_TOLERANCE_MS):
            self._remove(key)
            return Return.KEPT
        self._remove(key)
        lane = self._lanes[place.service]
        due_ms = lane.get_early_due_ms(now_ms)
        self._add(key, _Place(service=place.service, due_ms=due_ms, early=True, position=len(lane)))
        return Return.EARLY

    def note_release(self, service: str, now_ms: int) -> None:
        """Record that a request of this router has ended at an upstream of a service."""
        self._get_lane(service).releases.note(now_ms)

    def has_due(self, service: str, now_ms: int) -> bool:
        """Return whether a request with a kept place is to return about now."""
        lane = self._lanes.get(service)
        return lane is not None and lane.has_due(now_ms)

    def get_position(self, *, digest: int, workspace: str) -> int:
        """Return how many requests return before a refused one, -1 if it has no place."""
        place = self._places.get((digest, workspace))
        return -1 if place is None else place.position

    def sweep(self, now_ms: int) -> None:
        """Drop expired places and unused services; call this about once a second."""
        for lane in self._lanes.values():
            self._expire(lane, now_ms)
        for service in [name for name, lane in self._lanes.items() if lane.is_idle(now_ms)]:
            del self._lanes[service]

    def dump(self, now_ms: int) -> dict[str, object]:
        """Return the reservations by service as plain JSON data."""
        position = self._get_position()
        return {name: lane.dump(now_ms, position) for name, lane in self._lanes.items()}

    def _get_lane(self, service: str) -> ReturnLane:
        lane = self._lanes.get(service)
        if lane is None:
            lane = self._lanes[service] = ReturnLane()
        return lane

    def _expire(self, lane: ReturnLane, now_ms: int) -> None:
        for key in lane.pop_expired(now_ms):
            del self._places[key]

    def _add(self, key: PlaceKey, place: _Place) -> None:
        self._places[key] = place
        self._lanes[place.service].add(key, due_ms=place.due_ms, early=place.early)

    def _remove(self, key: PlaceKey) -> None:
        place = self._places.pop(key)
        self._lanes[place.service].remove(key, due_ms=place.due_ms, early=place.early)
