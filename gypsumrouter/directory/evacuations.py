"""Which data centres are evacuated, from the platform's store and from peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from msgspec import Struct

from gypsumrouter.core import Application, Remove
from gypsumrouter.journal import DataCentreEvacuated, Journal

# A process that has just started does not know how old the evacuations are that it hears of.
YOUNG_MS: Final = 2_000
# What a store may name; a fleet has a dozen data centres at most.
MAX_DATA_CENTRES: Final = 1_000


class Evacuation(Struct, frozen=True, kw_only=True):
    """Whether a data centre is evacuated, as of a revision of the store."""

    data_centre: str
    revision: int
    active: bool


EvacuationListener = Callable[[Evacuation], None]


class Evacuations:
    """The newest evacuation that was heard of for each data centre.

    The higher revision counts, wherever it was heard. So a store that is away, history that is
    lost, or a peer that knows less never ends an evacuation: only its removal does.
    """

    __slots__ = ("_begun_ms", "_clock", "_evacuations", "_journal", "_listeners", "_started_ms")

    def __init__(self, *, app: Application, journal: Journal) -> None:
        self._clock = app.clock
        self._started_ms = app.clock.now_ms()
        self._journal = journal
        # When this process heard of evacuations that began while it ran.
        self._begun_ms: dict[str, int] = {}
        self._evacuations: dict[str, Evacuation] = {}
        self._listeners: list[EvacuationListener] = []
        app.add_dump_section("evacuations", self._dump)

    def is_active(self, data_centre: str) -> bool:
        """Return whether the upstreams of a data centre get nothing new."""
        known = self._evacuations.get(data_centre)
        return known is not None and known.active

    def get_age_ms(self, data_centre: str) -> int | None:
        """Return how long ago an evacuation was heard of; None where it may be older than that."""
        begun_ms = self._begun_ms.get(data_centre)
        return None if begun_ms is None else self._clock.now_ms() - begun_ms

    def list_all(self) -> tuple[Evacuation, ...]:
        """Return all that is known, ended evacuations too, for peers that know less."""
        return tuple(self._evacuations.values())

    def replace_all(self, listed: Iterable[Evacuation], *, revision: int, source: str) -> None:
        """Take all evacuations as of `revision`: those that are missing have ended."""
        names = set()
        for evacuation in listed:
            names.add(evacuation.data_centre)
            self.merge(evacuation, source=source)
        for known in self.list_all():
            if known.data_centre not in names and known.active:
                ended = Evacuation(data_centre=known.data_centre, revision=revision, active=False)
                self.merge(ended, source=source)

    def merge(self, evacuation: Evacuation, *, source: str) -> bool:
        """Take one evacuation if it is newer than what is known; return whether it was."""
        known = self._evacuations.get(evacuation.data_centre)
        if known is not None and known.revision >= evacuation.revision:
            return False
        if known is None and len(self._evacuations) >= MAX_DATA_CENTRES:
            return False
        self._evacuations[evacuation.data_centre] = evacuation
        if evacuation.active == (known is not None and known.active):
            return True
        self._note_begun(evacuation)
        self._journal.record(
            DataCentreEvacuated(
                data_centre=evacuation.data_centre,
                active=evacuation.active,
                revision=evacuation.revision,
                source=source,
            )
        )
        for listener in tuple(self._listeners):
            listener(evacuation)
        return True

    def on_change(self, listener: EvacuationListener) -> Remove:
        """Call `listener` with each evacuation that begins or ends."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def _note_begun(self, evacuation: Evacuation) -> None:
        now_ms = self._clock.now_ms()
        if evacuation.active and now_ms - self._started_ms >= YOUNG_MS:
            self._begun_ms[evacuation.data_centre] = now_ms
        else:
            self._begun_ms.pop(evacuation.data_centre, None)

    def _dump(self) -> object:
        return {
            known.data_centre: {"active": known.active, "revision": known.revision}
            for known in self.list_all()
        }
