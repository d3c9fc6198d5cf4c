"""Gathers what is known of a service's upstreams and chooses one of them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Final

import xxhash

from gypsumrouter.core import Application, Remove
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuation, Evacuations
from gypsumrouter.forwarding.const import SOURCE_RESPONSE
from gypsumrouter.forwarding.eligibility import NOTHING_LEFT, Eligibility, NoPlace
from gypsumrouter.forwarding.health import HealthBook
from gypsumrouter.forwarding.holdings import HELD_MS, Holdings
from gypsumrouter.forwarding.loads import LoadBook, UpstreamLoad, get_mean
from gypsumrouter.forwarding.models import Prompt, PromptPart, ResponseMetadata
from gypsumrouter.forwarding.placed import Placed, Sent, Source
from gypsumrouter.forwarding.placement import (
    MIN_FETCH_TOKENS,
    Candidate,
    Cap,
    choose,
    choose_by_affinity,
    choose_plain,
)
from gypsumrouter.forwarding.plain_admission import PlainAdmission
from gypsumrouter.forwarding.reading import ReadingSpeed
from gypsumrouter.forwarding.rests import RestBook
from gypsumrouter.forwarding.slow_start import SlowStartBook
from gypsumrouter.mechanisms import Mechanism

# How long a router that has started knows too little of what engines hold.
YOUNG_MS: Final = 4_000

PlacedListener = Callable[[int, str], None]


class Placer:
    """Chooses an upstream for each attempt."""

    __slots__ = (
        "_app",
        "_believe_lapsed",
        "_by_service",
        "_cap",
        "_copies",
        "_directory",
        "_eligibility",
        "_ended_ms",
        "_near_first",
        "_placed_listeners",
        "_refuses_hopeless",
        "_spreads_plain",
        "_stable_order",
        "_started_ms",
        "_weigh_health",
        "health",
        "holdings",
        "loads",
        "plain",
        "reading",
        "rests",
        "slow_start",
    )

    def __init__(
        self,
        *,
        app: Application,
        directory: Directory,
        cap: Cap,
        health: HealthBook,
        rests: RestBook,
        evacuations: Evacuations,
        slow_start: SlowStartBook,
        evacuation_ms: int = 0,
        without: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._app = app
        self._directory = directory
        self._cap = cap
        self._copies = Mechanism.COPIES not in without
        self._stable_order = Mechanism.STABLE_ORDER not in without
        self._near_first = Mechanism.NEAR_FIRST not in without
        self._eligibility = Eligibility(
            evacuations=evacuations,
            health=health,
            rests=rests,
            slow_start=slow_start,
            evacuation_ms=evacuation_ms,
            without=without,
        )
        self._weigh_health = Mechanism.HEALTH not in without
        self._believe_lapsed = Mechanism.LAPSED_BELIEFS not in without
        self._by_service: dict[str, dict[str, Entry]] = {}
        # Incarnations that ended, and when.
        self._ended_ms: dict[str, int] = {}
        self.health = health
        self.rests = rests
        self.slow_start = slow_start
        self.holdings = Holdings()
        self.reading = ReadingSpeed()
        self.plain = PlainAdmission(count_routers=slow_start.count_routers)
        self._spreads_plain = Mechanism.PLAIN_SPREAD not in without
        self._refuses_hopeless = Mechanism.HOPELESS_REFUSED not in without
        self.loads = LoadBook(reading=self.reading, reads_on=Mechanism.READING_ON not in without)
        self._placed_listeners: list[PlacedListener] = []
        self._started_ms = app.clock.now_ms()
        directory.on_change(self._take_entry)
        evacuations.on_change(self._take_evacuation)

    def take_bounds(self, cap: Cap, *, evacuation_ms: int) -> None:
        """Keep another cap and another bound on evacuations from now on."""
        self._cap = cap
        self._eligibility.take_evacuation_bound(evacuation_ms)

    def on_placed(self, listener: PlacedListener) -> Remove:
        """Call `listener` with each shared part that is sent to an upstream, and the upstream."""
        self._placed_listeners.append(listener)
        return lambda: self._placed_listeners.remove(listener)

    def members(self, service: str) -> Collection[Entry]:
        """Return the upstreams of a service that take new work."""
        return self._by_service.get(service, {}).values()

    def place(
        self,
        *,
        service: str,
        prompt: Prompt | None,
        passed_over: Collection[str],
        limit_ms: int | None = None,
    ) -> Placed | NoPlace:
        """Return the best upstream but those passed over, or why there is none.

        A plain request is not taken where its answer is expected later than in `limit_ms`.
        """
        now_ms = self._app.clock.now_ms()
        members = self._by_service.get(service)
        if not members:
            return NOTHING_LEFT
        entries = self._eligibility.select(members.values(), passed_over=passed_over)
        if isinstance(entries, NoPlace):
            return entries
        loads = self.loads.get_all(members, now_ms=now_ms)
        mean = get_mean(loads)
        shared = () if prompt is None else prompt.shared
        source = self._find_source(shared, now_ms)
        # Among those that may get it: where the first one is lost or evacuated, routers that hear
        # nothing of each other agree on the next one, and a prompt is read in one place.
        eligible = [entry.incarnation for entry in entries]
        first = _first_in_order(eligible, shared) if self._stable_order else None
        candidates = {
            entry.incarnation: self._describe(
                entry, loads[entry.incarnation], shared, first, source, now_ms
            )
            for entry in entries
        }
        chosen = self._choose(tuple(candidates.values()), prompt, mean, source)
        if chosen is None:
            return NOTHING_LEFT
        if prompt is None and limit_ms is not None and self._refuses_hopeless:
            refusal = self.plain.admit(
                service=service, entries=entries, chosen=chosen, limit_ms=limit_ms, now_ms=now_ms
            )
            if refusal is not None:
                return refusal
        fetches = source is not None and chosen.fetchable_tokens > 0
        return Placed(
            entry=members[chosen.upstream],
            load=chosen.load,
            mean_load=round(mean, 2),
            missing_tokens=chosen.missing_tokens,
            candidates=len(candidates),
            pending_tokens=chosen.pending_tokens,
            fetch_from=source.entry if fetches and source is not None else None,
            probably_held=source is None and chosen.upstream == first and self._is_young(now_ms),
        )

    def _choose(
        self,
        candidates: tuple[Candidate, ...],
        prompt: Prompt | None,
        mean: float,
        source: Source | None,
    ) -> Candidate | None:
        if prompt is None and self._spreads_plain:
            return choose_plain(candidates, cap=self._cap, mean=mean)
        shared = () if prompt is None else prompt.shared
        return choose(
            candidates,
            cap=self._cap,
            mean=mean,
            shared_tokens=sum(part.tokens for part in shared),
            known=source is not None,
            read_tokens_per_ms=self.reading.tokens_per_ms,
        )

    def knows(self, prompt: Prompt) -> bool:
        """Return whether an engine is known that holds a prompt's shared parts."""
        return self._find_source(prompt.shared, self._app.clock.now_ms()) is not None

    def _is_young(self, now_ms: int) -> bool:
        return now_ms - self._started_ms < YOUNG_MS

    def note_sent(self, placed: Placed, prompt: Prompt | None) -> Sent:
        """Count a request that is sent, and what its upstream will hold of its prompt."""
        upstream = placed.entry.incarnation
        self.slow_start.note_sent(upstream)
        if prompt is None:
            self.loads.begin(upstream, tokens=0)
            return Sent(upstream=upstream, tokens=0, new_parts=())
        now_ms = self._app.clock.now_ms()
        tokens = self.holdings.missing_tokens(parts=prompt.parts, upstream=upstream, now_ms=now_ms)
        if placed.fetch_from is not None or placed.probably_held:
            tokens = max(0, tokens - placed.missing_tokens)
        new_parts = tuple(
            part.part
            for part in prompt.parts
            if self.holdings.note(part=part.part, upstream=upstream, now_ms=now_ms)
        )
        for part in prompt.shared:
            for listener in self._placed_listeners:
                listener(part.part, upstream)
        self.loads.begin(upstream, tokens=tokens)
        return Sent(
            upstream=upstream,
            tokens=tokens,
            new_parts=new_parts,
            sent_ms=now_ms,
            alone=placed.pending_tokens == 0 and placed.fetch_from is None,
        )

    def take_words(self, entry: Entry, facts: ResponseMetadata) -> None:
        """Take what an upstream says of itself in an answer.

        The list may be away for long: without this, an upstream gets new work until it has ended.
        """
        if facts.retry_after_ms is not None:
            self.rests.note(entry.incarnation, rest_ms=facts.retry_after_ms)
        if facts.draining:
            self._directory.note_leaving(entry.incarnation, source=SOURCE_RESPONSE)

    def note_unreachable(self, entry: Entry, *, reason: str, refused: bool) -> None:
        """Note that no connection could be made; `refused` where its machine said so itself."""
        self.health.note_unreachable(entry.incarnation, reason=reason, refused=refused)
        if refused:
            self.slow_start.note_refused(entry)

    def take_refused(self, upstreams: Iterable[str]) -> None:
        """Take which upstreams refused connections of peers a moment ago."""
        self.health.take_refused(upstreams)
        for upstream in upstreams:
            entry = self._directory.get_incarnation(upstream)
            if entry is not None and entry.state is not EntryState.GONE:
                self.slow_start.note_refused(entry)

    def note_held(self, *, part: int, upstream: str) -> None:
        """Note a part that an upstream says it holds."""
        self.holdings.note_held(part=part, upstream=upstream, now_ms=self._app.clock.now_ms())

    def note_ended(self, sent: Sent) -> None:
        """Note that nothing of a prompt is to be read any more."""
        self.loads.note_read(sent.upstream, tokens=sent.tokens)

    def note_first_event(self, sent: Sent) -> None:
        """Note that an answer began, which shows how fast the prompt was read."""
        if sent.alone:
            first_event_ms = self._app.clock.now_ms() - sent.sent_ms
            self.reading.note(tokens=sent.tokens, first_event_ms=first_event_ms)

    def note_not_run(self, sent: Sent) -> None:
        """Take back what was noted of a request that its upstream never ran."""
        for part in sent.new_parts:
            self.holdings.forget(part=part, upstream=sent.upstream)

    def sweep(self) -> None:
        """Forget what upstreams held that ended long ago; call it about once a second.

        An entry may lapse while its upstream lives on, as where its heartbeats are lost on the way;
        forgotten at once, its prompts would be read again after each lapse.
        """
        self.slow_start.sweep()
        self.rests.sweep()
        now_ms = self._app.clock.now_ms()
        for incarnation, ended_ms in tuple(self._ended_ms.items()):
            if now_ms - ended_ms >= HELD_MS:
                del self._ended_ms[incarnation]
                self.holdings.forget_upstream(incarnation)

    def _find_source(self, shared: tuple[PromptPart, ...], now_ms: int) -> Source | None:
        """Return the reachable upstream that holds most of the shared parts."""
        best: Source | None = None
        for part in reversed(shared):
            for upstream in self.holdings.readers(part.part, now_ms=now_ms):
                entry = self._directory.get_incarnation(upstream)
                if entry is None or entry.state is EntryState.GONE:
                    continue
                if not self._eligibility.may_copy_from(entry):
                    continue
                if self.health.is_down(upstream):
                    continue
                missing = self.holdings.missing_tokens(
                    parts=shared, upstream=upstream, now_ms=now_ms
                )
                if best is None or missing < best.missing_tokens:
                    best = Source(entry=entry, missing_tokens=missing)
            if best is not None:
                return best
        return None

    def _describe(
        self,
        entry: Entry,
        load: UpstreamLoad,
        shared: tuple[PromptPart, ...],
        first: str | None,
        source: Source | None,
        now_ms: int,
    ) -> Candidate:
        missing = self.holdings.missing_tokens(
            parts=shared, upstream=entry.incarnation, now_ms=now_ms
        )
        fetchable = 0 if source is None else missing - source.missing_tokens
        return Candidate(
            upstream=entry.incarnation,
            load=load.running,
            slots=entry.slots,
            own_load=self.loads.get_own(entry.incarnation),
            near=not self._near_first or entry.data_centre == self._app.data_centre,
            pending_tokens=load.pending_tokens,
            missing_tokens=missing,
            fetchable_tokens=fetchable if self._copies and fetchable >= MIN_FETCH_TOKENS else 0,
            stranger=first is not None and entry.incarnation != first,
            penalty_ms=self._get_penalty_ms(entry, plain=not shared),
        )

    def _get_penalty_ms(self, entry: Entry, *, plain: bool) -> float:
        if not self._weigh_health:
            return 0.0
        return self.health.penalty_ms(entry.incarnation, plain=plain)

    def _take_evacuation(self, evacuation: Evacuation) -> None:
        if evacuation.active:
            return
        for members in self._by_service.values():
            for entry in members.values():
                if entry.data_centre == evacuation.data_centre:
                    self.slow_start.note_reopened(entry)

    def _take_entry(self, entry: Entry) -> None:
        self.slow_start.take_entry(entry)
        for members in self._by_service.values():
            members.pop(entry.incarnation, None)
        if entry.state is EntryState.READY:
            self._by_service.setdefault(entry.service, {})[entry.incarnation] = entry
        if entry.state is EntryState.GONE:
            if self._believe_lapsed:
                self._ended_ms[entry.incarnation] = self._app.clock.now_ms()
            else:
                self.holdings.forget_upstream(entry.incarnation)
            self.health.forget(entry.incarnation)
            self.plain.forget(entry.incarnation)
        else:
            self._ended_ms.pop(entry.incarnation, None)


def _first_in_order(members: Collection[str], shared: tuple[PromptPart, ...]) -> str | None:
    if not shared or not members:
        return None
    affinity = xxhash.xxh3_64_intdigest(shared[-1].part.to_bytes(8, "little"))
    return choose_by_affinity(members, affinity=affinity)
