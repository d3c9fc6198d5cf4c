"""Gathers what is known of a service's upstreams and chooses one of them."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

import xxhash

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState
from gypsumrouter.forwarding.health import HealthBook
from gypsumrouter.forwarding.holdings import Holdings
from gypsumrouter.forwarding.loads import LoadBook
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.placement import Candidate, Cap, choose, order_by_affinity


@dataclass(slots=True, kw_only=True, frozen=True)
class Placed:
    """The chosen upstream and the inputs that decided it."""

    entry: Entry
    load: int
    mean_load: float
    missing_tokens: int
    candidates: int


class Placer:
    """Chooses an upstream for each attempt."""

    __slots__ = ("_app", "_by_service", "_cap", "_directory", "health", "holdings", "loads")

    def __init__(
        self, *, app: Application, directory: Directory, cap: Cap, health: HealthBook
    ) -> None:
        self._app = app
        self._directory = directory
        self._cap = cap
        self._by_service: dict[str, dict[str, Entry]] = {}
        self.health = health
        self.holdings = Holdings()
        self.loads = LoadBook()
        directory.on_change(self._take_entry)

    def members(self, service: str) -> Collection[Entry]:
        """Return the upstreams of a service that take new work."""
        return self._by_service.get(service, {}).values()

    def place(
        self, *, service: str, prompt: Prompt | None, passed_over: Collection[str]
    ) -> Placed | None:
        """Return the best upstream but those passed over; None where there is no other."""
        now_ms = self._app.clock.now_ms()
        members = self._by_service.get(service)
        if not members:
            return None
        mean = self.loads.mean(members, now_ms=now_ms)
        entries = [entry for name, entry in members.items() if name not in passed_over]
        reachable = [entry for entry in entries if not self.health.is_down(entry.upstream)]
        entries = reachable or entries
        shared = () if prompt is None else prompt.shared
        first = _first_in_order(members, shared)
        candidates = {
            entry.upstream: self._describe(entry, shared, first, now_ms) for entry in entries
        }
        chosen = choose(
            tuple(candidates.values()),
            cap=self._cap,
            mean=mean,
            shared_tokens=sum(part.tokens for part in shared),
        )
        if chosen is None:
            return None
        return Placed(
            entry=members[chosen.upstream],
            load=chosen.load,
            mean_load=round(mean, 2),
            missing_tokens=chosen.missing_tokens,
            candidates=len(candidates),
        )

    def note_sent(self, entry: Entry, prompt: Prompt | None) -> int:
        """Count a request that is sent; return the prompt tokens that it has to read there."""
        tokens = 0
        if prompt is not None:
            now_ms = self._app.clock.now_ms()
            tokens = self.holdings.missing_tokens(
                parts=prompt.parts, upstream=entry.upstream, now_ms=now_ms
            )
            for part in prompt.parts:
                self.holdings.note(part=part.part, upstream=entry.upstream, now_ms=now_ms)
        self.loads.begin(entry.upstream, tokens=tokens)
        return tokens

    def _describe(
        self, entry: Entry, shared: tuple[PromptPart, ...], first: str | None, now_ms: int
    ) -> Candidate:
        load = self.loads.get(entry.upstream, now_ms=now_ms)
        missing = self.holdings.missing_tokens(parts=shared, upstream=entry.upstream, now_ms=now_ms)
        return Candidate(
            upstream=entry.upstream,
            load=load.running,
            slots=entry.slots,
            near=entry.data_centre == self._app.data_centre,
            pending_tokens=load.pending_tokens,
            missing_tokens=missing,
            stranger=first is not None and entry.upstream != first,
            penalty_ms=self.health.penalty_ms(entry.upstream),
        )

    def _take_entry(self, entry: Entry) -> None:
        if entry.state is EntryState.READY:
            self._by_service.setdefault(entry.service, {})[entry.upstream] = entry
            return
        for members in self._by_service.values():
            members.pop(entry.upstream, None)
        if entry.state is EntryState.GONE:
            self.holdings.forget_upstream(entry.upstream)
            self.health.forget(entry.upstream)


def _first_in_order(members: Collection[str], shared: tuple[PromptPart, ...]) -> str | None:
    if not shared:
        return None
    affinity = xxhash.xxh3_64_intdigest(shared[-1].part.to_bytes(16, "little"))
    return order_by_affinity(tuple(members), affinity=affinity)[0]
