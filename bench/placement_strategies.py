"""Ways to choose an engine for the replay of placement: the product's own and its baselines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

import xxhash
from msgspec import Struct

from bench.placement_load import Arrival, Load
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuations, Record
from gypsumrouter.forwarding.backoff import BackoffTracker
from gypsumrouter.forwarding.health import HealthTracker
from gypsumrouter.forwarding.loads import PeerLoads
from gypsumrouter.forwarding.placed import Placement, SentRequest
from gypsumrouter.forwarding.placement import Cap, order_by_affinity
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.slow_start import SlowStartLimiter
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.peers.const import UPDATE_INTERVAL_MS, UPDATE_INTERVAL_MS_PER_PEER
from gypsumrouter.util.clock import ManualClock

SERVICE: Final = "models"
DATA_CENTRES: Final = ("dc-a", "dc-b", "dc-c")
CAP: Final = Cap(factor=2.0, slack=2.0)


class Choice(Struct, frozen=True, kw_only=True):
    """The engine for a request, and one to copy its prompt from."""

    engine: str
    source: str | None = None


class Strategy(Protocol):
    """Chooses engines for all routers; `first` and `end` tell how a request went on."""

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return where a request goes; `number` is its own."""

    def first(self, arrival: Arrival, number: int) -> None:
        """Note the first event of a request."""

    def end(self, arrival: Arrival, number: int) -> None:
        """Note the end of a request."""

    def tick(self, now_ms: int) -> None:
        """Move time on."""

    def replace(self, lost: str, new: str) -> None:
        """Note that an engine is lost and an empty one is there."""


class RoundRobin:
    """Each router goes through the engines in turn."""

    def __init__(self, load: Load) -> None:
        self._names = list_engines(load)
        self._next = [router % load.engines for router in range(load.routers)]

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return the next engine."""
        at = self._next[arrival.router]
        self._next[arrival.router] = (at + 1) % len(self._names)
        return Choice(engine=self._names[at])

    def first(self, arrival: Arrival, number: int) -> None:
        """Take no note."""

    def end(self, arrival: Arrival, number: int) -> None:
        """Take no note."""

    def tick(self, now_ms: int) -> None:
        """Take no note."""

    def replace(self, lost: str, new: str) -> None:
        """Go to the new engine instead."""
        self._names[self._names.index(lost)] = new


class LeastLoaded(RoundRobin):
    """Each router goes to the engine where it has the fewest requests itself."""

    def __init__(self, load: Load) -> None:
        super().__init__(load)
        self._running = [dict.fromkeys(self._names, 0) for _ in range(load.routers)]
        self._engines: dict[int, str] = {}

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return the engine with the fewest."""
        running = self._running[arrival.router]
        at = number % len(self._names)
        # Equals are taken in turn, so that routers do not all begin with the same engine.
        engine = min(self._names[at:] + self._names[:at], key=running.__getitem__)
        running[engine] += 1
        self._engines[number] = engine
        return Choice(engine=engine)

    def end(self, arrival: Arrival, number: int) -> None:
        """Count a request out."""
        engine = self._engines.pop(number)
        if engine in self._running[arrival.router]:
            self._running[arrival.router][engine] -= 1

    def replace(self, lost: str, new: str) -> None:
        """Begin to count for the new engine."""
        super().replace(lost, new)
        for running in self._running:
            del running[lost]
            running[new] = 0


class Hashing(RoundRobin):
    """Each prompt goes to the first engine of its stable order, whatever the load."""

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return the first of the order."""
        shared = arrival.prompt.shared[-1].part
        affinity = xxhash.xxh3_64_intdigest(shared.to_bytes(8, "little"))
        return Choice(engine=order_by_affinity(self._names, affinity=affinity)[0])


class Product:
    """The product's placement: one placer a router, and their news after its usual pause."""

    def __init__(self, load: Load) -> None:
        self._clock = ManualClock()
        self._slots = load.slots
        self._revision = 1
        self._directories: list[Directory] = []
        self._placers = [self._make_placer(load, number) for number in range(load.routers)]
        self._period_ms = UPDATE_INTERVAL_MS + UPDATE_INTERVAL_MS_PER_PEER * (load.routers - 1)
        self._news: list[list[tuple[int, str]]] = [[] for _ in self._placers]
        self._told_ms = [number * self._period_ms // load.routers for number in range(load.routers)]
        self._sent: dict[int, SentRequest] = {}
        for number, placer in enumerate(self._placers):
            placer.on_placed(self._make_listener(number))

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return what the router's placer says."""
        placer = self._placers[arrival.router]
        placed = placer.place(service=SERVICE, prompt=arrival.prompt, excluded=())
        assert isinstance(placed, Placement)
        self._sent[number] = placer.note_sent(placed, arrival.prompt)
        source = placed.fetch_from
        return Choice(
            engine=placed.entry.upstream, source=None if source is None else source.upstream
        )

    def first(self, arrival: Arrival, number: int) -> None:
        """Tell the placer that the prompt was read."""
        sent = self._sent[number]
        self._placers[arrival.router].note_prefilled(sent)
        self._placers[arrival.router].note_first_event(sent)

    def end(self, arrival: Arrival, number: int) -> None:
        """Tell the placer that a request is over."""
        self._placers[arrival.router].loads.end(self._sent.pop(number).upstream)

    def tick(self, now_ms: int) -> None:
        """Move the clock on and pass on the news that are due."""
        self._clock.advance(now_ms - self._clock.now_ms())
        for number, told_ms in enumerate(self._told_ms):
            if now_ms - told_ms >= self._period_ms:
                self._told_ms[number] = now_ms
                self._tell(number, now_ms)

    def replace(self, lost: str, new: str) -> None:
        """Tell every router at once, as the published list does."""
        self._revision += 1
        for directory in self._directories:
            gone = Entry(upstream=lost, state=EntryState.GONE)
            directory.merge(Record(revision=self._revision, entry=gone), source="replay")
            self._list(directory, new)

    def _tell(self, number: int, now_ms: int) -> None:
        news, self._news[number] = self._news[number], []
        loads = PeerLoads(received_ms=now_ms, loads=self._placers[number].loads.get_own_loads())
        for other, placer in enumerate(self._placers):
            if other == number:
                continue
            placer.loads.set_peer_loads(f"router-{number}", loads)
            for part, upstream in news:
                placer.cache_index.note(part=part, upstream=upstream, now_ms=now_ms)

    def _make_listener(self, number: int) -> Callable[[int, str], None]:
        def note(part: int, upstream: str) -> None:
            self._news[number].append((part, upstream))

        return note

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
        placer = Placer(
            app=app,
            directory=directory,
            cap=CAP,
            health=health,
            backoffs=BackoffTracker(clock=self._clock, journal=journal),
            evacuations=Evacuations(app=app, journal=journal),
            slow_start=SlowStartLimiter(clock=self._clock, journal=journal),
        )
        self._directories.append(directory)
        for name in list_engines(load):
            self._list(directory, name)
        return placer

    def _list(self, directory: Directory, engine: str) -> None:
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
    "gypsumrouter": Product,
}


def list_engines(load: Load) -> list[str]:
    """Return the names of a load's first engines."""
    return [f"engine-{number}" for number in range(load.engines)]
