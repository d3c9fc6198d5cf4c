"""Placement strategies of the replay: that of the router and its baselines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

import xxhash
from msgspec import Struct

from bench.placement_load import Arrival, Load
from bench.replay_placer import make_replay_placer
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Record
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.forwarding.loads import PeerLoads
from gypsumrouter.forwarding.placed import Placement, SentRequest
from gypsumrouter.forwarding.placement import Cap, order_by_affinity
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.peers.const import UPDATE_INTERVAL_MS, UPDATE_INTERVAL_MS_PER_PEER
from gypsumrouter.settings import Contention
from gypsumrouter.util.clock import ManualClock

SERVICE: Final = "models"
DATA_CENTRES: Final = ("dc-a", "dc-b", "dc-c")
CAP: Final = Cap(factor=2.0, slack=2.0)


class Choice(Struct, frozen=True, kw_only=True):
    """The engine for a request, and the engine to copy its cached prompt from, if any."""

    engine: str
    source: str | None = None


class Strategy(Protocol):
    """Chooses engines for all routers; is notified of the progress of requests."""

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return the engine for a request; `number` identifies the request."""

    def record_first_event(self, arrival: Arrival, number: int) -> None:
        """Record the first event of a request."""

    def record_end(self, arrival: Arrival, number: int) -> None:
        """Record the end of a request."""

    def advance(self, now_ms: int) -> None:
        """Advance the time."""

    def replace_engine(self, lost: str, new: str) -> None:
        """Replace a lost engine by one with an empty cache."""


class RoundRobin:
    """Each router uses the engines in turn."""

    def __init__(self, load: Load) -> None:
        self._names = list_engines(load)
        self._next = [router % load.engines for router in range(load.routers)]

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return the next engine."""
        at = self._next[arrival.router]
        self._next[arrival.router] = (at + 1) % len(self._names)
        return Choice(engine=self._names[at])

    def record_first_event(self, arrival: Arrival, number: int) -> None:
        """Do nothing."""

    def record_end(self, arrival: Arrival, number: int) -> None:
        """Do nothing."""

    def advance(self, now_ms: int) -> None:
        """Do nothing."""

    def replace_engine(self, lost: str, new: str) -> None:
        """Use the new engine instead."""
        self._names[self._names.index(lost)] = new


class LeastLoaded(RoundRobin):
    """Each router chooses the engine with the fewest of its own running requests."""

    def __init__(self, load: Load) -> None:
        super().__init__(load)
        self._running = [dict.fromkeys(self._names, 0) for _ in range(load.routers)]
        self._engines: dict[int, str] = {}

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return the engine with the fewest running requests."""
        running = self._running[arrival.router]
        at = number % len(self._names)
        # Break ties in turn, so that routers do not all start with the same engine.
        engine = min(self._names[at:] + self._names[:at], key=running.__getitem__)
        running[engine] += 1
        self._engines[number] = engine
        return Choice(engine=engine)

    def record_end(self, arrival: Arrival, number: int) -> None:
        """Decrement the count of running requests."""
        engine = self._engines.pop(number)
        if engine in self._running[arrival.router]:
            self._running[arrival.router][engine] -= 1

    def replace_engine(self, lost: str, new: str) -> None:
        """Start counting for the new engine at 0."""
        super().replace_engine(lost, new)
        for running in self._running:
            del running[lost]
            running[new] = 0


class Hashing(RoundRobin):
    """Chooses the first engine in the affinity order of the prompt, regardless of load."""

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return the first engine in the affinity order."""
        shared = arrival.prompt.shared[-1].part
        affinity = xxhash.xxh3_64_intdigest(shared.to_bytes(8, "little"))
        return Choice(engine=order_by_affinity(self._names, affinity=affinity)[0])


class ProductPlacement:
    """The placement of the router: one placer per router, and periodic updates between them.

    `contention` and `without` are the settings of the forwarders.
    """

    def __init__(
        self,
        load: Load,
        *,
        contention: Contention | None = None,
        without: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._contention = contention
        self._without = without
        self._clock = ManualClock()
        self._slots = load.slots
        self._revision = 1
        self._directories: list[Directory] = []
        self._placers = [self._make_placer(load, number) for number in range(load.routers)]
        self._period_ms = UPDATE_INTERVAL_MS + UPDATE_INTERVAL_MS_PER_PEER * (load.routers - 1)
        self._pending_updates: list[list[tuple[int, str]]] = [[] for _ in self._placers]
        self._last_update_ms = [
            number * self._period_ms // load.routers for number in range(load.routers)
        ]
        self._sent: dict[int, SentRequest] = {}
        for number, placer in enumerate(self._placers):
            placer.on_placed(self._make_listener(number))

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return the choice of the router's placer."""
        placer = self._placers[arrival.router]
        placed = placer.place(service=SERVICE, prompt=arrival.prompt, excluded=())
        assert isinstance(placed, Placement)
        self._sent[number] = placer.note_sent(placed, arrival.prompt)
        source = placed.fetch_from
        return Choice(
            engine=placed.entry.upstream, source=None if source is None else source.upstream
        )

    def record_first_event(self, arrival: Arrival, number: int) -> None:
        """Record in the placer that the prompt was prefilled."""
        sent = self._sent[number]
        self._placers[arrival.router].note_prefilled(sent)
        self._placers[arrival.router].note_first_event(sent)

    def record_end(self, arrival: Arrival, number: int) -> None:
        """Record in the placer that the request ended."""
        placer = self._placers[arrival.router]
        sent = self._sent.pop(number)
        placer.loads.end(sent.upstream)
        uneven_load = placer.uneven_load
        uneven_load.note_ended(sent, held_ms=self._clock.now_ms() - sent.sent_ms)
        uneven_load.note_output(arrival.prompt, tokens=arrival.prompt.max_output_tokens)

    def advance(self, now_ms: int) -> None:
        """Advance the clock and send the updates that are due."""
        self._clock.advance(now_ms - self._clock.now_ms())
        for number, last_update_ms in enumerate(self._last_update_ms):
            if now_ms - last_update_ms >= self._period_ms:
                self._last_update_ms[number] = now_ms
                self._send_update(number, now_ms)

    def replace_engine(self, lost: str, new: str) -> None:
        """Replace the engine in the directories of all routers at once."""
        self._revision += 1
        for directory in self._directories:
            removed = Entry(upstream=lost, state=EntryState.GONE)
            directory.merge(Record(revision=self._revision, entry=removed), source="replay")
            self._add_entry(directory, new)

    def _send_update(self, number: int, now_ms: int) -> None:
        update, self._pending_updates[number] = self._pending_updates[number], []
        loads = PeerLoads(received_ms=now_ms, loads=self._placers[number].loads.get_own_loads())
        for other, placer in enumerate(self._placers):
            if other == number:
                continue
            placer.loads.set_peer_loads(f"router-{number}", loads)
            for part, upstream in update:
                placer.cache_index.note(part=part, upstream=upstream, now_ms=now_ms)

    def _make_listener(self, number: int) -> Callable[[int, str], None]:
        def add_to_update(part: int, upstream: str) -> None:
            self._pending_updates[number].append((part, upstream))

        return add_to_update

    def _make_placer(self, load: Load, number: int) -> Placer:
        app = Application(
            name=f"router-{number}",
            role=Role.FORWARDER,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            region="r",
            clock=self._clock,
        )
        journal = Journal(app=app)
        directory = Directory(app=app, journal=journal)
        health = HealthTracker(clock=self._clock, journal=journal)
        placer = make_replay_placer(
            app=app,
            journal=journal,
            directory=directory,
            cap=CAP,
            health=health,
            contention=self._contention,
            without=self._without,
        )
        if placer.uneven_load.engine_memory is not None:
            placer.uneven_load.engine_memory.set_capacities({SERVICE: load.engine_tokens})
        self._directories.append(directory)
        for name in list_engines(load):
            self._add_entry(directory, name)
        return placer

    def _add_entry(self, directory: Directory, engine: str) -> None:
        number = int(engine.rpartition("-")[2])
        entry = Entry(
            upstream=engine,
            state=EntryState.READY,
            service=SERVICE,
            address=Address(host="127.0.0.1", port=1 + number),
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            slots=self._slots,
        )
        directory.merge(Record(revision=self._revision, entry=entry), source="replay")


STRATEGIES: Final[dict[str, Callable[[Load], Strategy]]] = {
    "round robin": RoundRobin,
    "least loaded": LeastLoaded,
    "hashing": Hashing,
    "gypsumrouter": ProductPlacement,
}


def list_engines(load: Load) -> list[str]:
    """Return the names of the initial engines of a load."""
    return [f"engine-{number}" for number in range(load.engines)]
