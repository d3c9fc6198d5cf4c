"""Loads between the book of a router and the news to its peers."""

from __future__ import annotations

from gypsumrouter.forwarding.loads import LoadBook, PeerLoads, UpstreamLoad
from gypsumrouter.link import RouterLoad, RouterNews


def write_loads(book: LoadBook) -> tuple[RouterLoad, ...]:
    """Return a router's own counts for its news."""
    return tuple(
        RouterLoad(upstream=upstream, running=load.running, pending_tokens=load.pending_tokens)
        for upstream, load in book.own().items()
    )


def read_loads(news: RouterNews, *, now_ms: int) -> PeerLoads:
    """Return what a peer told of its counts."""
    loads = {
        load.upstream: UpstreamLoad(running=load.running, pending_tokens=load.pending_tokens)
        for load in news.loads
    }
    return PeerLoads(heard_ms=now_ms, loads=loads)
