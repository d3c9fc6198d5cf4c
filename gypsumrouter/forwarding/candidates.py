"""Makes the candidates of a placement from the state of the upstreams and their caches."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

import xxhash
from msgspec import Struct

from gypsumrouter.directory import Directory, Entry, EntryState
from gypsumrouter.forwarding.cache_index import CacheIndex
from gypsumrouter.forwarding.eligibility import Eligibility
from gypsumrouter.forwarding.engine_memory import EngineMemory, MemoryDemand
from gypsumrouter.forwarding.engine_speed import EngineSpeeds
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.forwarding.loads import LoadTracker, UpstreamLoad
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.placed import CopySource
from gypsumrouter.forwarding.placement import MIN_FETCH_TOKENS, Candidate, choose_by_affinity
from gypsumrouter.mechanisms import Mechanism


class CandidateContext(Struct, frozen=True, kw_only=True):
    """What the candidates of one request have in common.

    `preferred` is the first upstream of the prompt's rendezvous order, `source` the upstream from
    which its shared parts can be copied. `estimate_unreported` returns the requests at an upstream
    that its counted load is likely to miss. `memory` is set if the engines' memory is known.
    `spreads` is set if the prompt is spread over several engines, of which `preferred` is one.
    """

    prompt: Prompt | None
    preferred: str | None
    source: CopySource | None
    estimate_unreported: Callable[[str, UpstreamLoad], float]
    now_ms: int
    memory: MemoryDemand | None = None
    spreads: bool = False

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts of the prompt that other requests may share."""
        return () if self.prompt is None else self.prompt.shared


class CandidateFactory:
    """Makes candidates, and finds the upstream from which a prompt can be copied."""

    __slots__ = (
        "_allows_copies",
        "_cache_index",
        "_data_centre",
        "_directory",
        "_eligibility",
        "_engine_memory",
        "_engine_speeds",
        "_health",
        "_loads",
        "_prefers_local",
        "_weighs_health",
    )

    def __init__(
        self,
        *,
        data_centre: str,
        directory: Directory,
        eligibility: Eligibility,
        health: HealthTracker,
        loads: LoadTracker,
        cache_index: CacheIndex,
        engine_speeds: EngineSpeeds | None,
        engine_memory: EngineMemory | None,
        without: frozenset[Mechanism],
    ) -> None:
        self._data_centre = data_centre
        self._directory = directory
        self._eligibility = eligibility
        self._health = health
        self._loads = loads
        self._cache_index = cache_index
        self._engine_speeds = engine_speeds
        self._engine_memory = engine_memory
        self._allows_copies = Mechanism.CACHE_TRANSFER not in without
        self._prefers_local = Mechanism.LOCALITY not in without
        self._weighs_health = Mechanism.HEALTH not in without

    def make_all(
        self,
        entries: Iterable[Entry],
        loads: Mapping[str, UpstreamLoad],
        context: CandidateContext,
    ) -> tuple[Candidate, ...]:
        """Return the candidates of a request for the upstreams that may receive it."""
        shared = context.shared
        return tuple(
            self._make(entry, loads[entry.incarnation], shared, context) for entry in entries
        )

    def _make(
        self,
        entry: Entry,
        load: UpstreamLoad,
        shared: tuple[PromptPart, ...],
        context: CandidateContext,
    ) -> Candidate:
        upstream = entry.incarnation
        source = context.source
        own_load = self._loads.get_own_running(upstream)
        missing = self._cache_index.missing_tokens(
            parts=shared, upstream=upstream, now_ms=context.now_ms
        )
        fetchable = 0 if source is None else missing - source.missing_tokens
        return Candidate(
            upstream=upstream,
            load=load.running,
            slots=entry.slots,
            own_load=own_load,
            same_data_centre=not self._prefers_local or entry.data_centre == self._data_centre,
            pending_tokens=load.pending_tokens,
            missing_tokens=missing,
            fetchable_tokens=(
                fetchable if self._allows_copies and fetchable >= MIN_FETCH_TOKENS else 0
            ),
            off_affinity=context.preferred is not None and upstream != context.preferred,
            penalty_ms=self._get_penalty_ms(entry, plain=not shared),
            unreported=context.estimate_unreported(upstream, load),
            copies_ahead=context.spreads and upstream == context.preferred,
            slowness=(
                1.0
                if self._engine_speeds is None
                else self._engine_speeds.get_slowness(upstream, now_ms=context.now_ms)
            ),
            overcommitted_tokens=(
                0
                if self._engine_memory is None or context.memory is None
                else self._engine_memory.estimate_excess(
                    upstream,
                    context.memory,
                    peer_running=load.running - own_load,
                    cached_tokens=context.memory.shared_tokens - missing,
                )
            ),
        )

    def _get_penalty_ms(self, entry: Entry, *, plain: bool) -> float:
        if not self._weighs_health:
            return 0.0
        return self._health.penalty_ms(entry.incarnation, plain=plain)

    def find_source(self, shared: tuple[PromptPart, ...], now_ms: int) -> CopySource | None:
        """Return the reachable upstream with the most tokens of the shared parts in its cache."""
        best: CopySource | None = None
        for part in reversed(shared):
            for upstream in self._cache_index.list_copy_sources(part.part, now_ms=now_ms):
                entry = self._directory.get_incarnation(upstream)
                if entry is None or entry.state is EntryState.GONE:
                    continue
                if not self._eligibility.may_copy_from(entry):
                    continue
                if self._health.is_down(upstream):
                    continue
                missing = self._cache_index.missing_tokens(
                    parts=shared, upstream=upstream, now_ms=now_ms
                )
                if best is None or missing < best.missing_tokens:
                    best = CopySource(entry=entry, missing_tokens=missing)
            if best is not None:
                return best
        return None


def make_affinity(shared: tuple[PromptPart, ...]) -> int:
    """Return the key of a prompt's rendezvous order, from its last shared part."""
    return xxhash.xxh3_64_intdigest(shared[-1].part.to_bytes(8, "little"))


def find_preferred(members: Collection[str], shared: tuple[PromptPart, ...]) -> str | None:
    """Return the first upstream of a prompt's rendezvous order; None without shared parts."""
    if not shared or not members:
        return None
    return choose_by_affinity(members, affinity=make_affinity(shared))
