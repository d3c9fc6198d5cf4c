"""How far an upstream is trusted, judged by its answers and not by its health check.

Answers this load: upstreams that fail, reset or swallow a share of their requests while their
health check is good, and upstreams that vanish without a word. All of them may fail alike; then
their order stays as it was.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from gypsumrouter.journal import Journal, UpstreamHealth
from gypsumrouter.util.clock import Clock

# Evidence halves in this time: an upstream that failed two of four requests is tried again with
# few requests after about six seconds.
HALF_LIFE_MS: Final = 2_500
# What a certain failure costs, in the engine's time that placement weighs: three copies of a long
# prompt, so that an engine that fails a third of its requests is left even at the price of one.
FAILURE_MS: Final = 800.0
# A request that has no prompt has little to lose, and its upstreams have nothing to copy.
PLAIN_FAILURE_MS: Final = 200.0
# Before this much evidence an upstream counts as sound in part.
PRIOR: Final = 2.0
UNHEALTHY_SHARE: Final = 0.25
# An upstream that takes no connection is left alone for this long, doubled with each further try.
DOWN_FIRST_MS: Final = 300
DOWN_MAX_MS: Final = 2_000
# Peers are told for this long that an upstream refused a connection, which takes them two or three
# news, and leave it alone for so long after each of them. An upstream that is back is tried again
# by somebody within about 1.5 s.
REFUSED_TOLD_MS: Final = 600
REFUSED_HEARD_MS: Final = 600


class Evidence:
    """What is known of one upstream: decayed counts of good and failed answers."""

    __slots__ = (
        "_down_ms",
        "_failed",
        "_good",
        "_noted_ms",
        "down_until_ms",
        "healthy",
        "refused_ms",
    )

    def __init__(self) -> None:
        self._good = 0.0
        self._failed = 0.0
        self._noted_ms = 0
        self._down_ms = 0
        self.down_until_ms = 0
        # When it last refused a connection of this router; None where it has answered since.
        self.refused_ms: int | None = None
        self.healthy = True

    @property
    def observations(self) -> int:
        """Return how much evidence is left."""
        return round(self._good + self._failed)

    def decay(self, now_ms: int) -> None:
        """Let old evidence fade."""
        factor = 0.5 ** ((now_ms - self._noted_ms) / HALF_LIFE_MS)
        self._good *= factor
        self._failed *= factor
        self._noted_ms = now_ms

    def failing(self, now_ms: int) -> float:
        """Return the expected share of failures."""
        self.decay(now_ms)
        return self._failed / (self._good + self._failed + PRIOR)

    def note_good(self, now_ms: int) -> None:
        """Note a good answer."""
        self.decay(now_ms)
        self._good += 1
        self._down_ms = 0
        self.refused_ms = None
        self.down_until_ms = 0

    def note_failed(self, now_ms: int) -> None:
        """Note a failed request."""
        self.decay(now_ms)
        self._failed += 1

    def note_unreachable(self, now_ms: int) -> None:
        """Note that no connection could be made, and leave the upstream alone for a while."""
        self.note_failed(now_ms)
        self._down_ms = min(DOWN_MAX_MS, self._down_ms * 2) if self._down_ms else DOWN_FIRST_MS
        self.down_until_ms = now_ms + self._down_ms


class HealthBook:
    """The evidence of all upstreams."""

    __slots__ = ("_clock", "_evidence", "_journal")

    def __init__(self, *, clock: Clock, journal: Journal) -> None:
        self._clock = clock
        self._journal = journal
        self._evidence: dict[str, Evidence] = {}

    def penalty_ms(self, upstream: str, *, plain: bool = False) -> float:
        """Return what the failures of an upstream are expected to cost a request.

        `plain` requests have no prompt.
        """
        evidence = self._evidence.get(upstream)
        if evidence is None:
            return 0.0
        failure_ms = PLAIN_FAILURE_MS if plain else FAILURE_MS
        return evidence.failing(self._clock.now_ms()) * failure_ms

    def is_down(self, upstream: str) -> bool:
        """Return whether an upstream took no connection a moment ago."""
        evidence = self._evidence.get(upstream)
        return evidence is not None and self._clock.now_ms() < evidence.down_until_ms

    def note_good(self, upstream: str) -> None:
        """Note a good answer."""
        evidence = self._get(upstream)
        evidence.note_good(self._clock.now_ms())
        self._tell(upstream, evidence, "answered")

    def note_failed(self, upstream: str, *, reason: str) -> None:
        """Note a request that failed there."""
        evidence = self._get(upstream)
        evidence.note_failed(self._clock.now_ms())
        self._tell(upstream, evidence, reason)

    def note_unreachable(self, upstream: str, *, reason: str, refused: bool = False) -> None:
        """Note that no connection could be made; `refused` where its machine said so itself."""
        evidence = self._get(upstream)
        evidence.note_unreachable(self._clock.now_ms())
        if refused:
            evidence.refused_ms = self._clock.now_ms()
        self._tell(upstream, evidence, reason)

    def list_refused(self) -> tuple[str, ...]:
        """Return the upstreams that refused a connection of this router a moment ago.

        Only a refusal is told: a connection that is not answered may be this router's own fault.
        """
        since_ms = self._clock.now_ms() - REFUSED_TOLD_MS
        return tuple(
            upstream
            for upstream, evidence in self._evidence.items()
            if evidence.refused_ms is not None and evidence.refused_ms > since_ms
        )

    def take_refused(self, upstreams: Iterable[str]) -> None:
        """Leave alone what refused a connection of a peer."""
        until_ms = self._clock.now_ms() + REFUSED_HEARD_MS
        for upstream in upstreams:
            evidence = self._get(upstream)
            evidence.down_until_ms = max(evidence.down_until_ms, until_ms)

    def forget(self, upstream: str) -> None:
        """Forget an upstream that ended."""
        self._evidence.pop(upstream, None)

    def _get(self, upstream: str) -> Evidence:
        return self._evidence.setdefault(upstream, Evidence())

    def _tell(self, upstream: str, evidence: Evidence, reason: str) -> None:
        failing = evidence.failing(self._clock.now_ms())
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
