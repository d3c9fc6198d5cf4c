"""Which data centres are evacuated, from the platform's store and from peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from msgspec import Struct

from gypsumrouter.core import Application, Remove
from gypsumrouter.journal import DataCentreEvacuated, Journal
from gypsumrouter.util.revisions import get_epoch

# A process that has just started does not know how old the evacuations are that it hears of.
STARTUP_MS: Final = 2_000
# A store that came back from a copy has its last writes again within about two seconds. Well below
# the bounds within which an evacuation has to be in force.
RESTORED_GRACE_MS: Final = 2_300
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
    lost, or a peer that knows less never ends an evacuation: only its removal does. A whole list of
    a store that came back from a copy may be older than what is known: where it says otherwise, it
    counts after `RESTORED_GRACE_MS`, until when all has been written again.
    """

    __slots__ = (
        "_began_ms",
        "_clock",
        "_deferred",
        "_evacuations",
        "_grace_until_ms",
        "_journal",
        "_listeners",
        "_started_ms",
    )

    def __init__(self, *, app: Application, journal: Journal) -> None:
        self._clock = app.clock
        self._started_ms = app.clock.now_ms()
        self._journal = journal
        # When this process heard of evacuations that began while it ran.
        self._began_ms: dict[str, int] = {}
        self._evacuations: dict[str, Evacuation] = {}
        # What a copy says otherwise, by data centre, and until when it is in doubt.
        self._deferred: dict[str, Evacuation] = {}
        self._grace_until_ms = 0
        self._listeners: list[EvacuationListener] = []
        app.add_dump_section("evacuations", self._dump)

    def is_active(self, data_centre: str) -> bool:
        """Return whether the upstreams of a data centre get nothing new."""
        known = self._evacuations.get(data_centre)
        return known is not None and known.active

    def get_age_ms(self, data_centre: str) -> int | None:
        """Return how long ago an evacuation was heard of; None where it may be older than that."""
        began_ms = self._began_ms.get(data_centre)
        return None if began_ms is None else self._clock.now_ms() - began_ms

    def list_all(self) -> tuple[Evacuation, ...]:
        """Return all that is known, ended evacuations too, for peers that know less."""
        return tuple(self._evacuations.values())

    def replace_all(self, listed: Iterable[Evacuation], *, revision: int, source: str) -> None:
        """Take all evacuations as of `revision`: those that are missing have ended."""
        names = set()
        for evacuation in listed:
            names.add(evacuation.data_centre)
            self._merge_listed(evacuation, source)
        for known in self.list_all():
            if known.data_centre not in names and known.active:
                ended = Evacuation(data_centre=known.data_centre, revision=revision, active=False)
                self._merge_listed(ended, source)

    def apply_deferred(self) -> None:
        """Act on what a copy said and still holds; call it a few times a second."""
        if not self._deferred or self._clock.now_ms() < self._grace_until_ms:
            return
        deferred, self._deferred = self._deferred, {}
        for evacuation in deferred.values():
            self.merge(evacuation, source="restored")

    def _merge_listed(self, evacuation: Evacuation, source: str) -> None:
        known = self._evacuations.get(evacuation.data_centre)
        if known is None or not _may_be_stale(evacuation, known):
            self.merge(evacuation, source=source)
            return
        if not self._deferred:
            self._grace_until_ms = self._clock.now_ms() + RESTORED_GRACE_MS
        self._deferred[evacuation.data_centre] = evacuation

    def merge(self, evacuation: Evacuation, *, source: str) -> bool:
        """Take one evacuation if it is newer than what is known; return whether it was."""
        known = self._evacuations.get(evacuation.data_centre)
        if known is not None and known.revision >= evacuation.revision:
            return False
        if known is None and len(self._evacuations) >= MAX_DATA_CENTRES:
            return False
        self._evacuations[evacuation.data_centre] = evacuation
        self._deferred.pop(evacuation.data_centre, None)
        if evacuation.active == (known is not None and known.active):
            return True
        self._note_change_time(evacuation)
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

    def _note_change_time(self, evacuation: Evacuation) -> None:
        now_ms = self._clock.now_ms()
        if evacuation.active and now_ms - self._started_ms >= STARTUP_MS:
            self._began_ms[evacuation.data_centre] = now_ms
        else:
            self._began_ms.pop(evacuation.data_centre, None)

    def _dump(self) -> object:
        return {
            known.data_centre: {
                "active": known.active,
                "revision": known.revision,
                "in_doubt": known.data_centre in self._deferred,
            }
            for known in self.list_all()
        }


def _may_be_stale(evacuation: Evacuation, known: Evacuation) -> bool:
    """Return whether what a list says may be older than what is known, though it was read later."""
    later = get_epoch(evacuation.revision) > get_epoch(known.revision)
    return later and evacuation.active != known.active
