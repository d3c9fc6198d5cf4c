"""Upstreams that start again under their ids, and entries that cannot be read."""

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

BORN_MS = 1_760_000_000_000
ADDRESS = Address(host="127.0.0.1", port=80)
UPSTREAMS = ("i-1", "i-2", "i-3")


class Watcher:
    """A directory, and what its listeners were told."""

    def __init__(self) -> None:
        app = Application(
            name="entry-1",
            role=Role.FORWARDER,
            data_centre="a",
            region="r",
            clock=ManualClock(),
        )
        self.directory = Directory(app=app, journal=Journal(app=app))
        self.told: list[Entry] = []
        self.directory.on_change(self.told.append)

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


def test_a_new_start_is_another_incarnation_and_the_one_before_it_is_gone() -> None:
    watcher = Watcher()
    watcher.merge(1, started_ms=BORN_MS)
    watcher.merge(2, started_ms=BORN_MS + 900)
    first, gone, second = watcher.told
    assert (gone.incarnation, gone.state) == (first.incarnation, EntryState.GONE)
    assert second.incarnation != first.incarnation
    assert watcher.directory.get_incarnation(first.incarnation) is None
    assert watcher.directory.get_incarnation(second.incarnation) == second


def test_a_new_start_of_an_upstream_that_was_leaving_takes_work() -> None:
    watcher = Watcher()
    watcher.merge(1, EntryState.LEAVING, started_ms=BORN_MS)
    watcher.merge(2, started_ms=BORN_MS)
    assert watcher.get_state() is EntryState.LEAVING
    watcher.merge(3, started_ms=BORN_MS + 1)
    assert watcher.get_state() is EntryState.READY


def test_late_words_of_an_earlier_start_change_nothing() -> None:
    watcher = Watcher()
    watcher.merge(1, started_ms=BORN_MS)
    watcher.merge(2, started_ms=BORN_MS + 900)
    told = list(watcher.told)
    watcher.merge(3, EntryState.LEAVING, started_ms=BORN_MS)
    watcher.merge(4, started_ms=BORN_MS)
    assert watcher.told == told
    assert watcher.get_state() is EntryState.READY


def test_an_entry_that_does_not_tell_its_start_is_of_the_start_that_is_known() -> None:
    watcher = Watcher()
    watcher.merge(1, started_ms=BORN_MS)
    watcher.merge(2, EntryState.LEAVING)
    entry = watcher.directory.get("i-1")
    assert entry is not None
    assert (entry.state, entry.started_ms) == (EntryState.LEAVING, BORN_MS)


def test_a_start_that_comes_back_after_its_entry_lapsed_is_the_same_one() -> None:
    watcher = Watcher()
    watcher.merge(1, started_ms=BORN_MS)
    watcher.merge(2, EntryState.GONE)
    watcher.merge(3, started_ms=BORN_MS)
    assert len({entry.incarnation for entry in watcher.told}) == 1
    assert watcher.get_state() is EntryState.READY


@pytest.mark.parametrize("known", [EntryState.LEAVING, EntryState.GONE])
def test_an_unreadable_entry_does_not_bring_an_upstream_back(known: EntryState) -> None:
    watcher = Watcher()
    watcher.merge(1)
    watcher.merge(2, known)
    watcher.merge(3, EntryState.UNUSABLE)
    assert watcher.get_state() is known


def test_an_upstream_with_an_unreadable_entry_rests_until_a_readable_one() -> None:
    watcher = Watcher()
    watcher.merge(1)
    watcher.merge(2, EntryState.UNUSABLE)
    assert watcher.get_state() is EntryState.UNUSABLE
    watcher.merge(3)
    assert watcher.get_state() is EntryState.READY


def test_an_unreadable_entry_of_an_unknown_upstream_names_none() -> None:
    watcher = Watcher()
    watcher.merge(1, EntryState.UNUSABLE)
    assert watcher.directory.get("i-1") is None
    assert not watcher.told


def test_of_two_entries_of_one_list_for_an_id_the_newer_revision_counts() -> None:
    watcher = Watcher()
    records = [
        make_record("i-1", 5, EntryState.LEAVING, BORN_MS),
        make_record("i-1", 4, EntryState.READY, BORN_MS),
    ]
    watcher.directory.replace_all(records, revision=6, source="p")
    assert watcher.get_state() is EntryState.LEAVING


def test_an_incarnation_is_named_alike_by_all_routers() -> None:
    assert name_incarnation(upstream="i-1", started_ms=0) == "i-1"
    names = {name_incarnation(upstream="i-1", started_ms=BORN_MS + n) for n in range(5_000)}
    assert len(names) == 5_000
    assert all(len(name) == len("i-1~00000") for name in names)


def test_a_removal_in_doubt_leaves_a_router_behind_those_that_are_sure_of_it() -> None:
    """A router that was cut off alone asks peers, for which the removal is no lapse."""
    watcher = Watcher()
    watcher.merge(3)
    watcher.directory.note_outage()
    watcher.directory.note_recovered()
    watcher.directory.replace_all([], revision=20, source="p")
    assert watcher.get_state() is EntryState.READY
    assert watcher.directory.applied_revision == 3
    gone = make_record("i-1", 15, EntryState.GONE, 0)
    assert watcher.directory.merge(gone, source="entry-2", confirmed=True)
    assert watcher.get_state() is EntryState.GONE
    assert watcher.directory.applied_revision == 20


class BirthsMachine(RuleBasedStateMachine):
    """Entries in the order of their revisions against a model of one line for each case."""

    def __init__(self) -> None:
        super().__init__()
        self.watcher = Watcher()
        self.revision = 0
        self.model: dict[str, tuple[EntryState, int]] = {}
        self.ended: set[str] = set()

    @rule(
        upstream=st.sampled_from(UPSTREAMS),
        state=st.sampled_from(list(EntryState)),
        born=st.integers(min_value=0, max_value=4),
    )
    def merge(self, upstream: str, state: EntryState, born: int) -> None:
        """Take the next change of the store."""
        self.revision += 1
        started_ms = 0 if born == 0 else BORN_MS + born
        record = make_record(upstream, self.revision, state, started_ms)
        self.watcher.directory.merge(record, source="p")
        self._predict(upstream, state, record.entry.started_ms)

    @rule(upstream=st.sampled_from(UPSTREAMS), state=st.sampled_from(list(EntryState)))
    def repeat(self, upstream: str, state: EntryState) -> None:
        """Take news that a peer tells late; their revision is not new."""
        record = make_record(upstream, max(1, self.revision), state, BORN_MS + 9)
        if upstream in self.model and record.revision <= self._known_revision(upstream):
            assert not self.watcher.directory.merge(record, source="q")

    @invariant()
    def agrees_with_the_model(self) -> None:
        """Each upstream has the state and the start that the model expects."""
        for upstream, (state, started_ms) in self.model.items():
            entry = self.watcher.directory.get(upstream)
            assert entry is not None
            assert (entry.state, entry.started_ms) == (state, started_ms)

    @invariant()
    def a_start_that_ended_for_a_later_one_never_comes_back(self) -> None:
        """Listeners never hear of an earlier start after a later one."""
        born: dict[str, int] = {}
        for entry in self.watcher.told:
            if entry.state is not EntryState.GONE:
                assert entry.started_ms >= born.get(entry.upstream, 0)
                born[entry.upstream] = entry.started_ms

    def _known_revision(self, upstream: str) -> int:
        return max(
            r.revision for r in self.watcher.directory.records() if r.entry.upstream == upstream
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


TestBirthsMachine = BirthsMachine.TestCase
TestBirthsMachine.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
)
