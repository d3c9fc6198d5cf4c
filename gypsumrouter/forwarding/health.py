"""How far an upstream is trusted, judged by its answers and not by its health check.

Answers this load: upstreams that fail, reset or swallow a share of their requests while their
health check is good, and upstreams that vanish without a word. All of them may fail alike; then
their order stays as it was. Thirty routers see a thirtieth of the answers each; they tell each
other what they saw, so that not each of them has to lose requests at the same upstream.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from gypsumrouter.journal import Journal, UpstreamHealth
from gypsumrouter.util.clock import Clock

# Evidence halves in this time: an upstream that failed two of four requests is tried again with
# few requests after about six seconds.
HALF_LIFE_MS: Final = 2_500
# What a certain failure costs, in the engine's time that placement weighs: a lost stream is worth
# reading some 7,000 tokens, 90 ms; the double of it, since one failure announces others. With
# 1,500 ms a single failure moved an engine's prompts away, by copies, for 15 s.
FAILURE_MS: Final = 200.0
# Before this much evidence an upstream counts as sound in part.
PRIOR: Final = 2.0
UNHEALTHY_SHARE: Final = 0.25
# An upstream that takes no connection is left alone for this long, doubled with each further try.
DOWN_FIRST_MS: Final = 300
DOWN_MAX_MS: Final = 2_000


# What one peer saw counts for at most this many answers: one whose own way to an upstream is cut
# must not turn all others away from it. With thirty routers each sees about one in its half-life.
PEER_MOST: Final = 2.0
# A peer that was not heard of for this long has vanished. Until then what it saw counts unfaded:
# news come at least twice a second, in which evidence loses a tenth.
PEER_EVIDENCE_MS: Final = 1_500


@dataclass(slots=True, kw_only=True, frozen=True)
class Observed:
    """Faded counts of good and failed answers of one upstream."""

    good: float
    failed: float


NOTHING: Final = Observed(good=0.0, failed=0.0)
# Sums below this are what rounding leaves of a peer that is gone.
EMPTY: Final = 1e-6


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerObserved:
    """What counts of what one peer told, and when it was heard."""

    heard_ms: int
    observed: Mapping[str, Observed]


class Evidence:
    """What is known of one upstream: decayed counts of good and failed answers.

    Silence counts apart: it may come from this router, where its processor or its link is slow.
    """

    __slots__ = ("_down_ms", "_failed", "_good", "_noted_ms", "_silent", "down_until_ms", "healthy")

    def __init__(self) -> None:
        self._good = 0.0
        self._failed = 0.0
        self._silent = 0.0
        self._noted_ms = 0
        self._down_ms = 0
        self.down_until_ms = 0
        self.healthy = True

    @property
    def observations(self) -> int:
        """Return how much evidence is left."""
        return round(self._good + self._failed + self._silent)

    def decay(self, now_ms: int) -> None:
        """Let old evidence fade."""
        factor = 0.5 ** ((now_ms - self._noted_ms) / HALF_LIFE_MS)
        self._good *= factor
        self._failed *= factor
        self._silent *= factor
        self._noted_ms = now_ms

    def observe(self, now_ms: int) -> Observed:
        """Return what is left of the evidence."""
        self.decay(now_ms)
        return Observed(good=self._good, failed=self._failed + self._silent)

    def observe_certain(self, now_ms: int) -> Observed:
        """Return what speaks of the upstream whoever asks it: for peers."""
        self.decay(now_ms)
        return Observed(good=self._good, failed=self._failed)

    def note_good(self, now_ms: int) -> None:
        """Note a good answer."""
        self.decay(now_ms)
        self._good += 1
        self._down_ms = 0
        self.down_until_ms = 0

    def note_failed(self, now_ms: int, *, silent: bool) -> None:
        """Note a failed request; `silent` where nothing came of it in time."""
        self.decay(now_ms)
        if silent:
            self._silent += 1
        else:
            self._failed += 1

    def note_unreachable(self, now_ms: int, *, silent: bool) -> None:
        """Note that no connection could be made, and leave the upstream alone for a while."""
        self.note_failed(now_ms, silent=silent)
        self._down_ms = min(DOWN_MAX_MS, self._down_ms * 2) if self._down_ms else DOWN_FIRST_MS
        self.down_until_ms = now_ms + self._down_ms


class HealthBook:
    """The evidence of all upstreams."""

    __slots__ = ("_clock", "_evidence", "_journal", "_peers", "_told")

    def __init__(self, *, clock: Clock, journal: Journal) -> None:
        self._clock = clock
        self._journal = journal
        self._evidence: dict[str, Evidence] = {}
        self._peers: dict[str, PeerObserved] = {}
        # Sums over the peers, kept since each placement asks for every upstream.
        self._told: dict[str, Observed] = {}

    def own(self) -> dict[str, Observed]:
        """Return what this router saw itself, for its peers."""
        now_ms = self._clock.now_ms()
        return {upstream: seen.observe_certain(now_ms) for upstream, seen in self._evidence.items()}

    def take_peer(self, peer: str, observed: Mapping[str, Observed]) -> None:
        """Take what a peer saw, in place of what it told before."""
        now_ms = self._clock.now_ms()
        silent = [p for p, old in self._peers.items() if now_ms - old.heard_ms > PEER_EVIDENCE_MS]
        for gone in {peer, *silent}:
            self._drop_peer(gone)
        counted = {upstream: _bound(seen) for upstream, seen in observed.items()}
        self._peers[peer] = PeerObserved(heard_ms=now_ms, observed=counted)
        for upstream, seen in counted.items():
            self._add_told(upstream, good=seen.good, failed=seen.failed)

    def _drop_peer(self, peer: str) -> None:
        told = self._peers.pop(peer, None)
        if told is None:
            return
        for upstream, seen in told.observed.items():
            self._add_told(upstream, good=-seen.good, failed=-seen.failed)

    def _add_told(self, upstream: str, *, good: float, failed: float) -> None:
        told = self._told.get(upstream, NOTHING)
        good, failed = told.good + good, told.failed + failed
        if good + failed < EMPTY:
            self._told.pop(upstream, None)
            return
        self._told[upstream] = Observed(good=max(0.0, good), failed=max(0.0, failed))

    def penalty_ms(self, upstream: str) -> float:
        """Return what the failures of an upstream are expected to cost."""
        return self._get_failing(upstream) * FAILURE_MS

    def is_down(self, upstream: str) -> bool:
        """Return whether an upstream took no connection a moment ago."""
        evidence = self._evidence.get(upstream)
        return evidence is not None and self._clock.now_ms() < evidence.down_until_ms

    def note_good(self, upstream: str) -> None:
        """Note a good answer."""
        evidence = self._get(upstream)
        evidence.note_good(self._clock.now_ms())
        self._tell(upstream, evidence, "answered")

    def note_failed(self, upstream: str, *, reason: str, silent: bool = False) -> None:
        """Note a request that failed there; `silent` where nothing came of it in time."""
        evidence = self._get(upstream)
        evidence.note_failed(self._clock.now_ms(), silent=silent)
        self._tell(upstream, evidence, reason)

    def note_unreachable(self, upstream: str, *, reason: str, silent: bool = False) -> None:
        """Note that no connection could be made; `silent` where nothing came back in time."""
        evidence = self._get(upstream)
        evidence.note_unreachable(self._clock.now_ms(), silent=silent)
        self._tell(upstream, evidence, reason)

    def forget(self, upstream: str) -> None:
        """Forget an upstream that ended."""
        self._evidence.pop(upstream, None)

    def _get(self, upstream: str) -> Evidence:
        return self._evidence.setdefault(upstream, Evidence())

    def _get_failing(self, upstream: str) -> float:
        """Return the expected share of failures, by this router's answers and its peers'."""
        told = self._told.get(upstream, NOTHING)
        good, failed = told.good, told.failed
        evidence = self._evidence.get(upstream)
        if evidence is not None:
            own = evidence.observe(self._clock.now_ms())
            good, failed = good + own.good, failed + own.failed
        return failed / (good + failed + PRIOR)

    def _tell(self, upstream: str, evidence: Evidence, reason: str) -> None:
        failing = self._get_failing(upstream)
        healthy = failing < UNHEALTHY_SHARE
        if healthy == evidence.healthy:
            return
        evidence.healthy = healthy
        self._journal.record(
            UpstreamHealth(
                upstream=upstream,
                healthy=healthy,
                failing=round(failing, 3),
                reason=reason,
                observations=evidence.observations,
            )
        )


def _bound(seen: Observed) -> Observed:
    """Return what one peer's evidence counts for."""
    weight = min(1.0, PEER_MOST / max(PEER_MOST, seen.good + seen.failed))
    return Observed(good=weight * seen.good, failed=weight * seen.failed)
