"""Evacuations between the book of a router and the news to its peers."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumrouter.directory import Evacuation, Evacuations
from gypsumrouter.link import EvacuationTold


def encode_evacuations(evacuations: Evacuations) -> tuple[EvacuationTold, ...]:
    """Return all that a router knows of evacuations: little, and any news may be the last."""
    return tuple(
        EvacuationTold(data_centre=e.data_centre, revision=e.revision, active=e.active)
        for e in evacuations.list_all()
    )


def merge_evacuations(
    evacuations: Evacuations, received: Iterable[EvacuationTold], *, source: str
) -> None:
    """Take what a peer received; older news than what is known change nothing."""
    for e in received:
        evacuation = Evacuation(data_centre=e.data_centre, revision=e.revision, active=e.active)
        evacuations.merge(evacuation, source=source)
