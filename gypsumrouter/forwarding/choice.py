"""Chooses the upstream of a request from health, load, cache contents and eligibility."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from gypsumrouter.contention import Expected
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry
from gypsumrouter.forwarding.candidates import (
    CandidateContext,
    CandidateFactory,
    find_preferred,
)
from gypsumrouter.forwarding.cap_loads import CapLoads
from gypsumrouter.forwarding.eligibility import NO_UPSTREAM, Eligibility, PlacementRefusal
from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.placed import CopySource, Placement
from gypsumrouter.forwarding.placement import (
    Candidate,
    Cap,
    choose,
    choose_plain,
    estimate_first_event,
)
from gypsumrouter.forwarding.trackers import UpstreamTrackers
from gypsumrouter.mechanisms import Mechanism

# For this long after its start a router's view of the engines' prompt caches is incomplete.
COLD_START_MS: Final = 4_000


class UpstreamChooser:
    """Chooses the upstream of a request among the ready ones of its service."""

    __slots__ = (
        "_candidates",
        "_cap",
        "_cap_loads",
        "_clock",
        "_eligibility",
        "_refuses_late",
        "_spreads_plain",
        "_started_ms",
        "_trackers",
        "_uses_affinity",
    )

    def __init__(
        self,
        *,
        app: Application,
        directory: Directory,
        cap: Cap,
        eligibility: Eligibility,
        trackers: UpstreamTrackers,
        without: frozenset[Mechanism],
    ) -> None:
        self._clock = app.clock
        self._cap = cap
        self._eligibility = eligibility
        self._trackers = trackers
        self._uses_affinity = Mechanism.AFFINITY not in without
        self._spreads_plain = Mechanism.PLAIN_OWN_LOAD not in without
        self._refuses_late = Mechanism.DEADLINE_ADMISSION not in without
        self._cap_loads = CapLoads(
            loads=trackers.loads, reports=trackers.load_reports, without=without
        )
        self._candidates = CandidateFactory(
            data_centre=app.data_centre,
            directory=directory,
            eligibility=eligibility,
            health=trackers.health,
            loads=trackers.loads,
            cache_index=trackers.cache_index,
            engine_speeds=trackers.uneven_load.engine_speeds,
            engine_memory=trackers.uneven_load.engine_memory,
            without=without,
        )
        self._started_ms = app.clock.now_ms()

    def set_bounds(self, cap: Cap, *, evacuation_ms: int) -> None:
        """Replace the load cap and the evacuation bound."""
        self._cap = cap
        self._eligibility.set_evacuation_bound(evacuation_ms)

    def choose(
        self,
        members: Mapping[str, Entry],
        *,
        service: str,
        prompt: Prompt | None,
        excluded: Collection[str],
        limit_ms: int | None,
        needed_permits: int,
        version: str | None,
    ) -> Placement | PlacementRefusal:
        """Return the best one of `members` that is not in `excluded`, or why there is none."""
        now_ms = self._clock.now_ms()
        if not members:
            return NO_UPSTREAM
        entries = self._eligibility.select(members.values(), excluded=excluded, version=version)
        if isinstance(entries, PlacementRefusal):
            return entries
        trackers = self._trackers
        loads = trackers.loads.get_all(members, now_ms=now_ms)
        mean = self._cap_loads.get_mean(loads, now_ms=now_ms)
        peers_age_ms = trackers.loads.get_oldest_peer_age_ms(now_ms=now_ms)
        shared = () if prompt is None else prompt.shared
        source = self._candidates.find_source(shared, now_ms)
        # Only eligible upstreams are ranked: when the preferred one is lost or evacuated, all
        # routers agree on the next one without communication, and the prompt is prefilled once.
        eligible = [entry.incarnation for entry in entries]
        preferred = find_preferred(eligible, shared) if self._uses_affinity else None
        spread_to = None
        # Until the prompt can be copied from its first engine, others would have to prefill it.
        if preferred is not None and prompt is not None and source is not None:
            spread_to = trackers.uneven_load.choose_spread(
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
            memory=trackers.uneven_load.make_demand(service, prompt),
        )
        candidates = self._candidates.make_all(entries, loads, context)
        chosen = self._choose(service, candidates, prompt, mean, source, now_ms)
        if chosen is None:
            return NO_UPSTREAM
        if prompt is None and limit_ms is not None and self._refuses_late:
            refusal = trackers.plain.admit(
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
            expected_ms = self._trackers.plain.estimate_all(service, candidates, now_ms=now_ms)
            return choose_plain(candidates, cap=self._cap, mean=mean, expected_ms=expected_ms)
        shared = () if prompt is None else prompt.shared
        return choose(
            candidates,
            cap=self._cap,
            mean=mean,
            shared_tokens=sum(part.tokens for part in shared),
            cached=source is not None,
            own_tokens=0 if prompt is None else prompt.own_tokens,
            prefill_tokens_per_ms=self._trackers.prefill_speed.tokens_per_ms,
        )

    def _is_cold_start(self, now_ms: int) -> bool:
        return now_ms - self._started_ms < COLD_START_MS

    def estimate(self, placed: Placement, prompt: Prompt | None) -> Expected:
        """Return the expected time of a placed request until the first event or the response."""
        now_ms = self._clock.now_ms()
        if prompt is None:
            return self._trackers.plain.estimate(placed, now_ms=now_ms)
        own_tokens = prompt.input_tokens - sum(part.tokens for part in prompt.shared)
        fetched_tokens = 0 if placed.fetch_from is None else placed.missing_tokens
        prefill_tokens = own_tokens + placed.missing_tokens - fetched_tokens
        return estimate_first_event(
            load=placed.load,
            slots=placed.entry.slots,
            pending_tokens=placed.pending_tokens,
            prefill_tokens=max(0, prefill_tokens),
            fetched_tokens=fetched_tokens,
            prefill_tokens_per_ms=self._trackers.loads.get_tokens_per_ms(
                placed.entry.incarnation, now_ms=now_ms
            ),
            base_ms=self._trackers.prefill_speed.base_ms,
        )

    def select_eligible(self, entries: Collection[Entry]) -> tuple[Entry, ...]:
        """Return the upstreams that may receive a request now."""
        selected = self._eligibility.select(entries, excluded=())
        return () if isinstance(selected, PlacementRefusal) else selected

    def is_cached(self, prompt: Prompt) -> bool:
        """Return whether some engine is known to have shared parts of a prompt in its cache."""
        return self._candidates.find_source(prompt.shared, self._clock.now_ms()) is not None
