"""Routers that hear of each other late, before a plain service, replayed without sockets.

Answers how requests end where upstreams have about as much to do as they serve. Everything scales
with the work of a request, so that the same code is seen at any speed.
"""

from __future__ import annotations

import heapq
import random
from typing import Final

from msgspec import Struct

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuations, Record
from gypsumrouter.forwarding.backoff import BackoffTracker
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.health import HealthTracker
from gypsumrouter.forwarding.loads import PeerLoads, UpstreamLoad
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.slow_start import SlowStartLimiter
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.util.clock import ManualClock

SERVICE: Final = "records"
SLOTS: Final = 6
# Upstreams turn away what their queue has no room for.
QUEUE_LIMIT: Final = 24
# How often a caller comes back after a refusal.
RETRIES: Final = 1
ROUTERS: Final = 26


class Upstream:
    """A plain upstream: so many slots, and a queue in the order of arrival."""

    def __init__(self, *, work_ms: float, rng: random.Random) -> None:
        self._work_ms = work_ms
        self._rng = rng
        self._free_ms = [0.0] * SLOTS
        self._ends_ms: list[float] = []

    def serve(self, now_ms: float) -> float | None:
        """Return when a request that arrives now is over; None where the queue is full."""
        while self._ends_ms and self._ends_ms[0] <= now_ms:
            heapq.heappop(self._ends_ms)
        if len(self._ends_ms) >= SLOTS + QUEUE_LIMIT:
            return None
        begin_ms = max(now_ms, heapq.heappop(self._free_ms))
        end_ms = begin_ms + self._rng.lognormvariate(-0.125, 0.5) * self._work_ms
        heapq.heappush(self._free_ms, end_ms)
        heapq.heappush(self._ends_ms, end_ms)
        return end_ms


class Tally(Struct, kw_only=True):
    """How requests ended."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def credit(self) -> float:
        """Return what the answers are worth; a late one is worth a third, as operators have it."""
        return (self.in_time + self.late / 3) / self.asked


class Arrival(Struct, frozen=True, kw_only=True):
    """A request, or its caller's return after a refusal."""

    router: int
    asked_ms: float
    tries: int


class Completed(Struct, frozen=True, kw_only=True):
    """A request of a router that is over at an upstream."""

    router: int
    upstream: str


class UpdateDue(Struct, frozen=True, kw_only=True):
    """It is time for a router to tell the others."""

    router: int


class UpdateReceived(Struct, frozen=True, kw_only=True):
    """What a router had at the upstreams is known to the others."""

    router: int
    loads: dict[str, UpstreamLoad]


Event = Arrival | Completed | UpdateDue | UpdateReceived


class PlainReplay:
    """Routers that hear of each other late, before the upstreams of a plain service."""

    def __init__(
        self, *, work_ms: float, upstreams: int, without: frozenset[Mechanism], seed: int
    ) -> None:
        random.seed(seed)
        self._rng = random.Random(seed)
        self._work_ms = work_ms
        # What callers expect scales with the work, as their operator sets it; one that is refused
        # comes back when half of that is over. So do the news, to play the same at each speed.
        self._target_ms = 4.6 * work_ms
        self._update_interval_ms = 3.3 * work_ms
        self._clock = ManualClock(now_ms=1_000)
        self._upstreams = {
            f"i-{number}": Upstream(work_ms=work_ms, rng=self._rng) for number in range(upstreams)
        }
        self._placers = [self._make_placer(without) for _ in range(ROUTERS)]
        self._events: list[tuple[float, int, Event]] = []
        self._number = 0
        self.tally = Tally()

    def play(self, *, pressure: float, duration_ms: float) -> Tally:
        """Play a load that is `pressure` times what the upstreams serve."""
        gap_ms = self._work_ms / (len(self._upstreams) * SLOTS) / pressure
        at_ms = 0.0
        while at_ms < duration_ms:
            at_ms += self._rng.expovariate(1 / gap_ms)
            router = self._rng.randrange(ROUTERS)
            self._schedule(at_ms, Arrival(router=router, asked_ms=at_ms, tries=0))
        for router in range(ROUTERS):
            due_ms = self._rng.random() * self._update_interval_ms
            while due_ms < duration_ms:
                self._schedule(due_ms, UpdateDue(router=router))
                due_ms += self._update_interval_ms
        begin_ms = self._clock.now_ms()
        while self._events:
            at_ms, _, event = heapq.heappop(self._events)
            self._clock.advance(max(0, int(begin_ms + at_ms) - self._clock.now_ms()))
            self._handle(at_ms, event)
        return self.tally

    def _handle(self, at_ms: float, event: Event) -> None:
        match event:
            case Arrival():
                self._handle_arrival(at_ms, event)
            case Completed(router=router, upstream=upstream):
                self._placers[router].loads.end(upstream)
            case UpdateDue(router=router):
                loads = self._placers[router].loads.get_own_loads()
                self._schedule(
                    at_ms + self._update_interval_ms / 2, UpdateReceived(router=router, loads=loads)
                )
            case UpdateReceived(router=router, loads=loads):
                peer_loads = PeerLoads(received_ms=self._clock.now_ms(), loads=loads)
                for number, placer in enumerate(self._placers):
                    if number != router:
                        placer.loads.set_peer_loads(f"r{router}", peer_loads)

    def _schedule(self, at_ms: float, event: Event) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, event))

    def _handle_arrival(self, at_ms: float, arrival: Arrival) -> None:
        self.tally.asked += arrival.tries == 0
        placer = self._placers[arrival.router]
        placed = placer.place(
            service=SERVICE, prompt=None, excluded=(), limit_ms=int(self._target_ms)
        )
        end_ms = None
        if not isinstance(placed, PlacementRefusal):
            end_ms = self._upstreams[placed.entry.upstream].serve(at_ms)
        if isinstance(placed, PlacementRefusal) or end_ms is None:
            self._retry_or_refuse(at_ms, arrival)
            return
        placer.note_sent(placed, None)
        placer.plain.note_answered(placed, elapsed_ms=round(end_ms - at_ms))
        self._schedule(end_ms, Completed(router=arrival.router, upstream=placed.entry.upstream))
        if end_ms - arrival.asked_ms <= self._target_ms:
            self.tally.in_time += 1
        else:
            self.tally.late += 1

    def _retry_or_refuse(self, at_ms: float, arrival: Arrival) -> None:
        """Let the caller come back at another router, or give up."""
        if arrival.tries == RETRIES:
            self.tally.refused += 1
            return
        retry = Arrival(
            router=self._rng.randrange(ROUTERS),
            asked_ms=arrival.asked_ms,
            tries=arrival.tries + 1,
        )
        self._schedule(at_ms + self._target_ms / 2, retry)

    def _make_placer(self, without: frozenset[Mechanism]) -> Placer:
        app = Application(
            name="r", role=Role.FORWARDER, data_centre="a", region="r", clock=self._clock
        )
        journal = Journal(app=app)
        directory = Directory(app=app, journal=journal)
        slow_start = SlowStartLimiter(clock=self._clock, journal=journal)
        slow_start.set_fleet(StaticFleet())
        placer = Placer(
            app=app,
            directory=directory,
            cap=Cap(factor=2.0, slack=3.0),
            health=HealthTracker(clock=self._clock, journal=journal),
            backoffs=BackoffTracker(clock=self._clock, journal=journal),
            evacuations=Evacuations(app=app, journal=journal),
            slow_start=slow_start,
            without=without,
        )
        for number, name in enumerate(self._upstreams):
            entry = Entry(
                upstream=name,
                state=EntryState.READY,
                service=SERVICE,
                address=Address(host="10.0.0.1", port=80),
                data_centre="a",
                slots=SLOTS,
            )
            directory.merge(Record(revision=number + 1, entry=entry), source="test")
        return placer


class StaticFleet:
    """The other routers, all of them known."""

    own_address = "r"

    def list_addresses(self) -> tuple[str, ...]:
        """Return one address less than there are routers."""
        return tuple(str(number) for number in range(ROUTERS - 1))

    def get_last_added_ms(self) -> int:
        """Return that they were there from the beginning."""
        return 0

    def has_received_update(self) -> bool:
        """Return that they were heard."""
        return True
