"""Replays a load against placement and against simple baselines, without sockets or processes.

`python -m bench placements [--load small|large] [--seed N]`: round robin, least loaded, hashing
without load, and the product's own placement with its news between routers.
"""

from __future__ import annotations

import argparse
import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, Protocol

import xxhash

from bench.placement_engine import Engine, Run
from bench.placement_load import LARGE, SMALL, Arrival, Load, make_arrivals
from bench.report import print_machine, print_result, print_table
from gypsumrouter.const import EXIT_OK, Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Record
from gypsumrouter.fleet.models import Address
from gypsumrouter.forwarding.health import HealthBook
from gypsumrouter.forwarding.loads import PeerLoads
from gypsumrouter.forwarding.placement import Cap, order_by_affinity
from gypsumrouter.forwarding.placer import Placed, Placer, Sent
from gypsumrouter.journal import Journal
from gypsumrouter.peers.const import NEWS_MS, NEWS_MS_PER_PEER
from gypsumrouter.util.clock import ManualClock

SERVICE: Final = "models"
DATA_CENTRES: Final = ("dc-a", "dc-b", "dc-c")
CAP: Final = Cap(factor=2.0, slack=2.0)
# A load above this multiple of the mean and this many more is skew that upstreams suffer from.
SKEW_FACTOR: Final = 2.0
SKEW_SLACK: Final = 3
LOADS: Final = {"small": SMALL, "large": LARGE}
PERCENT: Final = 100


@dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
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


@dataclass(slots=True, kw_only=True)
class Outcome:
    """What a load cost under one strategy."""

    first_ms: list[float] = field(default_factory=list)
    shared: int = 0
    read_first: int = 0
    read_again: int = 0
    copied: int = 0
    skewed: int = 0
    seen: set[int] = field(default_factory=set)

    def note(self, run: Run, arrival: Arrival, *, skewed: bool) -> None:
        """Add one request; a part that no engine has read so far has to be read in any case."""
        self.first_ms.append(run.first_ms - arrival.at_ms)
        self.shared += sum(part.tokens for part in arrival.prompt.shared)
        for part in run.read:
            if part.part in self.seen:
                self.read_again += part.tokens
            else:
                self.seen.add(part.part)
                self.read_first += part.tokens
        self.copied += run.copied
        self.skewed += skewed

    def forget(self, lost: Engine, kept: Iterable[Engine]) -> None:
        """Take the parts that only a lost engine had read as never read."""
        self.seen = {
            part
            for part in self.seen
            if not lost.holds(part) or any(engine.holds(part) for engine in kept)
        }

    def summarize(self) -> dict[str, float]:
        """Return shares in percent and times in milliseconds."""
        ordered = sorted(self.first_ms)
        count = len(ordered)
        return {
            "read_first_percent": round(PERCENT * self.read_first / self.shared, 2),
            "read_again_percent": round(PERCENT * self.read_again / self.shared, 2),
            "copied_percent": round(PERCENT * self.copied / self.shared, 2),
            "skewed_percent": round(PERCENT * self.skewed / count, 2),
            "first_p50_ms": round(ordered[count // 2], 1),
            "first_p99_ms": round(ordered[count * 99 // 100], 1),
        }


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
        self._period_ms = NEWS_MS + NEWS_MS_PER_PEER * (load.routers - 1)
        self._news: list[list[tuple[int, str]]] = [[] for _ in self._placers]
        self._told_ms = [number * self._period_ms // load.routers for number in range(load.routers)]
        self._sent: dict[int, Sent] = {}
        for number, placer in enumerate(self._placers):
            placer.on_placed(self._make_listener(number))

    def choose(self, arrival: Arrival, number: int) -> Choice:
        """Return what the router's placer says."""
        placer = self._placers[arrival.router]
        placed = placer.place(service=SERVICE, prompt=arrival.prompt, passed_over=())
        assert isinstance(placed, Placed)
        self._sent[number] = placer.note_sent(placed, arrival.prompt)
        source = placed.fetch_from
        return Choice(
            engine=placed.entry.upstream, source=None if source is None else source.upstream
        )

    def first(self, arrival: Arrival, number: int) -> None:
        """Tell the placer that the prompt was read."""
        sent = self._sent[number]
        self._placers[arrival.router].loads.note_read(sent.upstream, tokens=sent.tokens)

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
        loads = PeerLoads(heard_ms=now_ms, loads=self._placers[number].loads.own())
        for other, placer in enumerate(self._placers):
            if other == number:
                continue
            placer.loads.take_peer(f"router-{number}", loads)
            for part, upstream in news:
                placer.holdings.note(part=part, upstream=upstream, now_ms=now_ms)

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
        health = HealthBook(clock=self._clock, journal=journal)
        placer = Placer(app=app, directory=directory, cap=CAP, health=health)
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


class Replay:
    """One load under one strategy, played to its last request."""

    __slots__ = ("_due", "_engines", "_load", "_made", "_outcome", "_strategy", "_to_lose")

    def __init__(self, load: Load, strategy: Strategy) -> None:
        self._load = load
        self._strategy = strategy
        self._made = 0
        self._engines = {name: self._make_engine() for name in list_engines(load)}
        self._to_lose = list_engines(load)[: round(load.engines * load.lost_share)]
        self._outcome = Outcome()
        # When a running request has its first event or its end, in order.
        self._due: list[tuple[float, int, bool, Arrival, str]] = []

    def run(self, *, seed: int) -> Outcome:
        """Play the requests of a seed."""
        for number, arrival in enumerate(make_arrivals(self._load, seed=seed)):
            self._finish(arrival.at_ms)
            self._strategy.tick(arrival.at_ms)
            if arrival.at_ms >= self._load.lost_at_ms:
                self._lose_engines()
            self._begin(number, arrival)
        return self._outcome

    def _begin(self, number: int, arrival: Arrival) -> None:
        choice = self._strategy.choose(arrival, number)
        engine = self._engines[choice.engine]
        source = None if choice.source is None else self._engines[choice.source]
        mean = sum(other.running for other in self._engines.values()) / len(self._engines)
        skewed = engine.running > SKEW_FACTOR * mean + SKEW_SLACK
        run = engine.begin(arrival.prompt, now_ms=arrival.at_ms, source=source)
        self._outcome.note(run, arrival, skewed=skewed)
        heapq.heappush(self._due, (run.first_ms, 2 * number, False, arrival, choice.engine))
        heapq.heappush(self._due, (run.end_ms, 2 * number + 1, True, arrival, choice.engine))

    def _finish(self, now_ms: float) -> None:
        while self._due and self._due[0][0] <= now_ms:
            _, order, ends, arrival, engine = heapq.heappop(self._due)
            if not ends:
                self._strategy.first(arrival, order // 2)
                continue
            if engine in self._engines:
                self._engines[engine].end(arrival.prompt)
            self._strategy.end(arrival, order // 2)

    def _lose_engines(self) -> None:
        while self._to_lose:
            name = self._to_lose.pop()
            lost = self._engines.pop(name)
            self._outcome.forget(lost, self._engines.values())
            new = f"engine-{self._made}"
            self._engines[new] = self._make_engine()
            self._strategy.replace(name, new)

    def _make_engine(self) -> Engine:
        slow = self._made % 3 == 2
        self._made += 1
        factor = self._load.slow_factor if slow else 1.0
        return Engine(capacity=self._load.engine_tokens, factor=factor)


def replay(load: Load, strategy: Strategy, *, seed: int) -> Outcome:
    """Play a load to its last request."""
    return Replay(load, strategy).run(seed=seed)


def main(argv: list[str]) -> int:
    """Replay each load with each strategy and print a table and one JSON object."""
    parser = argparse.ArgumentParser(prog="python -m bench placements")
    parser.add_argument("--load", choices=sorted(LOADS), help="one load; both without it")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(argv)
    print_machine()
    figures: dict[str, dict[str, dict[str, float]]] = {}
    for name, load in LOADS.items():
        if options.load in (None, name):
            figures[name] = _measure(load, seed=options.seed)
    print_result(figures)
    return EXIT_OK


def _measure(load: Load, *, seed: int) -> dict[str, dict[str, float]]:
    measured = {
        name: replay(load, make(load), seed=seed).summarize() for name, make in STRATEGIES.items()
    }
    columns = ("placement", *next(iter(measured.values())))
    rows = [(name, *figures.values()) for name, figures in measured.items()]
    print_table(title=load.name, columns=columns, rows=rows)
    return measured
