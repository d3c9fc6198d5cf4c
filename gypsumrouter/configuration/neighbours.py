"""Neighbours for gossip between processes, and the processes that watch the platform."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import xxhash

from gypsumrouter.configuration.const import RING_ATTEMPTS, RINGS, WATCHERS_PER_REGION
from gypsumrouter.instances import Instance

RingNeighbours = tuple[Instance, ...]


def list_ring_neighbours(name: str, peers: Iterable[Instance]) -> tuple[RingNeighbours, ...]:
    """Return the gossip neighbours of a process, one entry per ring and direction.

    Every process sorts all names by digest on the same hash rings, and its neighbours are its
    successor and predecessor on each. The union of a few such rings is connected, has a diameter
    that grows with the logarithm of the fleet, and gives each process a constant number of
    neighbours. Each entry lists further instances along the ring, to use if the first is
    unreachable.
    """
    others = tuple(peer for peer in peers if peer.name != name)
    neighbours: list[RingNeighbours] = []
    for ring in range(RINGS):
        neighbours += _list_on_ring(ring, name, others)
    return tuple(neighbours)


def list_watchers(members: Iterable[Instance], region: str, rotation: int) -> frozenset[str]:
    """Return the names of the instances that watch the platform for a region in one rotation.

    These are the first by rank of each data centre of the region, filled up by rank to
    WATCHERS_PER_REGION. A watcher downloads the whole document on each change, so ranks differ
    between rotations to distribute that load.
    """
    ranked = sorted(
        (member for member in members if member.region == region),
        key=lambda member: (_rank(f"watch/{rotation}", member.name), member.name),
    )
    first: dict[str, str] = {}
    for member in ranked:
        first.setdefault(member.data_centre, member.name)
    chosen = list(first.values())
    for member in ranked:
        if len(chosen) >= WATCHERS_PER_REGION:
            break
        if member.name not in chosen:
            chosen.append(member.name)
    return frozenset(chosen)


def _list_on_ring(ring: int, name: str, peers: tuple[Instance, ...]) -> Iterator[RingNeighbours]:
    own_position = (_rank(str(ring), name), name)
    ranked = [((_rank(str(ring), peer.name), peer.name), peer) for peer in peers]
    ring_order = sorted(ranked, key=lambda entry: entry[0])
    positions = [position for position, _ in ring_order]
    start = sum(1 for position in positions if position < own_position)
    successors = [peer for _, peer in ring_order[start:] + ring_order[:start]]
    if not successors:
        return
    yield tuple(successors[:RING_ATTEMPTS])
    yield tuple(reversed(successors[-RING_ATTEMPTS:]))


def _rank(purpose: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{purpose}/{name}".encode())
