"""The list of upstreams with expired entries, late changes and peers with other revisions."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.structs import replace

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Record
from gypsumrouter.directory.grace_period import RECOVERY_GRACE_MS
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import ManualClock

# Long enough for the entries of upstreams to expire.
LONG_SILENCE_MS = 60_000
UPSTREAMS = st.sampled_from(["i-1", "i-2", "i-3"])
RANK = {
    EntryState.READY: 0,
    EntryState.UNUSABLE: 0,
    EntryState.LEAVING: 1,
    EntryState.GONE: 2,
}


def make_directory(clock: ManualClock) -> Directory:
    app = Application(name="entry-1", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
    return Directory(app=app, journal=Journal(app=app))


def make_record(upstream: str, revision: int, state: EntryState = EntryState.READY) -> Record:
    if state is EntryState.GONE:
        return Record(revision=revision, entry=Entry(upstream=upstream, state=state))
    address = Address(host="127.0.0.1", port=80)
    entry = Entry(upstream=upstream, state=state, service="records", address=address)
    return Record(revision=revision, entry=entry)


def test_full_list_removes_missing_upstreams() -> None:
    directory = make_directory(ManualClock())
    directory.replace_all([make_record("i-1", 1), make_record("i-2", 2)], revision=5, source="p")
    directory.replace_all([make_record("i-1", 1)], revision=9, source="p")
    gone = directory.get("i-2")
    assert gone is not None
    assert gone.state is EntryState.GONE


def test_removal_during_outage_is_deferred_until_grace_period_ends() -> None:
    clock = ManualClock()
    directory = make_directory(clock)
    directory.merge(make_record("i-1", 1), source="p")
    directory.note_outage()
    directory.merge(make_record("i-1", 2, EntryState.GONE), source="p")
    clock.advance(60_000)
    directory.apply_deferred()
    assert _get_state(directory, "i-1") is EntryState.READY
    directory.note_recovered(silent_ms=LONG_SILENCE_MS)
    clock.advance(RECOVERY_GRACE_MS - 1)
    directory.apply_deferred()
    assert _get_state(directory, "i-1") is EntryState.READY
    clock.advance(1)
    directory.apply_deferred()
    assert _get_state(directory, "i-1") is EntryState.GONE


def test_upstream_listed_again_within_grace_period_stays_ready() -> None:
    clock = ManualClock()
    directory = make_directory(clock)
    directory.merge(make_record("i-1", 1), source="p")
    directory.note_outage()
    directory.merge(make_record("i-1", 2, EntryState.GONE), source="p")
    directory.note_recovered(silent_ms=LONG_SILENCE_MS)
    directory.merge(make_record("i-1", 3), source="p")
    clock.advance(RECOVERY_GRACE_MS)
    directory.apply_deferred()
    assert _get_state(directory, "i-1") is EntryState.READY


def test_leaving_is_applied_at_once_during_outage() -> None:
    directory = make_directory(ManualClock())
    directory.merge(make_record("i-1", 1), source="p")
    directory.note_outage()
    directory.merge(make_record("i-1", 2, EntryState.LEAVING), source="entry-2")
    assert _get_state(directory, "i-1") is EntryState.LEAVING


def test_confirmed_removal_is_applied_during_outage() -> None:
    directory = make_directory(ManualClock())
    directory.merge(make_record("i-1", 1), source="p")
    directory.note_outage()
    directory.merge(make_record("i-1", 2, EntryState.GONE), source="entry-2", confirmed=True)
    assert _get_state(directory, "i-1") is EntryState.GONE


def test_announced_leaving_is_not_undone_by_entries() -> None:
    directory = make_directory(ManualClock())
    directory.merge(make_record("i-1", 1), source="p")
    directory.note_leaving("i-1", source="answer")
    assert _get_state(directory, "i-1") is EntryState.LEAVING
    directory.merge(make_record("i-1", 2), source="p")
    assert _get_state(directory, "i-1") is EntryState.LEAVING
    directory.merge(make_record("i-1", 3, EntryState.GONE), source="p")
    directory.merge(make_record("i-1", 4), source="p")
    assert _get_state(directory, "i-1") is EntryState.LEAVING


def test_announced_leaving_notifies_once_and_keeps_revision() -> None:
    directory = make_directory(ManualClock())
    directory.merge(make_record("i-1", 1), source="p")
    states: list[EntryState] = []
    directory.on_change(lambda entry: states.append(entry.state))
    for _ in range(3):
        directory.note_leaving("i-1", source="answer")
    assert states == [EntryState.LEAVING]
    assert directory.applied_revision == 1


def test_announced_leaving_applies_to_a_later_entry() -> None:
    directory = make_directory(ManualClock())
    directory.note_leaving("i-1", source="answer")
    directory.merge(make_record("i-1", 1), source="p")
    assert _get_state(directory, "i-1") is EntryState.LEAVING
    directory.merge(make_record("i-1", 2), source="p")
    assert _get_state(directory, "i-1") is EntryState.LEAVING


def test_restart_after_announced_leaving_is_ready() -> None:
    directory = make_directory(ManualClock())
    directory.merge(make_record("i-1", 1), source="p")
    directory.note_leaving("i-1", source="answer")
    entry = replace(make_record("i-1", 2).entry, started_ms=5)
    directory.merge(Record(revision=2, entry=entry), source="p")
    assert _get_state(directory, "i-1") is EntryState.READY


def _get_state(directory: Directory, upstream: str) -> EntryState:
    entry = directory.get(upstream)
    assert entry is not None
    return entry.state


class DirectoryMachine(RuleBasedStateMachine):
    """Merges changes in any order; leaving is final and outdated changes are ignored."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.directory = make_directory(self.clock)
        self.last_rank: dict[str, int] = {}

    @rule(
        upstream=UPSTREAMS,
        revision=st.integers(min_value=1, max_value=30),
        state=st.sampled_from(list(EntryState)),
    )
    def merge(self, upstream: str, revision: int, state: EntryState) -> None:
        """Merge a change from the store or a peer."""
        known = {r.entry.upstream: r.revision for r in self.directory.records()}
        changed = self.directory.merge(make_record(upstream, revision, state), source="p")
        if known.get(upstream, 0) >= revision:
            assert not changed

    @rule()
    def lose_store(self) -> None:
        """Start an outage of the store."""
        self.directory.note_outage()

    @rule(
        silent_ms=st.sampled_from((0, LONG_SILENCE_MS)),
        pause_ms=st.integers(min_value=0, max_value=2 * RECOVERY_GRACE_MS),
    )
    def regain_store(self, silent_ms: int, pause_ms: int) -> None:
        """End the outage and advance the clock."""
        self.directory.note_recovered(silent_ms=silent_ms)
        self.clock.advance(pause_ms)
        self.directory.apply_deferred()

    @invariant()
    def leaving_is_final(self) -> None:
        """An upstream that is leaving is never ready again."""
        for record in self.directory.records():
            rank = RANK[record.entry.state]
            was_leaving = self.last_rank.get(record.entry.upstream, 0) == RANK[EntryState.LEAVING]
            assert not (was_leaving and rank == RANK[EntryState.READY])
            self.last_rank[record.entry.upstream] = rank


TestDirectoryMachine = DirectoryMachine.TestCase
TestDirectoryMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
