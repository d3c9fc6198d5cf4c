"""Running requests and pending prefill of each upstream, summed over this router and its peers."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from typing import Final

from msgspec import Struct

from gypsumrouter.forwarding.engine_speed import EngineSpeeds
from gypsumrouter.forwarding.prefill_speed import PrefillSpeed

# Loads of a peer that has sent no report for this long are dropped.
PEER_LOADS_TTL_MS: Final = 1_500
# Age of a peer's counts when its report is received. Those of another data centre are summed by a
# relay, which takes up to two update intervals.
REPORT_DELAY_MS: Final = 250
# Weight of a new request in the moving average of how long an upstream holds requests.
EWMA_WEIGHT: Final = 0.1


class UpstreamLoad(Struct, frozen=True, kw_only=True):
    """Running requests at an upstream, and their prompt tokens that wait for prefill."""

    running: int
    pending_tokens: int


class PeerLoads(Struct, frozen=True, kw_only=True):
    """The last load report of a peer and the time of its receipt."""

    received_ms: int
    loads: Mapping[str, UpstreamLoad]


class LoadTracker:
    """Tracks the load of each upstream over all routers.

    Sums over the peers are maintained incrementally, because each placement reads all upstreams.
    """

    __slots__ = (
        "_engine_speeds",
        "_extrapolates_prefill",
        "_held_ms",
        "_peer_pending",
        "_peer_running",
        "_peers",
        "_pending",
        "_prefill_speed",
        "_running",
    )

    def __init__(
        self,
        *,
        prefill_speed: PrefillSpeed | None = None,
        engine_speeds: EngineSpeeds | None = None,
        extrapolates_prefill: bool = True,
    ) -> None:
        self._prefill_speed = prefill_speed or PrefillSpeed()
        self._engine_speeds = engine_speeds
        self._extrapolates_prefill = extrapolates_prefill
        self._running: dict[str, int] = {}
        self._pending: dict[str, int] = {}
        self._peers: dict[str, PeerLoads] = {}
        self._peer_running: dict[str, int] = {}
        # Moving average of how long each upstream holds a request.
        self._held_ms: dict[str, float] = {}
        # Pending prompt tokens per upstream and peer; peers without any are left out.
        self._peer_pending: dict[str, dict[str, int]] = {}

    def begin(self, upstream: str, *, tokens: int) -> None:
        """Count a request that is sent; `tokens` of its prompt have to be prefilled."""
        self._running[upstream] = self._running.get(upstream, 0) + 1
        self._pending[upstream] = self._pending.get(upstream, 0) + tokens

    def note_prefilled(self, upstream: str, *, tokens: int) -> None:
        """Remove the tokens of a prefilled prompt from the pending ones."""
        self._pending[upstream] = max(0, self._pending.get(upstream, 0) - tokens)

    def end(self, upstream: str) -> None:
        """Remove a request that has ended."""
        left = self._running.get(upstream, 0) - 1
        if left > 0:
            self._running[upstream] = left
            return
        self._running.pop(upstream, None)
        self._pending.pop(upstream, None)

    def note_held(self, upstream: str, *, held_ms: int) -> None:
        """Record how long an upstream held a request that has ended."""
        mean_ms = self._held_ms.get(upstream, float(held_ms))
        self._held_ms[upstream] = mean_ms + EWMA_WEIGHT * (held_ms - mean_ms)

    def forget(self, upstream: str) -> None:
        """Drop the average of an upstream that was removed."""
        self._held_ms.pop(upstream, None)

    def estimate_arrived(self, upstream: str, *, within_ms: int) -> float:
        """Return how many requests peers have probably sent to an upstream within a time.

        In a steady state an upstream gets as many new requests as it completes. Those that it has
        completed since are not deducted: the load cap must hold also when they take longer.
        """
        held_ms = self._held_ms.get(upstream)
        if not held_ms:
            return 0.0
        turnover = min(1.0, within_ms / held_ms)
        return self._peer_running.get(upstream, 0) * turnover

    def set_peer_loads(self, peer: str, loads: PeerLoads) -> None:
        """Replace the load report of a peer."""
        self._drop_peer(peer)
        self._peers[peer] = loads
        for upstream, load in loads.loads.items():
            self._peer_running[upstream] = self._peer_running.get(upstream, 0) + load.running
            if load.pending_tokens:
                self._peer_pending.setdefault(upstream, {})[peer] = load.pending_tokens

    def _drop_peer(self, peer: str) -> None:
        report = self._peers.pop(peer, None)
        if report is None:
            return
        for upstream, load in report.loads.items():
            left = self._peer_running.pop(upstream, 0) - load.running
            if left > 0:
                self._peer_running[upstream] = left
            if load.pending_tokens:
                del self._peer_pending[upstream][peer]
                if not self._peer_pending[upstream]:
                    del self._peer_pending[upstream]

    def _drop_expired(self, now_ms: int) -> None:
        expired = [
            p
            for p, report in self._peers.items()
            if now_ms - report.received_ms > PEER_LOADS_TTL_MS
        ]
        for peer in expired:
            self._drop_peer(peer)

    def get_own_loads(self) -> dict[str, UpstreamLoad]:
        """Return the loads caused by this router."""
        return {
            upstream: UpstreamLoad(running=running, pending_tokens=self._pending.get(upstream, 0))
            for upstream, running in self._running.items()
        }

    def sum_with_peers(self, peers: Iterable[str]) -> dict[str, UpstreamLoad]:
        """Return the summed loads of this router and of `peers`."""
        sums = self.get_own_loads()
        for peer in peers:
            report = self._peers.get(peer)
            if report is None:
                continue
            for upstream, load in report.loads.items():
                total = sums.get(upstream)
                sums[upstream] = load if total is None else _add(total, load)
        return sums

    def get_peer_running(self, upstream: str) -> int:
        """Return the running requests of the peers at an upstream, by their last reports."""
        return self._peer_running.get(upstream, 0)

    def sum_peer_pending(self, upstreams: Container[str], *, now_ms: int) -> int:
        """Return the prompt tokens of the peers that wait for prefill at some upstreams."""
        self._drop_expired(now_ms)
        return sum(
            self._add_up(upstream, now_ms).pending_tokens - self._pending.get(upstream, 0)
            for upstream in self._peer_pending
            if upstream in upstreams
        )

    def has_peer_loads(self, *, now_ms: int) -> bool:
        """Return whether there is a load report of a peer that has not expired."""
        self._drop_expired(now_ms)
        return bool(self._peers)

    def get_own_running(self, upstream: str) -> int:
        """Return the number of running requests of this router at an upstream."""
        return self._running.get(upstream, 0)

    def get(self, upstream: str, *, now_ms: int) -> UpstreamLoad:
        """Return the load of an upstream over all routers."""
        self._drop_expired(now_ms)
        return self._add_up(upstream, now_ms)

    def get_all(self, upstreams: Iterable[str], *, now_ms: int) -> dict[str, UpstreamLoad]:
        """Return the loads of several upstreams over all routers."""
        self._drop_expired(now_ms)
        return {upstream: self._add_up(upstream, now_ms) for upstream in upstreams}

    def get_tokens_per_ms(self, upstream: str, *, now_ms: int) -> float:
        """Return the prefill speed of an engine, or that of all engines if speeds are not kept."""
        if self._engine_speeds is None:
            return self._prefill_speed.tokens_per_ms
        return self._engine_speeds.get_tokens_per_ms(upstream, now_ms=now_ms)

    def _add_up(self, upstream: str, now_ms: int) -> UpstreamLoad:
        pending = self._pending.get(upstream, 0)
        peer_pending = self._peer_pending.get(upstream, {})
        tokens_per_ms = self.get_tokens_per_ms(upstream, now_ms=now_ms) if peer_pending else 0.0
        for peer, tokens in peer_pending.items():
            # Deduct what the engine has prefilled since the report. Otherwise a long prompt counts
            # as pending until the next report, and requests are sent to other engines needlessly.
            if not self._extrapolates_prefill:
                pending += tokens
                continue
            prefilled = round((now_ms - self._peers[peer].received_ms) * tokens_per_ms)
            pending += max(0, tokens - prefilled)
        running = self._running.get(upstream, 0) + self._peer_running.get(upstream, 0)
        return UpstreamLoad(running=running, pending_tokens=pending)

    def get_oldest_peer_age_ms(self, *, now_ms: int) -> int:
        """Return the age of the oldest load report that has not expired; 0 without peers."""
        ages = (now_ms - peer.received_ms for peer in self._peers.values())
        return max((age for age in ages if age <= PEER_LOADS_TTL_MS), default=0)


def _add(one: UpstreamLoad, other: UpstreamLoad) -> UpstreamLoad:
    return UpstreamLoad(
        running=one.running + other.running,
        pending_tokens=one.pending_tokens + other.pending_tokens,
    )


def get_mean(loads: Mapping[str, UpstreamLoad]) -> float:
    """Return the mean number of running requests per upstream; 0 without upstreams."""
    return sum(load.running for load in loads.values()) / len(loads) if loads else 0.0
