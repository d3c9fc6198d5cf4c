"""Loads between the book of a router and the news to its peers."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumrouter.forwarding.loads import LoadTracker, PeerLoads, UpstreamLoad
from gypsumrouter.link import DataCentreLoads, RouterLoad, RouterNews


def write_loads(book: LoadTracker) -> tuple[RouterLoad, ...]:
    """Return a router's own counts for its news."""
    return _write(book.get_own_loads())


def write_sums(book: LoadTracker, *, peers: Iterable[str]) -> tuple[RouterLoad, ...]:
    """Return the counts of a router and of some of its peers together."""
    return _write(book.sum_with_peers(peers))


def read_loads(news: RouterNews, *, now_ms: int) -> PeerLoads:
    """Return what a peer told of its counts."""
    return _read(news.loads, now_ms)


def read_sums(news: DataCentreLoads, *, now_ms: int) -> PeerLoads:
    """Return what was told of the counts of a data centre."""
    return _read(news.loads, now_ms)


def _write(loads: dict[str, UpstreamLoad]) -> tuple[RouterLoad, ...]:
    return tuple(
        RouterLoad(upstream=upstream, running=load.running, pending_tokens=load.pending_tokens)
        for upstream, load in loads.items()
    )


def _read(loads: tuple[RouterLoad, ...], now_ms: int) -> PeerLoads:
    return PeerLoads(
        received_ms=now_ms,
        loads={
            load.upstream: UpstreamLoad(running=load.running, pending_tokens=load.pending_tokens)
            for load in loads
        },
    )
