"""Conversion of evacuations between a router's records and the messages to its peers."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumrouter.directory import Evacuation, Evacuations
from gypsumrouter.link import EvacuationState


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
