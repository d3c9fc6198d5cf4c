"""This router's share of the capacity of a service, among all routers."""

from __future__ import annotations

import math
from collections import deque

from gypsumrouter.contention.const import (
    ADDED_DEMAND,
    ADDED_DEMAND_PER_SLOT,
    DEMAND_WINDOW_MS,
    DOMINANT_FACTOR,
    IDLE_LIMIT_MS,
    MAX_ADDED_DEMAND,
    SAMPLE_INTERVAL_MS,
)
from gypsumrouter.contention.models import ServiceWork


class RoomShare:
    """Divides the capacity of a service by demand, without coordination.

    Demand is the number of running requests. Reports of peers are old, so the smallest own demand
    of the window is compared with the largest demand of the peers. At any time within the window
    that all reports cover, these are bounds of the real figures; so the shares of all routers add
    up to the capacity at most. Each router may exceed its share by one request.
    """

    __slots__ = ("_first_ms", "_last_release_ms", "_samples")

    def __init__(self) -> None:
        # Time, own demand and demand of the peers.
        self._samples: deque[tuple[int, int, int]] = deque()
        self._first_ms: int | None = None
        self._last_release_ms: int | None = None

    def note(self, work: ServiceWork, *, now_ms: int) -> None:
        """Sample the demand."""
        samples = self._samples
        if self._first_ms is None:
            self._first_ms = now_ms
        while samples and now_ms - samples[0][0] > DEMAND_WINDOW_MS:
            samples.popleft()
        sample = (now_ms, work.own_running, work.peers_running)
        if samples and now_ms - samples[-1][0] < SAMPLE_INTERVAL_MS:
            last = samples.pop()
            sample = (last[0], min(last[1], sample[1]), max(last[2], sample[2]))
        samples.append(sample)

    def is_sample_due(self, *, now_ms: int) -> bool:
        """Return whether the last sample is old enough for another one."""
        return not self._samples or now_ms - self._samples[-1][0] >= SAMPLE_INTERVAL_MS

    def get_share(self, work: ServiceWork) -> float:
        """Return the part of the capacity that this router may use, from 0 to 1.

        A router that has just started has no part while its peers have demand: it may use the
        capacity that they leave.
        """
        routers = max(1, work.routers)
        if not work.peers_known:
            return 1 / routers
        own = min((own for _, own, _ in self._samples), default=0)
        peers = max((peers for _, _, peers in self._samples), default=0)
        if own + peers == 0:
            return 1 / routers
        added = _get_added_demand(work) if self._has_full_window() else 0.0
        return (own + added) / (own + peers + added * routers)

    def allows(self, work: ServiceWork, *, budget_ms: float, now_ms: int) -> bool:
        """Return whether a request may be released that is expected to meet its target.

        `budget_ms` is the work that an upstream can have before requests miss their targets.
        Capacity that other routers leave unused is taken by one request at a time.
        """
        room_ms = work.upstreams * budget_ms
        if work.own_ms <= self.get_share(work) * room_ms:
            return True
        if work.own_ms + work.peers_ms >= room_ms:
            return False
        return self._is_idle(now_ms) or self._has_most_demand(work, room_ms)

    def note_released(self, *, now_ms: int) -> None:
        """Record a release."""
        self._last_release_ms = now_ms

    def _has_full_window(self) -> bool:
        """Return whether the peers can know of this router and take it into account."""
        if self._first_ms is None or not self._samples:
            return False
        return self._samples[-1][0] - self._first_ms >= DEMAND_WINDOW_MS

    def _has_most_demand(self, work: ServiceWork, room_ms: float) -> bool:
        """Return whether nearly all requests come to this router, and room is left for the others.

        At most one router can find that, so that it may use at once what the others leave, but for
        the whole requests in their shares: these they may add before it hears of them.
        """
        if not self._has_full_window() or not work.own_running:
            return False
        own = min(own for _, own, _ in self._samples)
        peers = max(peers for _, _, peers in self._samples)
        if own <= DOMINANT_FACTOR * peers:
            return False
        left_ms = room_ms - _get_peers_room(work, room_ms=room_ms, own=own, peers=peers)
        return work.own_ms < min(left_ms, room_ms - work.peers_ms)

    def _is_idle(self, now_ms: int) -> bool:
        last_ms = self._last_release_ms
        return last_ms is None or now_ms - last_ms >= IDLE_LIMIT_MS


def _get_peers_room(work: ServiceWork, *, room_ms: float, own: int, peers: int) -> float:
    """Return the work of the whole requests that the shares of all others may allow them.

    It is most if one of them has all their demand. `own` is the least demand of this router that
    they may know. Requests that engines have prefilled have no more work; the slots bound their
    number.
    """
    request_ms = work.own_ms / work.own_running
    if work.routers < 2 or not request_ms:
        return 0.0
    room = min(work.slots, room_ms / request_ms)
    added = _get_added_demand(work)
    demand = own + added * work.routers
    busiest = (peers + added) / (peers + demand) * room
    each = added / demand * room
    return (math.floor(busiest) + (work.routers - 2) * math.floor(each)) * request_ms


def _get_added_demand(work: ServiceWork) -> float:
    """Return the requests that are added to the demand of each router."""
    most = min(MAX_ADDED_DEMAND, ADDED_DEMAND_PER_SLOT * work.slots)
    return min(ADDED_DEMAND, most / max(1, work.routers))
