"""How many requests each upstream has, from this router's own count and its peers' news."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from gypsumrouter.forwarding.placement import READ_TOKENS_PER_MS

# A peer that has not told its loads for this long has vanished, and its requests with it.
PEER_LOADS_MS: Final = 1_500


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamLoad:
    """The requests that one router has at an upstream, and the prompt tokens not read yet."""

    running: int
    pending_tokens: int


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerLoads:
    """What one peer told, and when it was heard."""

    heard_ms: int
    loads: Mapping[str, UpstreamLoad]


class LoadBook:
    """Adds up what is known of each upstream's load."""

    __slots__ = ("_peers", "_pending", "_running")

    def __init__(self) -> None:
        self._running: dict[str, int] = {}
        self._pending: dict[str, int] = {}
        self._peers: dict[str, PeerLoads] = {}

    def begin(self, upstream: str, *, tokens: int) -> None:
        """Count a request that is sent; `tokens` of its prompt have to be read."""
        self._running[upstream] = self._running.get(upstream, 0) + 1
        self._pending[upstream] = self._pending.get(upstream, 0) + tokens

    def note_read(self, upstream: str, *, tokens: int) -> None:
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

    def take_peer(self, peer: str, loads: PeerLoads) -> None:
        """Take what a peer told."""
        self._peers[peer] = loads

    def own(self) -> dict[str, UpstreamLoad]:
        """Return this router's own counts, for its peers."""
        return {
            upstream: UpstreamLoad(running=running, pending_tokens=self._pending.get(upstream, 0))
            for upstream, running in self._running.items()
        }

    def get(self, upstream: str, *, now_ms: int) -> UpstreamLoad:
        """Return an upstream's load over all routers."""
        running = self._running.get(upstream, 0)
        pending = self._pending.get(upstream, 0)
        for peer in self._peers.values():
            age_ms = now_ms - peer.heard_ms
            if age_ms > PEER_LOADS_MS:
                continue
            told = peer.loads.get(upstream)
            if told is None:
                continue
            running += told.running
            # The engine has read on since. Taken as told, a prompt of 10,000 tokens counted for
            # 450 ms instead of 125, and requests left for copies elsewhere: 5.7% of all shared
            # tokens copied instead of 1.8% (replay of thirty routers).
            pending += max(0, told.pending_tokens - round(age_ms * READ_TOKENS_PER_MS))
        return UpstreamLoad(running=running, pending_tokens=pending)

    def mean(self, upstreams: Iterable[str], *, now_ms: int) -> float:
        """Return the mean load of a service's upstreams."""
        loads = [self.get(upstream, now_ms=now_ms).running for upstream in upstreams]
        return sum(loads) / len(loads) if loads else 0.0

    def oldest_news_ms(self, *, now_ms: int) -> int:
        """Return the age of the oldest news that still counts; 0 without peers."""
        ages = (now_ms - peer.heard_ms for peer in self._peers.values())
        return max((age for age in ages if age <= PEER_LOADS_MS), default=0)
