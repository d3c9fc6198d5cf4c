"""Restarted upstreams are new incarnations, and unreadable entries end no upstream."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Record, name_incarnation
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import ManualClock

STARTED_MS = 1_760_000_000_000
ADDRESS = Address(host="127.0.0.1", port=80)
UPSTREAMS = ("i-1", "i-2", "i-3")


class ObservedDirectory:
    """A directory that records the changes it reports."""

    def __init__(self) -> None:
        app = Application(
            name="entry-1",
            role=Role.FORWARDER,
            data_centre="a",
            region="r",
            clock=ManualClock(),
        )
        self.directory = Directory(app=app, journal=Journal(app=app))
        self.changes: list[Entry] = []
        self.directory.on_change(self.changes.append)

    def merge(
        self, revision: int, state: EntryState = EntryState.READY, *, started_ms: int = 0
    ) -> None:
        """Merge an entry of the first upstream."""
        self.directory.merge(make_record("i-1", revision, state, started_ms), source="p")

    def get_state(self) -> EntryState:
        """Return the state of the first upstream."""
        entry = self.directory.get("i-1")
        assert entry is not None
        return entry.state


def make_record(upstream: str, revision: int, state: EntryState, started_ms: int) -> Record:
    if state in (EntryState.GONE, EntryState.UNUSABLE):
        return Record(revision=revision, entry=Entry(upstream=upstream, state=state))
    entry = Entry(
        upstream=upstream, state=state, service="records", address=ADDRESS, started_ms=started_ms
    )
    return Record(revision=revision, entry=entry)


def test_restart_ends_previous_incarnation() -> None:
    observed = ObservedDirectory()
    observed.merge(1, started_ms=STARTED_MS)
    observed.merge(2, started_ms=STARTED_MS + 900)
    first, gone, second = observed.changes
    assert (gone.incarnation, gone.state) == (first.incarnation, EntryState.GONE)
    assert second.incarnation != first.incarnation
    assert observed.directory.get_incarnation(first.incarnation) is None
    assert observed.directory.get_incarnation(second.incarnation) == second


def test_restart_of_leaving_upstream_is_ready() -> None:
    observed = ObservedDirectory()
    observed.merge(1, EntryState.LEAVING, started_ms=STARTED_MS)
    observed.merge(2, started_ms=STARTED_MS)
    assert observed.get_state() is EntryState.LEAVING
    observed.merge(3, started_ms=STARTED_MS + 1)
    assert observed.get_state() is EntryState.READY


def test_late_entries_of_previous_incarnation_are_ignored() -> None:
    observed = ObservedDirectory()
    observed.merge(1, started_ms=STARTED_MS)
    observed.merge(2, started_ms=STARTED_MS + 900)
    changes = list(observed.changes)
    observed.merge(3, EntryState.LEAVING, started_ms=STARTED_MS)
    observed.merge(4, started_ms=STARTED_MS)
    assert observed.changes == changes
    assert observed.get_state() is EntryState.READY


def test_entry_without_start_time_belongs_to_known_incarnation() -> None:
    observed = ObservedDirectory()
    observed.merge(1, started_ms=STARTED_MS)
    observed.merge(2, EntryState.LEAVING)
    entry = observed.directory.get("i-1")
    assert entry is not None
    assert (entry.state, entry.started_ms) == (EntryState.LEAVING, STARTED_MS)


def test_incarnation_returning_after_expiry_keeps_its_name() -> None:
    observed = ObservedDirectory()
    observed.merge(1, started_ms=STARTED_MS)
    observed.merge(2, EntryState.GONE)
    observed.merge(3, started_ms=STARTED_MS)
    assert len({entry.incarnation for entry in observed.changes}) == 1
    assert observed.get_state() is EntryState.READY


@pytest.mark.parametrize("known", [EntryState.LEAVING, EntryState.GONE])
def test_unreadable_entry_keeps_leaving_or_removed_state(known: EntryState) -> None:
    observed = ObservedDirectory()
    observed.merge(1)
    observed.merge(2, known)
    observed.merge(3, EntryState.UNUSABLE)
    assert observed.get_state() is known


def test_unreadable_entry_makes_upstream_unusable_until_a_valid_one() -> None:
    observed = ObservedDirectory()
    observed.merge(1)
    observed.merge(2, EntryState.UNUSABLE)
    assert observed.get_state() is EntryState.UNUSABLE
    observed.merge(3)
    assert observed.get_state() is EntryState.READY


def test_unreadable_entry_of_unknown_upstream_is_ignored() -> None:
    observed = ObservedDirectory()
    observed.merge(1, EntryState.UNUSABLE)
    assert observed.directory.get("i-1") is None
    assert not observed.changes


def test_highest_revision_wins_within_a_list() -> None:
    observed = ObservedDirectory()
    records = [
        make_record("i-1", 5, EntryState.LEAVING, STARTED_MS),
        make_record("i-1", 4, EntryState.READY, STARTED_MS),
    ]
    observed.directory.replace_all(records, revision=6, source="p")
    assert observed.get_state() is EntryState.LEAVING


def test_incarnation_names_are_deterministic_and_distinct() -> None:
    assert name_incarnation(upstream="i-1", started_ms=0) == "i-1"
    names = {name_incarnation(upstream="i-1", started_ms=STARTED_MS + n) for n in range(5_000)}
    assert len(names) == 5_000
    assert all(len(name) == len("i-1~00000") for name in names)


def test_applied_revision_stays_before_deferred_removal() -> None:
    """A router that alone lost the store must receive the confirmed removal from its peers."""
    observed = ObservedDirectory()
    observed.merge(3)
    observed.directory.note_outage()
    observed.directory.note_recovered(silent_ms=60_000)
    observed.directory.replace_all([], revision=20, source="p")
    assert observed.get_state() is EntryState.READY
    assert observed.directory.applied_revision == 3
    gone = make_record("i-1", 15, EntryState.GONE, 0)
    assert observed.directory.merge(gone, source="entry-2", confirmed=True)
    assert observed.get_state() is EntryState.GONE
    assert observed.directory.applied_revision == 20


class IncarnationsMachine(RuleBasedStateMachine):
    """Merges entries in the order of their revisions and compares with a simple model."""

    def __init__(self) -> None:
        super().__init__()
        self.observed = ObservedDirectory()
        self.revision = 0
        self.model: dict[str, tuple[EntryState, int]] = {}
        self.ended: set[str] = set()

    @rule(
        upstream=st.sampled_from(UPSTREAMS),
        state=st.sampled_from(list(EntryState)),
        start=st.integers(min_value=0, max_value=4),
    )
    def merge(self, upstream: str, state: EntryState, start: int) -> None:
        """Merge the next change of the store."""
        self.revision += 1
        started_ms = 0 if start == 0 else STARTED_MS + start
        record = make_record(upstream, self.revision, state, started_ms)
        self.observed.directory.merge(record, source="p")
        self._predict(upstream, state, record.entry.started_ms)

    @rule(upstream=st.sampled_from(UPSTREAMS), state=st.sampled_from(list(EntryState)))
    def repeat(self, upstream: str, state: EntryState) -> None:
        """Merge an outdated change from a peer; it must be ignored."""
        record = make_record(upstream, max(1, self.revision), state, STARTED_MS + 9)
        if upstream in self.model and record.revision <= self._get_revision(upstream):
            assert not self.observed.directory.merge(record, source="q")

    @invariant()
    def matches_model(self) -> None:
        """Each upstream has the state and start time that the model predicts."""
        for upstream, (state, started_ms) in self.model.items():
            entry = self.observed.directory.get(upstream)
            assert entry is not None
            assert (entry.state, entry.started_ms) == (state, started_ms)

    @invariant()
    def previous_incarnation_never_returns(self) -> None:
        """Listeners are never called for an earlier incarnation after a later one."""
        latest_ms: dict[str, int] = {}
        for entry in self.observed.changes:
            if entry.state is not EntryState.GONE:
                assert entry.started_ms >= latest_ms.get(entry.upstream, 0)
                latest_ms[entry.upstream] = entry.started_ms

    def _get_revision(self, upstream: str) -> int:
        return max(
            r.revision for r in self.observed.directory.records() if r.entry.upstream == upstream
        )

    def _predict(self, upstream: str, state: EntryState, started_ms: int) -> None:
        if upstream not in self.model:
            if state is not EntryState.UNUSABLE:
                self.model[upstream] = (state, started_ms)
            return
        known, known_ms = self.model[upstream]
        if 0 < started_ms < known_ms:
            return
        if started_ms > known_ms:
            self.model[upstream] = (state, started_ms)
            return
        if state is EntryState.UNUSABLE and known is not EntryState.READY:
            return
        if known is EntryState.LEAVING and state is EntryState.READY:
            return
        self.model[upstream] = (state, known_ms)


TestIncarnationsMachine = IncarnationsMachine.TestCase
TestIncarnationsMachine.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
)
