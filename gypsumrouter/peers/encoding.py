"""Conversion of loads and evacuations between a router's records and messages to its peers."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumrouter.directory import Evacuation, Evacuations
from gypsumrouter.forwarding.loads import LoadTracker, PeerLoads, UpstreamLoad
from gypsumrouter.link import DataCentreLoads, EvacuationState, RouterLoad, RouterUpdate


def encode_evacuations(evacuations: Evacuations) -> tuple[EvacuationState, ...]:
    """Return all known evacuations as message entries; every message carries the full set."""
    return tuple(
        EvacuationState(data_centre=e.data_centre, revision=e.revision, active=e.active)
        for e in evacuations.list_all()
    )


def merge_evacuations(
    evacuations: Evacuations, received: Iterable[EvacuationState], *, source: str
) -> None:
    """Merge evacuations received from a peer; entries of older revisions are ignored."""
    for e in received:
        evacuation = Evacuation(data_centre=e.data_centre, revision=e.revision, active=e.active)
        evacuations.merge(evacuation, source=source)


def encode_loads(records: LoadTracker) -> tuple[RouterLoad, ...]:
    """Return the router's own load counts as message entries."""
    return _encode(records.get_own_loads())


def encode_load_sums(records: LoadTracker, *, peers: Iterable[str]) -> tuple[RouterLoad, ...]:
    """Return the load counts of the router and the given peers, summed for each upstream."""
    return _encode(records.sum_with_peers(peers))


def decode_loads(update: RouterUpdate, *, now_ms: int) -> PeerLoads:
    """Return the load counts in a peer's update."""
    return _decode(update.loads, now_ms)


def decode_load_sums(update: DataCentreLoads, *, now_ms: int) -> PeerLoads:
    """Return the summed load counts in a data centre's update."""
    return _decode(update.loads, now_ms)


def _encode(loads: dict[str, UpstreamLoad]) -> tuple[RouterLoad, ...]:
    return tuple(
        RouterLoad(upstream=upstream, running=load.running, pending_tokens=load.pending_tokens)
        for upstream, load in loads.items()
    )


def _decode(loads: tuple[RouterLoad, ...], now_ms: int) -> PeerLoads:
    return PeerLoads(
        received_ms=now_ms,
        loads={
            load.upstream: UpstreamLoad(running=load.running, pending_tokens=load.pending_tokens)
            for load in loads
        },
    )
