"""Discrete-event simulation of forwarders in front of a plain service, without sockets.

Forwarders exchange their loads with a delay. All times scale with the work of a request, so that a
decision can be compared at any request duration.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from msgspec import Struct

from bench.replay_placer import add_entries, make_ready_entry, make_replay_placer
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.health.slow_start import SlowStartLimiter
from gypsumrouter.forwarding.loads import PeerLoads, UpstreamLoad
from gypsumrouter.forwarding.models import LoadReport, ResponseMetadata
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.util.clock import ManualClock

SERVICE: Final = "records"
SLOTS: Final = 6
# Upstreams reject requests beyond this queue length.
QUEUE_LIMIT: Final = 24
# Retries of a caller after a refusal.
RETRIES: Final = 1
ROUTERS: Final = 26


class Machine:
    """The machine of an upstream: how fast it works, and the load that it reports.

    This one always works at the usual pace and reports nothing.
    """

    def get_end_ms(self, *, begin_ms: float, work_ms: float) -> float:
        """Return when work that takes `work_ms` at the usual pace ends."""
        return begin_ms + work_ms

    def make_report(self, *, held: int, at_ms: float) -> LoadReport | None:
        """Return the report with a response, None if it has none; `held` is the true load."""
        return None


class Upstream:
    """A plain upstream with SLOTS slots and a first-in, first-out queue."""

    def __init__(self, *, work_ms: float, rng: random.Random, machine: Machine) -> None:
        self._work_ms = work_ms
        self._rng = rng
        self._machine = machine
        self.served = 0
        self._free_ms = [0.0] * SLOTS
        self._ends_ms: list[float] = []

    def serve(self, now_ms: float) -> float | None:
        """Return the end time of a request that arrives now, None if the queue is full."""
        if self._count_held(now_ms) >= SLOTS + QUEUE_LIMIT:
            return None
        self.served += 1
        begin_ms = max(now_ms, heapq.heappop(self._free_ms))
        work_ms = self._rng.lognormvariate(-0.125, 0.5) * self._work_ms
        end_ms = self._machine.get_end_ms(begin_ms=begin_ms, work_ms=work_ms)
        heapq.heappush(self._free_ms, end_ms)
        heapq.heappush(self._ends_ms, end_ms)
        return end_ms

    def make_report(self, now_ms: float) -> LoadReport | None:
        """Return the load report of a response that ends now."""
        return self._machine.make_report(held=self._count_held(now_ms), at_ms=now_ms)

    def _count_held(self, now_ms: float) -> int:
        while self._ends_ms and self._ends_ms[0] <= now_ms:
            heapq.heappop(self._ends_ms)
        return len(self._ends_ms)


class Tally(Struct, kw_only=True):
    """Outcomes of all requests."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def credit(self) -> float:
        """Return the mean value of a request: 1 if in time, a third if late, else 0."""
        return (self.in_time + self.late / 3) / self.requests


class Arrival(Struct, frozen=True, kw_only=True):
    """A request or its retry reaches a router."""

    router: int
    requested_ms: float
    tries: int


class Completed(Struct, frozen=True, kw_only=True):
    """A request of a router ends at an upstream."""

    router: int
    placed: Placement
    elapsed_ms: float


class UpdateDue(Struct, frozen=True, kw_only=True):
    """A router sends an update to the other routers."""

    router: int


class UpdateReceived(Struct, frozen=True, kw_only=True):
    """The other routers receive the loads of a router."""

    router: int
    loads: dict[str, UpstreamLoad]


Event = Arrival | Completed | UpdateDue | UpdateReceived


class PlainReplay:
    """Simulates routers in front of a plain service; updates between them arrive late."""

    def __init__(
        self,
        *,
        work_ms: float,
        upstreams: int,
        without: frozenset[Mechanism],
        seed: int,
        machines: Mapping[str, Machine] = MappingProxyType({}),
    ) -> None:
        random.seed(seed)
        self._rng = random.Random(seed)
        self._work_ms = work_ms
        # The latency target and the update interval scale with the work of a request.
        self._target_ms = 4.6 * work_ms
        self._update_interval_ms = 3.3 * work_ms
        self._clock = ManualClock(now_ms=1_000)
        self._upstreams = {
            name: Upstream(work_ms=work_ms, rng=self._rng, machine=machines.get(name, Machine()))
            for name in (f"i-{number}" for number in range(upstreams))
        }
        self._placers = [self._make_placer(without) for _ in range(ROUTERS)]
        self._events: list[tuple[float, int, Event]] = []
        self._number = 0
        self.tally = Tally()

    def play(self, *, pressure: float, duration_ms: float) -> Tally:
        """Simulate a load of `pressure` times the capacity of the upstreams."""
        gap_ms = self._work_ms / (len(self._upstreams) * SLOTS) / pressure
        at_ms = 0.0
        while at_ms < duration_ms:
            at_ms += self._rng.expovariate(1 / gap_ms)
            router = self._rng.randrange(ROUTERS)
            self._schedule(at_ms, Arrival(router=router, requested_ms=at_ms, tries=0))
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
            case Completed():
                self._handle_completed(at_ms, event)
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

    def count_served(self) -> dict[str, int]:
        """Return the number of requests that each upstream has accepted."""
        return {name: upstream.served for name, upstream in self._upstreams.items()}

    def _schedule(self, at_ms: float, event: Event) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, event))

    def _handle_arrival(self, at_ms: float, arrival: Arrival) -> None:
        self.tally.requests += arrival.tries == 0
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
        self._schedule(
            end_ms,
            Completed(router=arrival.router, placed=placed, elapsed_ms=end_ms - at_ms),
        )
        if end_ms - arrival.requested_ms <= self._target_ms:
            self.tally.in_time += 1
        else:
            self.tally.late += 1

    def _handle_completed(self, at_ms: float, completed: Completed) -> None:
        placer, placed = self._placers[completed.router], completed.placed
        report = self._upstreams[placed.entry.upstream].make_report(at_ms)
        placer.apply_response_metadata(placed.entry, _make_metadata(report))
        placer.plain.note_answered(
            placed, elapsed_ms=round(completed.elapsed_ms), now_ms=self._clock.now_ms()
        )
        placer.loads.end(placed.entry.incarnation)

    def _retry_or_refuse(self, at_ms: float, arrival: Arrival) -> None:
        """Schedule a retry at a random router, or count a refusal after the last one."""
        if arrival.tries == RETRIES:
            self.tally.refused += 1
            return
        retry = Arrival(
            router=self._rng.randrange(ROUTERS),
            requested_ms=arrival.requested_ms,
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
        placer = make_replay_placer(
            app=app,
            journal=journal,
            directory=directory,
            cap=Cap(factor=2.0, slack=3.0),
            slow_start=slow_start,
            without=without,
        )
        add_entries(
            directory,
            (make_ready_entry(name, service=SERVICE, slots=SLOTS) for name in self._upstreams),
        )
        return placer


def _make_metadata(report: LoadReport | None) -> ResponseMetadata:
    return ResponseMetadata(
        request_id=None,
        signed=True,
        not_run=False,
        content_encoded=False,
        is_event_stream=False,
        keep_alive_ms=None,
        reports_load=report is not None,
        load=report,
    )


class StaticFleet:
    """A fleet of routers that never changes."""

    own_address = "r"

    def list_addresses(self) -> tuple[str, ...]:
        """Return an address for each other router."""
        return tuple(str(number) for number in range(ROUTERS - 1))

    def get_last_added_ms(self) -> int:
        """Return 0: no router was added after the start."""
        return 0

    def has_received_update(self) -> bool:
        """Return True: updates of all routers count as received."""
        return True
