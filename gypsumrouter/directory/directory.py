"""The list of upstreams, merged from the store and from peers; the highest revision wins."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable

from msgspec.structs import replace

from gypsumrouter.core import Application, Remove
from gypsumrouter.directory.deferred_changes import DeferredChanges
from gypsumrouter.directory.grace_period import GracePeriod
from gypsumrouter.directory.merging import combine, is_relevant
from gypsumrouter.directory.models import Entry, EntryState, Record
from gypsumrouter.journal import Journal, StoreRestored, UpstreamChanged
from gypsumrouter.util.heartbeats import DEFAULT_HEARTBEAT_MS, get_shortest_expiry_ms
from gypsumrouter.util.revisions import get_epoch, get_number

ChangeListener = Callable[[Entry], None]


class Directory:
    """All upstreams seen since the process started, each with its latest state.

    An incarnation that is leaving becomes ready again only if its entry was removed in between, and
    never if it announced the leaving in a response. When an upstream restarts under the same id,
    its previous incarnation is gone. The removal of a ready upstream in the grace period after an
    outage of the store is deferred until that period ends, because the entries of all upstreams may
    have expired during the outage.

    A store restored from a backup begins a new epoch (see `util.revisions`). Revisions of a later
    epoch supersede all earlier ones, but a backup lacks the last writes. So an upstream that was
    leaving stays so, and during the grace period removed upstreams are not added again and missing
    ones are not removed. A router that has started on the backup learns from its peers who was
    leaving: that stands against a ready entry which the backup may contain. What only a response to
    this router has announced isn't told to peers.

    A removal is known only of upstreams that were known before. So the changes since a revision can
    be told to a peer only back to `listed_revision`, that of the last full list; for a peer that is
    further behind, the upstreams that are missing here are part of the news.
    """

    __slots__ = (
        "_announced_leaving",
        "_deferred_removals",
        "_deferred_returns",
        "_epoch",
        "_grace",
        "_incarnations",
        "_journal",
        "_listed_leaving",
        "_listeners",
        "_newest_revision",
        "_own_marks",
        "_records",
        "_returned_in_epoch",
        "_unseen_listeners",
        "applied_changes",
        "listed_revision",
        "loaded",
        "newest_applied_revision",
        "read_revision",
    )

    def __init__(
        self,
        *,
        app: Application,
        journal: Journal,
        heartbeat_ms: int = DEFAULT_HEARTBEAT_MS,
    ) -> None:
        self._journal = journal
        self._records: dict[str, Record] = {}
        self._incarnations: dict[str, Entry] = {}
        # Incarnations that are leaving by their entry in the store, and by their own responses.
        self._listed_leaving: set[str] = set()
        self._announced_leaving: set[str] = set()
        # Those whose entry, as far as it was read, is still ready.
        self._own_marks: set[str] = set()
        # The epochs in which incarnations became ready again after the removal of their entries.
        self._returned_in_epoch: dict[str, int] = {}
        self._epoch: int | None = None
        self._listeners: list[ChangeListener] = []
        self._unseen_listeners: list[Callable[[int], None]] = []
        self._grace = GracePeriod(
            clock=app.clock,
            journal=journal,
            shortest_expiry_ms=get_shortest_expiry_ms(heartbeat_ms),
        )
        # Removals, and returns of removed upstreams, that wait for the end of the grace period.
        self._deferred_removals = DeferredChanges(grace=self._grace, journal=journal)
        self._deferred_returns = DeferredChanges(grace=self._grace, journal=journal)
        # The revision up to which the store was read, and the highest one merged from any source.
        self.read_revision = 0
        self._newest_revision = 0
        # The highest revision of an applied change, which may be later than that of deferred
        # removals, and the number of changes that this process has applied.
        self.newest_applied_revision = 0
        self.applied_changes = 0
        # The revision of the last full list, from the store or from a peer.
        self.listed_revision = 0
        self.loaded = asyncio.Event()
        app.add_dump_section("directory", self._dump)

    @property
    def in_grace_period(self) -> bool:
        """Return whether upstreams may be missing after an outage or a restore of the store."""
        return self._grace.active

    @property
    def applied_revision(self) -> int:
        """Return the revision up to which all changes are applied.

        It stays before deferred removals, so that peers without an outage send the removals as
        confirmed. Otherwise a router that alone lost the store would use a removed upstream until
        its grace period ends.
        """
        applied = (
            self._records[upstream].revision for upstream in self._deferred_removals.upstreams
        )
        return min(applied, default=self._newest_revision)

    def limit_to_applied(self, as_of: int) -> int:
        """Return `as_of`, lowered to the applied revision while removals are deferred.

        A removal found by a full read has the revision of that read, which is later than that of
        the removal itself. So a deferred removal counts from the upstream's previous change.
        """
        return min(as_of, self.applied_revision) if self._deferred_removals.upstreams else as_of

    def get(self, upstream: str) -> Entry | None:
        """Return the entry of the latest incarnation of an upstream, by its id."""
        record = self._records.get(upstream)
        return None if record is None else record.entry

    def get_incarnation(self, incarnation: str) -> Entry | None:
        """Return the entry of an incarnation; None if unknown or superseded by a later one."""
        return self._incarnations.get(incarnation)

    def records(self, *, since: int = 0) -> tuple[Record, ...]:
        """Return the records that changed after a revision."""
        return tuple(record for record in self._records.values() if record.revision > since)

    def list_told(self, *, since: int = 0) -> tuple[Record, ...]:
        """Return the records that changed after a revision, for a peer that is behind.

        An upstream that is leaving only by its response to this router is told as its entry has it:
        a wrong mark would hide it from all routers until it restarts.
        """
        return tuple(self._without_own_mark(record) for record in self.records(since=since))

    def _without_own_mark(self, record: Record) -> Record:
        entry = record.entry
        if entry.state is not EntryState.LEAVING or entry.incarnation not in self._own_marks:
            return record
        return replace(record, entry=replace(entry, state=EntryState.READY))

    def replace_all(self, records: Iterable[Record], *, revision: int, source: str) -> None:
        """Merge a full list read at `revision`; upstreams that it lacks are removed."""
        self._check_epoch(revision, source)
        listed: set[str] = set()
        for record in records:
            listed.add(record.entry.upstream)
            self.merge(record, source=source)
        self.remove_unlisted(listed, revision=revision, source=source)
        self.note_read_revision(revision)

    def remove_unlisted(self, listed: Collection[str], *, revision: int, source: str) -> int:
        """Remove the upstreams that a full list as of `revision` lacks; return their number."""
        removed = 0
        for upstream, known in tuple(self._records.items()):
            if upstream not in listed and known.revision <= revision:
                gone = Entry(upstream=upstream, state=EntryState.GONE)
                removed += self.merge(Record(revision=revision, entry=gone), source=source)
        self.listed_revision = max(self.listed_revision, revision)
        return removed

    def note_read_revision(self, revision: int) -> None:
        """Record that all changes up to `revision` have been merged from the store."""
        self.read_revision = max(self.read_revision, revision)
        self.loaded.set()

    def note_peer_synced(self) -> None:
        """Record that a peer has sent all the changes that it has."""
        self.loaded.set()

    def note_outage(self) -> None:
        """Record that the store is unavailable."""
        self._grace.note_outage()

    def note_recovered(self, *, silent_ms: int) -> None:
        """Record that the store is available again, after it was silent for `silent_ms`.

        The grace period starts if that is long enough for entries to expire.
        """
        self._grace.note_recovered(silent_ms=silent_ms)

    def merge(self, record: Record, *, source: str, confirmed: bool = False) -> bool:
        """Merge one record; return whether it was newer than the known one and was applied.

        `confirmed` changes were applied by a peer, or outlasted the grace period: a removal among
        them is not deferred.
        """
        upstream = record.entry.upstream
        known = self._records.get(upstream)
        if known is not None and known.revision >= record.revision:
            return confirmed and self._merge_lost_leaving(known, record, source)
        if known is None and confirmed and self._was_removed(record):
            return False
        self._check_epoch(record.revision, source)
        self._newest_revision = max(self._newest_revision, record.revision)
        if known is None:
            return self._merge_first(record, source)
        if record.entry.state is not EntryState.READY and record.entry.started_ms in (
            0,
            known.entry.started_ms,
        ):
            self._own_marks.discard(known.entry.incarnation)
        if not is_relevant(record.entry, known.entry):
            self._store(replace(known, revision=record.revision))
            return False
        removed = record.entry.state is EntryState.GONE
        if removed and not confirmed and self._may_be_expiry(known):
            self._deferred_removals.defer(record, source)
            return False
        if self._may_be_stale_return(known, record):
            self._deferred_returns.defer(record, source)
            return False
        self._deferred_removals.drop(upstream)
        self._deferred_returns.drop(upstream)
        self._apply(known, record, source)
        return True

    def _was_removed(self, record: Record) -> bool:
        """Return whether a peer's entry of an unknown upstream predates a list that lacks it."""
        return record.entry.state is not EntryState.GONE and record.revision <= self.listed_revision

    def _merge_lost_leaving(self, known: Record, record: Record, source: str) -> bool:
        """Mark a ready upstream as leaving if a peer knows so and the store may have lost it."""
        if not self._may_predate_leaving(known, record):
            return False
        leaving = replace(known.entry, state=EntryState.LEAVING)
        self._apply(known, Record(revision=known.revision, entry=leaving), source)
        return True

    def _may_predate_leaving(self, known: Record, record: Record) -> bool:
        """Return whether a ready entry may be the backup's, and so older than a leaving one.

        The backup is older than all that it lacks, so that an entry with a higher number than the
        leaving one was written after the restore. A peer that was there has merged the two: it has
        the leaving state at the revision of the ready entry.
        """
        incarnation = known.entry.incarnation
        if (
            known.entry.state is not EntryState.READY
            or record.entry.state is not EntryState.LEAVING
            or record.entry.incarnation != incarnation
        ):
            return False
        epoch = get_epoch(known.revision)
        if self._returned_in_epoch.get(incarnation) == epoch:
            return False
        if record.revision == known.revision:
            # A store that states no epoch isn't known to have been restored.
            return epoch > 0
        return get_epoch(record.revision) < epoch and get_number(known.revision) < get_number(
            record.revision
        )

    def _merge_first(self, record: Record, source: str) -> bool:
        """Merge the first record of an unknown upstream."""
        match record.entry.state:
            case EntryState.UNUSABLE:
                return False
            case EntryState.GONE:
                self._store(record)
                if self.loaded.is_set() and record.revision > self.listed_revision:
                    for listener in self._unseen_listeners:
                        listener(record.revision)
            case EntryState.READY | EntryState.LEAVING:
                self._apply(None, record, source)
        return True

    def note_leaving(self, incarnation: str, *, source: str) -> None:
        """Mark an incarnation as leaving by its own response, ahead of its entry in the store."""
        self._announced_leaving.add(incarnation)
        entry = self._incarnations.get(incarnation)
        if entry is None or entry.state not in (EntryState.READY, EntryState.UNUSABLE):
            return
        known = self._records[entry.upstream]
        if entry.state is EntryState.READY:
            self._own_marks.add(incarnation)
        leaving = replace(entry, state=EntryState.LEAVING)
        self._apply(known, Record(revision=known.revision, entry=leaving), source)

    def apply_deferred(self) -> None:
        """Apply deferred changes whose grace period is over; called periodically."""
        if self._grace.in_outage:
            return
        waiting = len(self._deferred_removals.upstreams) + len(self._deferred_returns.upstreams)
        self._grace.end_if_over(deferred=waiting)
        for record in self._deferred_removals.take_due():
            self.merge(record, source="lapsed", confirmed=True)
        for record in self._deferred_returns.take_due():
            self.merge(record, source="returned", confirmed=True)

    def on_unseen_removal(self, listener: Callable[[int], None]) -> Remove:
        """Call `listener` with the revision when an upstream is removed that was never seen."""
        self._unseen_listeners.append(listener)
        return lambda: self._unseen_listeners.remove(listener)

    def on_change(self, listener: ChangeListener) -> Remove:
        """Call `listener` with every changed entry."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def _may_be_expiry(self, known: Record | None) -> bool:
        return self._grace.active and known is not None and known.entry.state is EntryState.READY

    def _may_be_stale_return(self, known: Record, record: Record) -> bool:
        """Return whether a ready entry of a removed upstream may be a stale one of the backup."""
        return (
            self._grace.active
            and known.entry.state is EntryState.GONE
            and record.entry.state is EntryState.READY
            and record.entry.started_ms <= known.entry.started_ms
            and known.entry.incarnation not in self._listed_leaving
            and get_epoch(known.revision) < get_epoch(record.revision)
        )

    def _check_epoch(self, revision: int, source: str) -> None:
        """Start the grace period if a new epoch shows that the store was restored from a backup."""
        epoch = get_epoch(revision)
        previous, self._epoch = self._epoch, max(epoch, self._epoch or 0)
        if previous is None or epoch <= previous:
            return
        self._grace.note_restored()
        self._journal.record(
            StoreRestored(epoch=epoch, previous=previous, revision=revision, source=source)
        )

    def _apply(self, known: Record | None, record: Record, source: str) -> None:
        entry = self._resolve_entry(record, known)
        self._store(Record(revision=record.revision, entry=entry))
        if entry.state is EntryState.LEAVING:
            self._listed_leaving.add(entry.incarnation)
        if entry.state is EntryState.GONE:
            self._returned_in_epoch.pop(entry.incarnation, None)
        elif known is not None and known.entry.state is EntryState.GONE:
            self._returned_in_epoch[entry.incarnation] = get_epoch(record.revision)
        if known is not None and known.entry == entry:
            return
        if known is not None and known.entry.incarnation != entry.incarnation:
            self._announce_ended(known.entry, record.revision, source)
        self._incarnations[entry.incarnation] = entry
        self._announce(known, entry, record.revision, source)

    def _store(self, record: Record) -> None:
        self._records[record.entry.upstream] = record
        self.newest_applied_revision = max(self.newest_applied_revision, record.revision)
        self.applied_changes += 1

    def _resolve_entry(self, record: Record, known: Record | None) -> Entry:
        """Return the entry that results from merging a record into the known one."""
        entry = record.entry if known is None else combine(record.entry, known.entry)
        if entry.state is not EntryState.READY:
            return entry
        incarnation = entry.incarnation
        if not self._is_lost_leaving(incarnation, known, record):
            if incarnation not in self._announced_leaving:
                return entry
            self._own_marks.add(incarnation)
        return replace(entry, state=EntryState.LEAVING)

    def _is_lost_leaving(self, incarnation: str, known: Record | None, record: Record) -> bool:
        """Return whether a ready entry may be the backup's, of an incarnation that was leaving.

        An upstream that was leaving by its entry only may become ready again, but not through the
        entries of a backup.
        """
        if known is None or incarnation not in self._listed_leaving:
            return False
        return get_epoch(known.revision) < get_epoch(record.revision)

    def _announce_ended(self, earlier: Entry, revision: int, source: str) -> None:
        """Announce that an incarnation is gone because a later one replaced it."""
        self._incarnations.pop(earlier.incarnation, None)
        self._own_marks.discard(earlier.incarnation)
        self._returned_in_epoch.pop(earlier.incarnation, None)
        if earlier.state is EntryState.GONE:
            return
        gone = Entry(
            upstream=earlier.upstream, state=EntryState.GONE, started_ms=earlier.started_ms
        )
        known = Record(revision=revision, entry=earlier)
        self._announce(known, gone, revision, source)

    def _announce(self, known: Record | None, entry: Entry, revision: int, source: str) -> None:
        shown = entry if entry.address is not None or known is None else known.entry
        self._journal.record(
            UpstreamChanged(
                upstream=entry.incarnation,
                service=shown.service,
                address=str(shown.address),
                state=entry.state.value,
                version=shown.version,
                revision=revision,
                source=source,
            )
        )
        for listener in tuple(self._listeners):
            listener(entry)

    def _dump(self) -> object:
        return {
            "revision": self.read_revision,
            "epoch": self._epoch,
            "in_outage": self._grace.in_outage,
            "deferred_removals": sorted(self._deferred_removals.upstreams),
            "deferred_returns": sorted(self._deferred_returns.upstreams),
            "announced_leaving": sorted(self._announced_leaving),
            "upstreams": [
                {
                    "id": record.entry.upstream,
                    "started_ms": record.entry.started_ms,
                    "service": record.entry.service,
                    "version": record.entry.version,
                    "state": record.entry.state.value,
                    "revision": record.revision,
                }
                for record in self._records.values()
            ],
        }
