"""Evacuated data centres, merged from the platform's store and from peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from msgspec import Struct

from gypsumrouter.core import Application, Remove
from gypsumrouter.journal import DataCentreEvacuated, Journal
from gypsumrouter.util.revisions import get_epoch

# During this time after its start the process cannot tell new evacuations from older ones.
STARTUP_MS: Final = 2_000
# Grace period after a restore of the store from a backup: its last writes are repeated within about
# two seconds.
RESTORED_GRACE_MS: Final = 2_300
# Limit on the data centres that are tracked, against unbounded growth from bad store content.
# A fleet has a dozen data centres at most.
MAX_DATA_CENTRES: Final = 1_000


class Evacuation(Struct, frozen=True, kw_only=True):
    """Whether a data centre is evacuated, as of a store revision."""

    data_centre: str
    revision: int
    active: bool


EvacuationListener = Callable[[Evacuation], None]


class Evacuations:
    """The latest evacuation state of each data centre.

    The highest revision wins, whichever source it comes from. So an evacuation ends only when its
    item is removed, not by an outage of the store, a lost watch history or a peer that is behind. A
    full list of a store that was restored from a backup may be stale: changes that it implies are
    deferred for `RESTORED_GRACE_MS`.
    """

    __slots__ = (
        "_began_ms",
        "_clock",
        "_deferred",
        "_evacuations",
        "_grace_until_ms",
        "_journal",
        "_listed_revision",
        "_listeners",
        "_started_ms",
    )

    def __init__(self, *, app: Application, journal: Journal) -> None:
        self._clock = app.clock
        self._started_ms = app.clock.now_ms()
        self._journal = journal
        # When this process learned of each active evacuation, except those learned at its start.
        self._began_ms: dict[str, int] = {}
        self._evacuations: dict[str, Evacuation] = {}
        # Changes implied by a restored store, by data centre, until the grace period ends.
        self._deferred: dict[str, Evacuation] = {}
        self._grace_until_ms = 0
        # The revision of the last full list from the store.
        self._listed_revision = 0
        self._listeners: list[EvacuationListener] = []
        app.add_dump_section("evacuations", self._dump)

    def is_active(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated: its upstreams get no new requests."""
        known = self._evacuations.get(data_centre)
        return known is not None and known.active

    def get_age_ms(self, data_centre: str) -> int | None:
        """Return the age of an evacuation; None if it may have begun before this process."""
        began_ms = self._began_ms.get(data_centre)
        return None if began_ms is None else self._clock.now_ms() - began_ms

    def list_all(self) -> tuple[Evacuation, ...]:
        """Return all evacuations, including those that ended, for peers that are behind."""
        return tuple(self._evacuations.values())

    def replace_all(self, listed: Iterable[Evacuation], *, revision: int, source: str) -> None:
        """Merge a full list read at `revision`; evacuations that it lacks have ended."""
        names = set()
        for evacuation in listed:
            names.add(evacuation.data_centre)
            self._merge_listed(evacuation, source)
        for known in self.list_all():
            if known.data_centre not in names and known.active:
                ended = Evacuation(data_centre=known.data_centre, revision=revision, active=False)
                self._merge_listed(ended, source)
        self._listed_revision = max(self._listed_revision, revision)

    def apply_deferred(self) -> None:
        """Apply deferred changes once the grace period is over; called periodically."""
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
        self._defer(evacuation)

    def _defer(self, evacuation: Evacuation) -> None:
        if not self._deferred:
            self._grace_until_ms = self._clock.now_ms() + RESTORED_GRACE_MS
        self._deferred[evacuation.data_centre] = evacuation

    def merge(self, evacuation: Evacuation, *, source: str) -> bool:
        """Merge one evacuation; return whether it was newer than the known one."""
        known = self._evacuations.get(evacuation.data_centre)
        if known is not None and known.revision >= evacuation.revision:
            return False
        if known is None and len(self._evacuations) >= MAX_DATA_CENTRES:
            return False
        if known is None and self._is_unlisted(evacuation):
            return self._merge_unlisted(evacuation, source)
        self._apply(evacuation, known, source)
        return True

    def _apply(self, evacuation: Evacuation, known: Evacuation | None, source: str) -> None:
        self._evacuations[evacuation.data_centre] = evacuation
        self._deferred.pop(evacuation.data_centre, None)
        if evacuation.active == (known is not None and known.active):
            return
        self._note_begin_time(evacuation)
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

    def _is_unlisted(self, evacuation: Evacuation) -> bool:
        """Return whether an unknown evacuation predates a full list, which lacks it."""
        return evacuation.active and evacuation.revision <= self._listed_revision

    def _merge_unlisted(self, evacuation: Evacuation, source: str) -> bool:
        """Merge an evacuation of a peer that did not learn of its end.

        Its end is recorded at the revision of the list, so that the peer learns of it in turn.
        """
        ended = Evacuation(
            data_centre=evacuation.data_centre, revision=self._listed_revision, active=False
        )
        if not _may_be_stale(ended, evacuation):
            return self.merge(ended, source=source)
        self._apply(evacuation, None, source)
        self._defer(ended)
        return True

    def on_change(self, listener: EvacuationListener) -> Remove:
        """Call `listener` with every evacuation that begins or ends."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def _note_begin_time(self, evacuation: Evacuation) -> None:
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
                "deferred": known.data_centre in self._deferred,
            }
            for known in self.list_all()
        }


def _may_be_stale(evacuation: Evacuation, known: Evacuation) -> bool:
    """Return whether a listed state may come from a backup and be older than the known one."""
    later = get_epoch(evacuation.revision) > get_epoch(known.revision)
    return later and evacuation.active != known.active
