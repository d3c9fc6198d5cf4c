"""Loads and evidence of health between the books of a router and the news to its peers."""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.health import NOTHING, HealthBook, Observed
from gypsumrouter.forwarding.loads import LoadBook, PeerLoads, UpstreamLoad
from gypsumrouter.link import RouterLoad, RouterNews

# Evidence below this is not worth its bytes where nothing runs.
MIN_FAILED: Final = 0.1
IDLE: Final = UpstreamLoad(running=0, pending_tokens=0)


def write_loads(loads: LoadBook, health: HealthBook) -> tuple[RouterLoad, ...]:
    """Return a router's own counts for its news: what runs, and where something failed."""
    running = loads.own()
    observed = health.own()
    failing = (upstream for upstream, seen in observed.items() if seen.failed >= MIN_FAILED)
    return tuple(
        _write_load(upstream, running.get(upstream, IDLE), observed.get(upstream, NOTHING))
        for upstream in dict.fromkeys((*running, *failing))
    )


def read_loads(news: RouterNews, *, now_ms: int) -> PeerLoads:
    """Return what a peer told of its counts."""
    loads = {
        load.upstream: UpstreamLoad(running=load.running, pending_tokens=load.pending_tokens)
        for load in news.loads
    }
    return PeerLoads(heard_ms=now_ms, loads=loads)


def read_observed(news: RouterNews) -> dict[str, Observed]:
    """Return what a peer told of the answers that it got."""
    return {
        load.upstream: Observed(good=load.good, failed=load.failed)
        for load in news.loads
        if load.good or load.failed
    }


def _write_load(upstream: str, load: UpstreamLoad, observed: Observed) -> RouterLoad:
    return RouterLoad(
        upstream=upstream,
        running=load.running,
        pending_tokens=load.pending_tokens,
        good=observed.good,
        failed=observed.failed,
    )
