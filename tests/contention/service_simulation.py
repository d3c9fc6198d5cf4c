"""Simulation of a service under load: routers with admission queues, and engines that prefill.

Engines serve their requests one after the other, in order of arrival. A router knows its own
requests at once and those of its peers after a delay.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from contention_fakes import FakeService, make_claim

from gypsumrouter.contention import Admitted, Expected, Refused, Return, ServiceWork
from gypsumrouter.contention.const import TICK_MS
from gypsumrouter.contention.models import NoShares, Waiting, WorkspaceExcess
from gypsumrouter.contention.queue import ContentionQueue

# Requests that an engine may run at once; what limits it here is that it prefills one at a time.
ENGINE_SLOTS = 8
# Delay of peers' figures: an update interval and its travel time.
REPORT_DELAY_MS = 200


@dataclass(frozen=True)
class LoadClass:
    """A class of requests; `own_ms` is the prefill time, `per_s` the usual rate."""

    name: str
    priority: int
    own_ms: int
    target_ms: int
    deadline_ms: int
    per_s: float
    workspace: str = "w"


@dataclass
class Result:
    """What became of the requests of a class; shares of all of them."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_late: int = 0
    worst_ms: int = 0
    longest_wait_ms: int = 0

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return self.in_time + self.late + self.refused

    @property
    def share(self) -> float:
        """Return the share of the requests that were in time for their target."""
        return self.in_time / max(1, self.total)


@dataclass
class Engine:
    """An engine that prefills one request after the other."""

    free_at_ms: int = 0
    alive: bool = True
    # Time of sending and end of each request, for the figures of peers.
    sent: list[tuple[int, int, int]] = field(default_factory=list)


class Simulation:
    """Routers that send to the same engines; `queued` is False for routers without a queue."""

    def __init__(
        self,
        *,
        classes: tuple[LoadClass, ...],
        engines: int = 4,
        routers: int = 1,
        queued: bool = True,
        seed: int = 1,
        shares: WorkspaceExcess | None = None,
    ) -> None:
        self.now_ms = 0
        self.engines = [Engine() for _ in range(engines)]
        self.results = {item.name: Result() for item in classes}
        self.seen: Counter[str] = Counter()
        self._classes = classes
        self._queued = queued
        self._rng = random.Random(seed)
        self._sequence = 0
        self._routers = [
            ContentionQueue(
                max_waiting=512,
                shares=shares or NoShares(),
                get_work=self._make_get_work(number),
            )
            for number in range(routers)
        ]
        self._waiting: list[tuple[int, LoadClass, Waiting]] = []

    def run(self, duration_ms: int, get_factor: Callable[[LoadClass, int], float]) -> None:
        """Run; `get_factor` returns the multiple of a class's usual rate at a time."""
        for _ in range(duration_ms):
            self.now_ms += 1
            for item in self._classes:
                rate = item.per_s * get_factor(item, self.now_ms) / 1_000
                while rate > 0 and self._rng.random() < rate:
                    self._arrive(self._rng.randrange(len(self._routers)), item)
                    rate -= 1
            if self.now_ms % TICK_MS == 0:
                for number, queue in enumerate(self._routers):
                    queue.release(now_ms=self.now_ms)
                    self._send_released(number)

    def _arrive(self, router: int, item: LoadClass) -> None:
        self._sequence += 1
        if not self._queued:
            self._send(router, item, self.now_ms)
            return
        claim = make_claim(
            FakeService(),
            f"r{self._sequence}",
            caller_class=item.name,
            workspace=item.workspace,
            priority=item.priority,
            target_ms=item.target_ms,
            remaining_ms=item.deadline_ms,
            estimate=lambda: self._estimate(router, item),
        )
        outcome = self._routers[router].decide(
            claim, sequence=self._sequence, now_ms=self.now_ms, returned=Return.UNKNOWN
        )
        match outcome:
            case Admitted():
                self._send(router, item, self.now_ms)
            case Refused():
                self.results[item.name].refused += 1
            case Waiting():
                self._waiting.append((router, item, outcome))

    def _send_released(self, router: int) -> None:
        """Send what a router has released, as its tasks would, until nothing more is released."""
        while True:
            done = [entry for entry in self._waiting if entry[2].future.done()]
            if not done:
                return
            self._waiting = [entry for entry in self._waiting if not entry[2].future.done()]
            for number, item, waiting in done:
                self._routers[number].remove(waiting)
                self._end_wait(number, item, waiting)
            self._routers[router].release(now_ms=self.now_ms)

    def _end_wait(self, router: int, item: LoadClass, waiting: Waiting) -> None:
        result = self.results[item.name]
        waited_ms = self.now_ms - waiting.arrived_ms
        result.longest_wait_ms = max(result.longest_wait_ms, waited_ms)
        if isinstance(waiting.future.result(), Refused):
            result.refused += 1
            result.refused_late += 1
            return
        self._send(router, item, waiting.arrived_ms)

    def _send(self, router: int, item: LoadClass, arrived_ms: int) -> None:
        engine = self._choose(router)
        engine.free_at_ms = max(self.now_ms, engine.free_at_ms) + item.own_ms
        engine.sent.append((router, self.now_ms, engine.free_at_ms))
        engine.sent = [entry for entry in engine.sent if entry[2] > self.now_ms - REPORT_DELAY_MS]
        latency_ms = engine.free_at_ms - arrived_ms
        result = self.results[item.name]
        result.worst_ms = max(result.worst_ms, latency_ms)
        if latency_ms <= item.target_ms:
            result.in_time += 1
        else:
            result.late += 1

    def _choose(self, router: int) -> Engine:
        alive = [engine for engine in self.engines if engine.alive]
        if len(self._routers) == 1:
            return min(alive, key=lambda engine: engine.free_at_ms)
        return min(alive, key=lambda engine: (self._view(router, engine), self._rng.random()))

    def _view(self, router: int, engine: Engine) -> int:
        """Return the backlog of an engine as a router knows it."""
        if len(self._routers) == 1:
            return max(0, engine.free_at_ms - self.now_ms)
        before_ms = self.now_ms - REPORT_DELAY_MS
        last_ms = max(
            (end for own, sent, end in engine.sent if own == router or sent <= before_ms),
            default=0,
        )
        return max(0, last_ms - self.now_ms)

    def _estimate(self, router: int, item: LoadClass) -> Expected:
        backlog_ms = self._view(router, self._choose(router))
        return Expected(backlog_ms=backlog_ms, own_ms=item.own_ms)

    def _make_get_work(self, router: int) -> Callable[[], ServiceWork]:
        return lambda: self._get_work(router)

    def _get_work(self, router: int) -> ServiceWork:
        before_ms = self.now_ms - REPORT_DELAY_MS
        own_ms = peers_ms = 0.0
        own = peers = alive = 0
        for engine in self.engines:
            if not engine.alive:
                continue
            alive += 1
            for number, sent_ms, end_ms in engine.sent:
                if end_ms <= self.now_ms:
                    continue
                if number == router:
                    own += 1
                elif sent_ms <= before_ms:
                    peers += 1
            backlog_ms = max(0, engine.free_at_ms - self.now_ms)
            total = sum(end > self.now_ms for _, _, end in engine.sent)
            mine = sum(end > self.now_ms for n, _, end in engine.sent if n == router)
            own_ms += backlog_ms * mine / max(1, total)
            peers_ms += backlog_ms * (total - mine) / max(1, total)
        return ServiceWork(
            own_ms=own_ms,
            peers_ms=peers_ms,
            upstreams=alive,
            slots=alive * ENGINE_SLOTS,
            own_running=own,
            peers_running=peers,
            peers_known=len(self._routers) > 1,
            peers_age_ms=REPORT_DELAY_MS if len(self._routers) > 1 else 0,
            routers=len(self._routers),
        )
