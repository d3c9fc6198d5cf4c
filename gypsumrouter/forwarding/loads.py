"""How many requests each upstream has, from this router's own count and its peers' news."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

from msgspec import Struct

from gypsumrouter.forwarding.reading import PrefillSpeed

# A peer that has not told its loads for this long has vanished, and its requests with it.
PEER_LOADS_TTL_MS: Final = 1_500


class UpstreamLoad(Struct, frozen=True, kw_only=True):
    """The requests that one router has at an upstream, and the prompt tokens not read yet."""

    running: int
    pending_tokens: int


class PeerLoads(Struct, frozen=True, kw_only=True):
    """What one peer told, and when it was heard."""

    received_ms: int
    loads: Mapping[str, UpstreamLoad]


class LoadTracker:
    """Adds up what is known of each upstream's load.

    The sums over the peers are kept, since each placement asks for every upstream.
    """

    __slots__ = (
        "_extrapolates_prefill",
        "_peer_pending",
        "_peer_running",
        "_peers",
        "_pending",
        "_prefill_speed",
        "_running",
    )

    def __init__(
        self, *, prefill_speed: PrefillSpeed | None = None, extrapolates_prefill: bool = True
    ) -> None:
        self._prefill_speed = prefill_speed or PrefillSpeed()
        self._extrapolates_prefill = extrapolates_prefill
        self._running: dict[str, int] = {}
        self._pending: dict[str, int] = {}
        self._peers: dict[str, PeerLoads] = {}
        self._peer_running: dict[str, int] = {}
        # Only the peers that told of prompts to be read at an upstream: few of them.
        self._peer_pending: dict[str, dict[str, int]] = {}

    def begin(self, upstream: str, *, tokens: int) -> None:
        """Count a request that is sent; `tokens` of its prompt have to be read."""
        self._running[upstream] = self._running.get(upstream, 0) + 1
        self._pending[upstream] = self._pending.get(upstream, 0) + tokens

    def note_prefilled(self, upstream: str, *, tokens: int) -> None:
        """Note that the prompt of a request was read: its first event is there."""
        self._pending[upstream] = max(0, self._pending.get(upstream, 0) - tokens)

    def end(self, upstream: str) -> None:
        """Count a request that is over."""
        left = self._running.get(upstream, 0) - 1
        if left > 0:
            self._running[upstream] = left
            return
        self._running.pop(upstream, None)
        self._pending.pop(upstream, None)

    def set_peer_loads(self, peer: str, loads: PeerLoads) -> None:
        """Take what a peer told, in place of what it told before."""
        self._drop_peer(peer)
        self._peers[peer] = loads
        for upstream, load in loads.loads.items():
            self._peer_running[upstream] = self._peer_running.get(upstream, 0) + load.running
            if load.pending_tokens:
                self._peer_pending.setdefault(upstream, {})[peer] = load.pending_tokens

    def _drop_peer(self, peer: str) -> None:
        told = self._peers.pop(peer, None)
        if told is None:
            return
        for upstream, load in told.loads.items():
            left = self._peer_running.pop(upstream, 0) - load.running
            if left > 0:
                self._peer_running[upstream] = left
            if load.pending_tokens:
                del self._peer_pending[upstream][peer]
                if not self._peer_pending[upstream]:
                    del self._peer_pending[upstream]

    def _drop_expired(self, now_ms: int) -> None:
        silent = [
            p for p, told in self._peers.items() if now_ms - told.received_ms > PEER_LOADS_TTL_MS
        ]
        for peer in silent:
            self._drop_peer(peer)

    def get_own_loads(self) -> dict[str, UpstreamLoad]:
        """Return this router's own counts, for its peers."""
        return {
            upstream: UpstreamLoad(running=running, pending_tokens=self._pending.get(upstream, 0))
            for upstream, running in self._running.items()
        }

    def sum_with_peers(self, peers: Iterable[str]) -> dict[str, UpstreamLoad]:
        """Return this router's own counts and those of some peers together, for others."""
        sums = self.get_own_loads()
        for peer in peers:
            told = self._peers.get(peer)
            if told is None:
                continue
            for upstream, load in told.loads.items():
                known = sums.get(upstream)
                sums[upstream] = load if known is None else _add(known, load)
        return sums

    def get_own_running(self, upstream: str) -> int:
        """Return how many requests this router has at an upstream."""
        return self._running.get(upstream, 0)

    def get(self, upstream: str, *, now_ms: int) -> UpstreamLoad:
        """Return an upstream's load over all routers."""
        self._drop_expired(now_ms)
        return self._add_up(upstream, now_ms)

    def get_all(self, upstreams: Iterable[str], *, now_ms: int) -> dict[str, UpstreamLoad]:
        """Return the loads of many upstreams."""
        self._drop_expired(now_ms)
        return {upstream: self._add_up(upstream, now_ms) for upstream in upstreams}

    def _add_up(self, upstream: str, now_ms: int) -> UpstreamLoad:
        pending = self._pending.get(upstream, 0)
        for peer, tokens in self._peer_pending.get(upstream, {}).items():
            # The engine has read on since. Taken as told, a long prompt would count until the next
            # news, far longer than it is read, and requests would leave for copies elsewhere.
            if not self._extrapolates_prefill:
                pending += tokens
                continue
            read = round(
                (now_ms - self._peers[peer].received_ms) * self._prefill_speed.tokens_per_ms
            )
            pending += max(0, tokens - read)
        running = self._running.get(upstream, 0) + self._peer_running.get(upstream, 0)
        return UpstreamLoad(running=running, pending_tokens=pending)

    def get_oldest_peer_age_ms(self, *, now_ms: int) -> int:
        """Return the age of the oldest news that still counts; 0 without peers."""
        ages = (now_ms - peer.received_ms for peer in self._peers.values())
        return max((age for age in ages if age <= PEER_LOADS_TTL_MS), default=0)


def _add(one: UpstreamLoad, other: UpstreamLoad) -> UpstreamLoad:
    return UpstreamLoad(
        running=one.running + other.running,
        pending_tokens=one.pending_tokens + other.pending_tokens,
    )


def get_mean(loads: Mapping[str, UpstreamLoad]) -> float:
    """Return the mean load of a service's upstreams."""
    return sum(load.running for load in loads.values()) / len(loads) if loads else 0.0
