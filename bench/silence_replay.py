"""Replay of requests to upstreams that fall silent, without a network, against the real placer."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Final

from bench.placement_engine import Engine, RequestTiming
from bench.replay_placer import add_entries, make_ready_entry, make_replay_placer
from bench.silence_models import (
    DARK,
    HALF_DEAD,
    MUTE,
    CountingJournal,
    Figures,
    Request,
    Run,
    Scenario,
)
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.budget import RetryBudget
from gypsumrouter.forwarding.health.silences import SilenceTracker
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.forwarding.models import Prompt, PromptPart, ResponseMetadata
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.journal import Journal
from gypsumrouter.settings import Contention
from gypsumrouter.util.clock import Clock, ManualClock

SERVICE: Final = "models"
SLOTS: Final = 64
ENGINE_TOKENS: Final = 443_550
CAP: Final = Cap(factor=2.0, slack=2.0)
START_MS: Final = 100_000
MS_PER_S: Final = 1_000
# Target of the first byte, and the silence after which a replacement is looked for.
TARGET_MS: Final = 300
PATIENCE_MS: Final = 750
RECHECK_MS: Final = 200
DEADLINE_MS: Final = 8_000
CONNECT_MS: Final = 200
MAX_ATTEMPTS: Final = 3
# Share of the retry budget that replacements leave to failures.
RESERVED: Final = 0.5
CHUNK_MS: Final = 100
HALF_DEAD_SHARE: Final = 0.4
PLAIN_SHARE: Final = 0.3
ROOTS: Final = 8
SUBJECTS: Final = 60
RESPONSE: Final = ResponseMetadata(
    request_id=None,
    signed=True,
    not_run=False,
    content_encoded=False,
    is_event_stream=True,
    keep_alive_ms=None,
)

MakeHealth = Callable[[Clock, Journal, SilenceTracker], HealthTracker]


class SilenceReplay:
    """Replay of one scenario with one way to judge silence."""

    __slots__ = (
        "_budget",
        "_clock",
        "_engines",
        "_events",
        "_figures",
        "_journal",
        "_order",
        "_placer",
        "_rng",
        "_scenario",
        "_seen_parts",
        "_silent",
        "_tells_parts",
    )

    def __init__(
        self, scenario: Scenario, make_health: MakeHealth, *, seed: int, tells_parts: bool
    ) -> None:
        random.seed(seed)
        self._scenario = scenario
        self._tells_parts = tells_parts
        self._rng = random.Random(seed)
        self._clock = ManualClock(now_ms=START_MS)
        self._figures = Figures()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = 0
        self._seen_parts: set[int] = set()
        self._engines = {
            f"i-{number}": Engine(capacity=ENGINE_TOKENS) for number in range(scenario.upstreams)
        }
        self._silent: dict[str, list[tuple[int, int]]] = {name: [] for name in self._engines}
        self._draw_silences()
        self._budget = RetryBudget(
            clock=self._clock, ratio=0.2, slack=50.0, window_ms=10_000, first_start=True
        )
        app = Application(
            name="r", role=Role.FORWARDER, data_centre="a", region="r", clock=self._clock
        )
        self._journal = CountingJournal(app=app)
        self._placer = self._make_placer(app, make_health)

    def run(self) -> Figures:
        """Replay the scenario and return its figures."""
        scenario = self._scenario
        # Arrivals are drawn first, so that they are the same for each way.
        at_ms = float(START_MS)
        while at_ms < START_MS + scenario.duration_ms:
            self._add(int(at_ms), self._make_arrival(self._draw_prompt()))
            at_ms += self._rng.expovariate(scenario.per_s / MS_PER_S)
        for second in range(scenario.duration_ms // MS_PER_S):
            self._add(START_MS + second * MS_PER_S, self._placer.health.sweep)
        while self._events:
            at_ms, _, action = heapq.heappop(self._events)
            self._clock.advance(at_ms - self._clock.now_ms())
            action()
        self._figures.unhealthy = self._journal.unhealthy
        return self._figures

    def _make_placer(self, app: Application, make_health: MakeHealth) -> Placer:
        directory = Directory(app=app, journal=self._journal)
        placer = make_replay_placer(
            app=app,
            journal=self._journal,
            directory=directory,
            cap=CAP,
            health=make_health(self._clock, self._journal, SilenceTracker(clock=self._clock)),
            contention=Contention(),
        )
        add_entries(
            directory,
            (make_ready_entry(name, service=SERVICE, slots=SLOTS) for name in self._engines),
        )
        return placer

    def _draw_silences(self) -> None:
        scenario = self._scenario
        names = list(self._engines)
        if scenario.gone:
            for name in self._rng.sample(names, scenario.affected):
                self._silent[name].append((START_MS + scenario.lost_ms, 1 << 60))
            return
        if not scenario.silent_ms:
            return
        for begin_ms in range(
            scenario.period_ms, scenario.duration_ms - scenario.silent_ms, scenario.period_ms
        ):
            for name in self._rng.sample(names, scenario.affected):
                at_ms = START_MS + begin_ms
                self._silent[name].append((at_ms, at_ms + scenario.silent_ms))

    def _draw_prompt(self) -> Prompt | None:
        if self._rng.random() < PLAIN_SHARE:
            return None
        subject = int(SUBJECTS * self._rng.random() ** 2)
        own = self._rng.randint(50, 400)
        parts = (
            PromptPart(part=1 + subject % ROOTS, tokens=500),
            PromptPart(part=1_000 + subject, tokens=8_000),
            PromptPart(part=self._rng.getrandbits(40) << 8, tokens=own),
        )
        return Prompt(model="m", parts=parts, input_tokens=8_500 + own, max_output_tokens=60)

    def _add(self, at_ms: int, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (at_ms, self._order, action))

    def _get_silence_end(self, upstream: str, at_ms: int) -> int | None:
        for begin_ms, end_ms in self._silent[upstream]:
            if begin_ms <= at_ms < end_ms:
                return end_ms
        return None

    def _make_arrival(self, prompt: Prompt | None) -> Callable[[], None]:
        def arrive() -> None:
            request = Request(arrived_ms=self._clock.now_ms(), prompt=prompt)
            self._figures.requests += 1
            self._budget.note_request(SERVICE)
            self._add(request.arrived_ms + DEADLINE_MS, lambda: self._end_late(request))
            self._begin(request)

        return arrive

    def _begin(self, request: Request) -> None:
        """Send a request for which no run exists."""
        if request.ended:
            return
        run = self._send(request)
        if run is None:
            self._add(self._clock.now_ms() + RECHECK_MS, lambda: self._begin(request))
        elif run.times or not self._is_refusing(run.upstream):
            request.present = run
            self._add(run.heard_ms + PATIENCE_MS, lambda: self._check(run))

    def _is_refusing(self, upstream: str) -> bool:
        """Return whether no connection to an upstream can be opened now."""
        lost = self._get_silence_end(upstream, self._clock.now_ms()) is not None
        return self._scenario.gone == DARK and lost

    def _send(self, request: Request) -> Run | None:
        placement = self._placer.place(
            service=SERVICE, prompt=request.prompt, excluded=tuple(request.tried)
        )
        if not isinstance(placement, Placement):
            return None
        now_ms = self._clock.now_ms()
        sent = self._placer.note_sent(placement, request.prompt)
        run = Run(request=request, placement=placement, sent=sent, now_ms=now_ms)
        if self._get_silence_end(run.upstream, now_ms) is not None:
            self._figures.at_silent += 1
            if self._scenario.gone:
                lost_ms = START_MS + self._scenario.lost_ms
                self._figures.sent_after_ms.append(now_ms - lost_ms)
        request.tried.add(run.upstream)
        if self._is_refusing(run.upstream):
            self._add(now_ms + CONNECT_MS, lambda: self._fail_to_connect(run))
            return run
        request.attempts += 1
        self._plan(run)
        return run

    def _fail_to_connect(self, run: Run) -> None:
        if run.ended:
            return
        self._placer.note_not_run(run.sent)
        self._placer.note_unreachable(run.placement.entry, reason="timeout", refused=False)
        self._end(run)
        request = run.request
        if request.standby is run:
            request.standby = None
        elif not request.ended:
            self._begin(request)

    def _plan(self, run: Run) -> None:
        """Plan when the parts of the response are delivered."""
        now_ms = self._clock.now_ms()
        silence_end_ms = self._get_silence_end(run.upstream, now_ms)
        if self._scenario.gone and silence_end_ms is not None:
            if self._scenario.gone == MUTE or self._rng_of(run).random() < HALF_DEAD_SHARE:
                run.times = [1 << 60]
                return
            silence_end_ms = None
        begin_ms = silence_end_ms or now_ms
        timing = self._work(run, begin_ms)
        first_ms, end_ms = int(timing.first_ms), int(timing.end_ms)
        run.times = [*range(first_ms, max(first_ms + 1, end_ms), CHUNK_MS), end_ms]
        self._add(run.times[0], lambda: self._deliver(run))

    def _rng_of(self, run: Run) -> random.Random:
        """Return a generator that depends on the run only, not on what happened before."""
        return random.Random(f"{run.request.arrived_ms} {run.upstream}")

    def _work(self, run: Run, begin_ms: int) -> RequestTiming:
        prompt = run.request.prompt
        if prompt is None:
            return RequestTiming(
                first_ms=begin_ms + 60, end_ms=begin_ms + 61, prefilled=(), copied_tokens=0
            )
        fetch_from = run.placement.fetch_from
        source = None if fetch_from is None else self._engines[fetch_from.incarnation]
        timing = self._engines[run.upstream].begin(prompt, now_ms=begin_ms, source=source)
        figures = self._figures
        figures.shared_tokens += sum(part.tokens for part in prompt.shared)
        figures.copied_tokens += timing.copied_tokens
        for part in timing.prefilled:
            if part.part in self._seen_parts:
                figures.again_tokens += part.tokens
            self._seen_parts.add(part.part)
        return timing

    def _deliver(self, run: Run) -> None:
        """Deliver a part of a response, or later if its upstream is silent."""
        if run.ended:
            return
        now_ms = self._clock.now_ms()
        silence_end_ms = self._get_silence_end(run.upstream, now_ms)
        if self._scenario.gone == HALF_DEAD:
            silence_end_ms = None
        if silence_end_ms is not None:
            if not self._scenario.gone:
                begin_ms = max(b for b, _ in self._silent[run.upstream] if b <= now_ms)
                delay_ms = silence_end_ms - begin_ms
                run.times = [at_ms + delay_ms for at_ms in run.times]
                self._add(run.times[0], lambda: self._deliver(run))
            return
        is_first = run.heard_ms == run.sent_ms
        run.heard_ms = now_ms
        run.times.pop(0)
        if is_first:
            self._placer.apply_response_metadata(run.placement.entry, RESPONSE)
            self._placer.note_prefilled(run.sent)
            self._placer.note_first_event(run.sent)
        elif self._tells_parts:
            self._placer.health.note_received(run.upstream)
        self._prefer(run)
        if run.times:
            self._add(max(now_ms, run.times[0]), lambda: self._deliver(run))
        else:
            self._complete(run)

    def _prefer(self, run: Run) -> None:
        """Go on with the run that has delivered; the other one is given up."""
        request = run.request
        if request.standby is run:
            present = request.present
            request.present, request.standby = run, None
            if present is not None and not present.ended:
                now_ms = self._clock.now_ms()
                self._placer.note_prefilled(present.sent)
                silent_ms = now_ms - present.heard_ms
                self._placer.health.note_silent(present.upstream, silent_ms=silent_ms)
                self._end(present)
            self._add(run.heard_ms + PATIENCE_MS, lambda: self._check(run))
        elif request.standby is not None:
            self._end(request.standby)
            request.standby = None
        if not request.begun:
            request.begun = True
            self._figures.in_time += self._clock.now_ms() - request.arrived_ms <= TARGET_MS

    def _complete(self, run: Run) -> None:
        run.request.ended = True
        self._placer.health.note_success(run.upstream)
        self._end(run)

    def _check(self, run: Run) -> None:
        """Look for a replacement of a run that has been silent for long enough."""
        request = run.request
        if run.ended or request.present is not run:
            return
        now_ms = self._clock.now_ms()
        due_ms = run.heard_ms + PATIENCE_MS
        if now_ms < due_ms:
            self._add(due_ms, lambda: self._check(run))
            return
        if request.standby is None and request.attempts < MAX_ATTEMPTS:
            if self._take_retry():
                request.standby = self._send(request)
                self._figures.replaced += request.standby is not None
            else:
                self._figures.not_replaced += 1
        self._add(now_ms + RECHECK_MS, lambda: self._check(run))

    def _take_retry(self) -> bool:
        usage = self._budget.get_usage(SERVICE)
        if usage.available - 1 < RESERVED * (usage.capacity - 1):
            return False
        return self._budget.try_acquire(SERVICE)

    def _end_late(self, request: Request) -> None:
        if request.ended:
            return
        request.ended = True
        self._figures.unanswered += 1
        for run in (request.present, request.standby):
            if run is not None:
                self._end(run)

    def _end(self, run: Run) -> None:
        if run.ended:
            return
        run.ended = True
        self._placer.note_prefilled(run.sent)
        self._placer.note_ended(run.sent, held_ms=self._clock.now_ms() - run.sent_ms)
        prompt = run.request.prompt
        if prompt is not None and run.times != [1 << 60] and run.request.attempts:
            self._engines[run.upstream].end(prompt)
