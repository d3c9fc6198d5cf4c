"""Chooses an upstream for each attempt from health, load, cache contents and eligibility."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Final

from gypsumrouter.contention import Expected
from gypsumrouter.core import Application, Remove
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuation, Evacuations
from gypsumrouter.forwarding.cache_index import CACHE_TTL_MS, CacheIndex
from gypsumrouter.forwarding.candidates import (
    CandidateContext,
    CandidateFactory,
    find_preferred,
)
from gypsumrouter.forwarding.cap_loads import CapLoads
from gypsumrouter.forwarding.const import SOURCE_RESPONSE
from gypsumrouter.forwarding.eligibility import NO_UPSTREAM, Eligibility, PlacementRefusal
from gypsumrouter.forwarding.health import BackoffTracker, HealthTracker
from gypsumrouter.forwarding.load_reports import LoadReports
from gypsumrouter.forwarding.loads import LoadTracker
from gypsumrouter.forwarding.models import Prompt, ResponseMetadata
from gypsumrouter.forwarding.placed import CopySource, Placement, SentRequest
from gypsumrouter.forwarding.placement import (
    Candidate,
    Cap,
    choose,
    choose_plain,
    estimate_first_event,
)
from gypsumrouter.forwarding.plain_admission import PlainAdmission
from gypsumrouter.forwarding.prefill_speed import PrefillSpeed
from gypsumrouter.forwarding.slow_start import SlowStartLimiter
from gypsumrouter.forwarding.uneven_load import UnevenLoad
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.settings import Contention

# For this long after its start a router's view of the engines' prompt caches is incomplete.
COLD_START_MS: Final = 4_000

PlacementListener = Callable[[int, str], None]


class Placer:
    """Chooses an upstream for each attempt."""

    __slots__ = (
        "_app",
        "_by_service",
        "_candidates",
        "_cap",
        "_cap_loads",
        "_directory",
        "_eligibility",
        "_ignored_reports",
        "_keeps_removed",
        "_placement_listeners",
        "_refuses_late",
        "_removed_ms",
        "_spreads_plain",
        "_started_ms",
        "_uses_affinity",
        "_uses_load_reports",
        "backoffs",
        "cache_index",
        "health",
        "load_reports",
        "loads",
        "plain",
        "prefill_speed",
        "slow_start",
        "uneven_load",
    )

    def __init__(
        self,
        *,
        app: Application,
        directory: Directory,
        cap: Cap,
        health: HealthTracker,
        backoffs: BackoffTracker,
        evacuations: Evacuations,
        slow_start: SlowStartLimiter,
        evacuation_ms: int = 0,
        contention: Contention | None = None,
        without: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._app = app
        self._directory = directory
        self._cap = cap
        self._uses_affinity = Mechanism.AFFINITY not in without
        self._eligibility = Eligibility(
            evacuations=evacuations,
            health=health,
            backoffs=backoffs,
            slow_start=slow_start,
            evacuation_ms=evacuation_ms,
            without=without,
        )
        self._keeps_removed = Mechanism.CACHE_RETENTION not in without
        self._by_service: dict[str, dict[str, Entry]] = {}
        # When each incarnation was removed from the directory.
        self._removed_ms: dict[str, int] = {}
        self.health = health
        self.backoffs = backoffs
        self.slow_start = slow_start
        self.prefill_speed = PrefillSpeed()
        self.uneven_load = UnevenLoad(
            contention=contention, without=without, prefill_speed=self.prefill_speed
        )
        self.cache_index = CacheIndex(prompt_spread=self.uneven_load.prompt_spread)
        self._spreads_plain = Mechanism.PLAIN_OWN_LOAD not in without
        self._uses_load_reports = Mechanism.LOAD_REPORTS not in without
        self.load_reports = LoadReports()
        self._ignored_reports = app.metrics.counter(
            "gypsumrouter_load_reports_ignored_total", "Malformed load reports of upstreams"
        )
        self.plain = PlainAdmission(
            count_routers=slow_start.count_routers,
            reports=self.load_reports if self._uses_load_reports else None,
        )
        self._refuses_late = Mechanism.DEADLINE_ADMISSION not in without
        self.loads = LoadTracker(
            prefill_speed=self.prefill_speed,
            engine_speeds=self.uneven_load.engine_speeds,
            extrapolates_prefill=Mechanism.PREFILL_PROGRESS not in without,
        )
        self._cap_loads = CapLoads(loads=self.loads, reports=self.load_reports, without=without)
        self._candidates = CandidateFactory(
            data_centre=app.data_centre,
            directory=directory,
            eligibility=self._eligibility,
            health=health,
            loads=self.loads,
            cache_index=self.cache_index,
            engine_speeds=self.uneven_load.engine_speeds,
            engine_memory=self.uneven_load.engine_memory,
            without=without,
        )
        self._placement_listeners: list[PlacementListener] = []
        self._started_ms = app.clock.now_ms()
        directory.on_change(self._handle_entry)
        evacuations.on_change(self._handle_evacuation)

    def set_bounds(self, cap: Cap, *, evacuation_ms: int) -> None:
        """Replace the load cap and the evacuation bound."""
        self._cap = cap
        self._eligibility.set_evacuation_bound(evacuation_ms)

    def on_placed(self, listener: PlacementListener) -> Remove:
        """Call `listener(part, upstream)` for each shared prompt part sent to an upstream."""
        self._placement_listeners.append(listener)
        return lambda: self._placement_listeners.remove(listener)

    def list_ready(self, service: str) -> Collection[Entry]:
        """Return the upstreams of a service that are ready for new requests."""
        return self._by_service.get(service, {}).values()

    def place(
        self,
        *,
        service: str,
        prompt: Prompt | None,
        excluded: Collection[str],
        limit_ms: int | None = None,
        needed_permits: int = 1,
        version: str | None = None,
    ) -> Placement | PlacementRefusal:
        """Return the best upstream that is not in `excluded`, or why there is none.

        With `version`, only upstreams whose software has that version are considered.

        A plain request (one without a prompt) is refused if its response is expected to take
        longer than `limit_ms`, unless there are `needed_permits`. Without `limit_ms` it is not
        refused for that, and no permit is used.
        """
        now_ms = self._app.clock.now_ms()
        members = self._by_service.get(service)
        if not members:
            return NO_UPSTREAM
        entries = self._eligibility.select(members.values(), excluded=excluded, version=version)
        if isinstance(entries, PlacementRefusal):
            return entries
        loads = self.loads.get_all(members, now_ms=now_ms)
        mean = self._cap_loads.get_mean(loads, now_ms=now_ms)
        peers_age_ms = self.loads.get_oldest_peer_age_ms(now_ms=now_ms)
        shared = () if prompt is None else prompt.shared
        source = self._candidates.find_source(shared, now_ms)
        # Only eligible upstreams are ranked: when the preferred one is lost or evacuated, all
        # routers agree on the next one without communication, and the prompt is prefilled once.
        eligible = [entry.incarnation for entry in entries]
        preferred = find_preferred(eligible, shared) if self._uses_affinity else None
        spread_to = None
        # Until the prompt can be copied from its first engine, others would have to prefill it.
        if preferred is not None and prompt is not None and source is not None:
            spread_to = self.uneven_load.choose_spread(
                eligible, prompt=prompt, mean=mean, cap=self._cap, now_ms=now_ms
            )
            preferred = spread_to or preferred
        context = CandidateContext(
            prompt=prompt,
            preferred=preferred,
            source=source,
            estimate_unreported=lambda upstream, load: self._cap_loads.estimate_unreported(
                upstream, load, peers_age_ms=peers_age_ms, now_ms=now_ms
            ),
            now_ms=now_ms,
            spreads=spread_to is not None,
            memory=self.uneven_load.make_demand(service, prompt),
        )
        candidates = self._candidates.make_all(entries, loads, context)
        chosen = self._choose(service, candidates, prompt, mean, source, now_ms)
        if chosen is None:
            return NO_UPSTREAM
        if prompt is None and limit_ms is not None and self._refuses_late:
            refusal = self.plain.admit(
                service=service,
                entries=entries,
                chosen=chosen,
                limit_ms=limit_ms,
                now_ms=now_ms,
                needed_permits=needed_permits,
            )
            if refusal is not None:
                return refusal
        fetches = source is not None and chosen.fetchable_tokens > 0
        return Placement(
            entry=members[chosen.upstream],
            load=chosen.load,
            mean_load=round(mean, 2),
            missing_tokens=chosen.missing_tokens,
            candidates=len(candidates),
            pending_tokens=chosen.pending_tokens,
            fetch_from=source.entry if fetches and source is not None else None,
            probably_cached=source is None
            and chosen.upstream == preferred
            and self._is_cold_start(now_ms),
        )

    def _choose(
        self,
        service: str,
        candidates: tuple[Candidate, ...],
        prompt: Prompt | None,
        mean: float,
        source: CopySource | None,
        now_ms: int,
    ) -> Candidate | None:
        if prompt is None and self._spreads_plain:
            expected_ms = self.plain.estimate_all(service, candidates, now_ms=now_ms)
            return choose_plain(candidates, cap=self._cap, mean=mean, expected_ms=expected_ms)
        shared = () if prompt is None else prompt.shared
        return choose(
            candidates,
            cap=self._cap,
            mean=mean,
            shared_tokens=sum(part.tokens for part in shared),
            cached=source is not None,
            own_tokens=0 if prompt is None else prompt.own_tokens,
            prefill_tokens_per_ms=self.prefill_speed.tokens_per_ms,
        )

    def estimate(self, placed: Placement, prompt: Prompt | None) -> Expected:
        """Return the expected time of a placed request until the first event or the response."""
        if prompt is None:
            return self.plain.estimate(placed, now_ms=self._app.clock.now_ms())
        own_tokens = prompt.input_tokens - sum(part.tokens for part in prompt.shared)
        fetched_tokens = 0 if placed.fetch_from is None else placed.missing_tokens
        prefill_tokens = own_tokens + placed.missing_tokens - fetched_tokens
        return estimate_first_event(
            load=placed.load,
            slots=placed.entry.slots,
            pending_tokens=placed.pending_tokens,
            prefill_tokens=max(0, prefill_tokens),
            fetched_tokens=fetched_tokens,
            prefill_tokens_per_ms=self.loads.get_tokens_per_ms(
                placed.entry.incarnation, now_ms=self._app.clock.now_ms()
            ),
            base_ms=self.prefill_speed.base_ms,
        )

    def list_eligible(self, service: str) -> tuple[Entry, ...]:
        """Return the upstreams of a service that may receive a request now."""
        entries = self._eligibility.select(self.list_ready(service), excluded=())
        return () if isinstance(entries, PlacementRefusal) else entries

    def is_cached(self, prompt: Prompt) -> bool:
        """Return whether some engine is known to have shared parts of a prompt in its cache."""
        return self._candidates.find_source(prompt.shared, self._app.clock.now_ms()) is not None

    def _is_cold_start(self, now_ms: int) -> bool:
        return now_ms - self._started_ms < COLD_START_MS

    def note_sent(self, placed: Placement, prompt: Prompt | None) -> SentRequest:
        """Record a request that is sent, and the prompt parts that its upstream will cache."""
        upstream = placed.entry.incarnation
        awaited = 0 if self.health.silence is None else self.health.silence.begin(upstream)
        self.slow_start.note_sent(upstream)
        self.load_reports.note_sent(upstream)
        if prompt is None:
            self.loads.begin(upstream, tokens=0)
            return SentRequest(upstream=upstream, tokens=0, new_parts=(), awaited=awaited)
        now_ms = self._app.clock.now_ms()
        tokens = self.cache_index.missing_tokens(
            parts=prompt.parts, upstream=upstream, now_ms=now_ms
        )
        if placed.fetch_from is not None or placed.probably_cached:
            tokens = max(0, tokens - placed.missing_tokens)
        new_parts = tuple(
            part.part
            for part in prompt.parts
            if self.cache_index.note(part=part.part, upstream=upstream, now_ms=now_ms)
        )
        for part in prompt.shared:
            for listener in self._placement_listeners:
                listener(part.part, upstream)
        self.loads.begin(upstream, tokens=tokens)
        held = self.uneven_load.note_sent(upstream, service=placed.entry.service, prompt=prompt)
        return SentRequest(
            upstream=upstream,
            tokens=tokens,
            new_parts=new_parts,
            sent_ms=now_ms,
            uncontended=placed.pending_tokens == 0 and placed.fetch_from is None,
            awaited=awaited,
            held=held,
            shared_part=prompt.shared[-1].part if prompt.shared else None,
        )

    def apply_response_metadata(self, entry: Entry, metadata: ResponseMetadata) -> None:
        """Apply the load, the back-off and the shutdown that an upstream announced in a response.

        Any response also ends the upstream's silence. The directory may be unavailable: if the
        announcement did not count, an upstream that shuts down would get new requests until it has
        stopped.
        """
        if metadata.retry_after_ms is not None:
            self.backoffs.note(entry.incarnation, backoff_ms=metadata.retry_after_ms)
        if self.health.silence is not None:
            self.health.silence.note_response(entry.incarnation)
        if self._uses_load_reports:
            self._apply_load_report(entry, metadata)
        if metadata.draining:
            self._directory.note_leaving(entry.incarnation, source=SOURCE_RESPONSE)

    def _apply_load_report(self, entry: Entry, metadata: ResponseMetadata) -> None:
        if metadata.load is not None:
            self.load_reports.note(
                entry.incarnation, metadata.load, now_ms=self._app.clock.now_ms()
            )
        elif metadata.reports_load:
            self._ignored_reports.inc()

    def note_unreachable(self, entry: Entry, *, reason: str, refused: bool) -> None:
        """Record a failed connection attempt; `refused` if the host actively refused it."""
        self.health.note_unreachable(entry.incarnation, reason=reason, refused=refused)
        if refused:
            self.slow_start.note_refused(entry)

    def apply_peer_refusals(self, upstreams: Iterable[str]) -> None:
        """Record upstreams that recently refused connections of peer routers."""
        self.health.apply_peer_refusals(upstreams)
        for upstream in upstreams:
            entry = self._directory.get_incarnation(upstream)
            if entry is not None and entry.state is not EntryState.GONE:
                self.slow_start.note_refused(entry)

    def note_cached(self, *, part: int, upstream: str) -> None:
        """Record a prompt part that an upstream reports as cached."""
        self.cache_index.note_cached(part=part, upstream=upstream, now_ms=self._app.clock.now_ms())

    def note_prefilled(self, sent: SentRequest) -> None:
        """Record that a response has begun, or that the attempt ended without one.

        In both cases the prompt is no longer waiting for prefill, and the upstream is not silent.
        """
        self.loads.note_prefilled(sent.upstream, tokens=sent.tokens)
        self._end_silence(sent)

    def note_first_event(self, sent: SentRequest) -> None:
        """Update the prefill speed from the time to the first event of a response."""
        if not sent.uncontended:
            return
        now_ms = self._app.clock.now_ms()
        first_event_ms = now_ms - sent.sent_ms
        self.prefill_speed.note(tokens=sent.tokens, first_event_ms=first_event_ms)
        self.uneven_load.note_first_event(sent, first_event_ms=first_event_ms, now_ms=now_ms)

    def note_ended(self, sent: SentRequest, *, held_ms: int) -> None:
        """Record that an attempt has ended, and how long it counted as running."""
        self.loads.end(sent.upstream)
        self._end_silence(sent)
        self.loads.note_held(sent.upstream, held_ms=held_ms)
        self.uneven_load.note_ended(sent, held_ms=held_ms)

    def _end_silence(self, sent: SentRequest) -> None:
        if self.health.silence is not None:
            self.health.silence.end(sent.upstream, sent.awaited)

    def note_not_run(self, sent: SentRequest) -> None:
        """Undo the cache entries recorded for a request that its upstream did not run."""
        for part in sent.new_parts:
            self.cache_index.forget(part=part, upstream=sent.upstream)

    def sweep(self) -> None:
        """Drop expired state; call this about once a second.

        The cache contents of a removed upstream are kept for a while: its directory entry may have
        expired because heartbeats were lost, and the prompts it caches would be prefilled again.
        """
        self.slow_start.sweep()
        self.backoffs.sweep()
        now_ms = self._app.clock.now_ms()
        self.uneven_load.sweep(now_ms=now_ms)
        for incarnation, removed_ms in tuple(self._removed_ms.items()):
            if now_ms - removed_ms >= CACHE_TTL_MS:
                del self._removed_ms[incarnation]
                self.cache_index.forget_upstream(incarnation)

    def _handle_evacuation(self, evacuation: Evacuation) -> None:
        if evacuation.active:
            return
        for members in self._by_service.values():
            for entry in members.values():
                if entry.data_centre == evacuation.data_centre:
                    self.slow_start.note_evacuation_ended(entry)

    def _handle_entry(self, entry: Entry) -> None:
        self.slow_start.update_entry(entry)
        for members in self._by_service.values():
            members.pop(entry.incarnation, None)
        if entry.state is EntryState.READY:
            self._by_service.setdefault(entry.service, {})[entry.incarnation] = entry
        if entry.state is EntryState.GONE:
            if self._keeps_removed:
                self._removed_ms[entry.incarnation] = self._app.clock.now_ms()
            else:
                self.cache_index.forget_upstream(entry.incarnation)
            self.health.forget(entry.incarnation)
            self.plain.forget(entry.incarnation)
            self.loads.forget(entry.incarnation)
            self.load_reports.forget(entry.incarnation)
            self.uneven_load.forget(entry.incarnation)
        else:
            self._removed_ms.pop(entry.incarnation, None)
