"""Upstreams and evacuations after the store was restored from a backup.

The backup lacks the last seconds of writes, which are repeated within about two seconds; until then
its stale entries must not undo known changes.
"""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import (
    Directory,
    Entry,
    EntryState,
    Evacuation,
    Evacuations,
    Record,
)
from gypsumrouter.directory.evacuations import RESTORED_GRACE_MS
from gypsumrouter.directory.grace_period import RECOVERY_GRACE_MS
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import ManualClock
from gypsumrouter.util.revisions import get_epoch, get_number, make_revision

READY, LEAVING, GONE = EntryState.READY, EntryState.LEAVING, EntryState.GONE


class Environment:
    """A directory and evacuations on a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        app = Application(
            name="entry-1", role=Role.FORWARDER, data_centre="a", region="r", clock=self.clock
        )
        journal = Journal(app=app)
        self.directory = Directory(app=app, journal=journal)
        self.evacuations = Evacuations(app=app, journal=journal)

    def get_state(self, upstream: str = "i-1") -> EntryState:
        """Return the state of an upstream."""
        entry = self.directory.get(upstream)
        assert entry is not None
        return entry.state

    def advance(self, duration_ms: int) -> None:
        """Advance the clock and apply deferred changes."""
        self.clock.advance(duration_ms)
        self.directory.apply_deferred()
        self.evacuations.apply_deferred()


@pytest.fixture
def env() -> Environment:
    return Environment()


def revision_at(epoch: int, number: int) -> int:
    return make_revision(epoch=epoch, number=number)


def make_record(
    epoch: int, number: int, state: EntryState = READY, upstream: str = "i-1"
) -> Record:
    revision = revision_at(epoch, number)
    if state is GONE:
        return Record(revision=revision, entry=Entry(upstream=upstream, state=state))
    address = Address(host="127.0.0.1", port=80)
    entry = Entry(upstream=upstream, state=state, service="records", address=address)
    return Record(revision=revision, entry=entry)


def make_evacuation(epoch: int, number: int, *, active: bool = True) -> Evacuation:
    return Evacuation(data_centre="dc-a", revision=revision_at(epoch, number), active=active)


def test_later_epoch_orders_after_any_number() -> None:
    assert revision_at(1, 900) < revision_at(2, 1) < revision_at(2, 2)
    assert (get_epoch(revision_at(2, 37)), get_number(revision_at(2, 37))) == (2, 37)


@pytest.mark.parametrize(("epoch", "number"), [(0, -1), (-1, 0), (0, 10**12), (10**6 + 1, 0)])
def test_revision_out_of_range_is_rejected(epoch: int, number: int) -> None:
    with pytest.raises(ValueError, match="revision out of range"):
        revision_at(epoch, number)


def test_leaving_upstream_stays_leaving_until_removed_in_new_epoch(env: Environment) -> None:
    for number, state in ((10, READY), (20, LEAVING), (30, GONE)):
        env.directory.merge(make_record(1, number, state), source="p")
    env.directory.replace_all([make_record(2, 10)], revision=revision_at(2, 15), source="p")
    assert env.get_state() is LEAVING
    env.advance(10 * RECOVERY_GRACE_MS)
    assert env.get_state() is LEAVING
    env.directory.merge(make_record(2, 16, GONE), source="p")
    env.directory.merge(make_record(2, 17), source="p")
    assert env.get_state() is READY


def test_removed_upstream_returns_only_after_grace_period(env: Environment) -> None:
    env.directory.merge(make_record(1, 10), source="p")
    env.directory.merge(make_record(1, 30, GONE), source="p")
    env.directory.replace_all([make_record(2, 10)], revision=revision_at(2, 15), source="p")
    env.advance(RECOVERY_GRACE_MS - 1)
    assert env.get_state() is GONE
    env.advance(1)
    assert env.get_state() is READY


def test_upstream_removed_again_within_grace_period_stays_removed(env: Environment) -> None:
    env.directory.merge(make_record(1, 10), source="p")
    env.directory.merge(make_record(1, 30, GONE), source="p")
    env.directory.replace_all([make_record(2, 10)], revision=revision_at(2, 15), source="p")
    env.directory.merge(make_record(2, 16, GONE), source="p")
    env.advance(2 * RECOVERY_GRACE_MS)
    assert env.get_state() is GONE


def test_peer_with_only_the_backup_does_not_restore_removed_upstream(env: Environment) -> None:
    """A peer that has just started has read only the backup."""
    env.directory.merge(make_record(1, 10), source="p")
    env.directory.merge(make_record(1, 30, GONE), source="p")
    env.directory.merge(make_record(2, 10), source="entry-2", confirmed=True)
    assert env.get_state() is GONE


def test_restarted_upstream_is_ready_at_once(env: Environment) -> None:
    env.directory.merge(make_record(1, 10), source="p")
    env.directory.merge(make_record(1, 30, GONE), source="p")
    address = Address(host="127.0.0.1", port=80)
    entry = Entry(upstream="i-1", state=READY, service="records", address=address, started_ms=5)
    env.directory.merge(Record(revision=revision_at(2, 16), entry=entry), source="p")
    assert env.get_state() is READY


def test_upstream_missing_from_backup_stays_ready_until_registered_again(
    env: Environment,
) -> None:
    """Holds also if this router noticed no outage of the store."""
    env.directory.replace_all(
        [make_record(1, 5, upstream="i-2"), make_record(1, 30)],
        revision=revision_at(1, 30),
        source="p",
    )
    env.directory.replace_all(
        [make_record(2, 5, upstream="i-2")], revision=revision_at(2, 20), source="p"
    )
    assert env.get_state() is READY
    env.directory.merge(make_record(2, 21), source="p")
    env.advance(RECOVERY_GRACE_MS)
    assert env.get_state() is READY


def test_upstream_not_registered_again_is_removed_after_grace_period(env: Environment) -> None:
    env.directory.replace_all([make_record(1, 30)], revision=revision_at(1, 30), source="p")
    env.directory.replace_all([], revision=revision_at(2, 20), source="p")
    env.advance(RECOVERY_GRACE_MS - 1)
    assert env.get_state() is READY
    env.advance(1)
    assert env.get_state() is GONE


def test_leaving_in_new_epoch_applies_despite_lower_number(env: Environment) -> None:
    env.directory.merge(make_record(1, 100), source="p")
    env.directory.merge(make_record(2, 37, LEAVING), source="p")
    assert env.get_state() is LEAVING
    assert env.directory.applied_revision == revision_at(2, 37)


def test_late_changes_of_earlier_epoch_are_ignored(env: Environment) -> None:
    env.directory.merge(make_record(2, 10), source="p")
    assert not env.directory.merge(make_record(1, 100, GONE), source="entry-2", confirmed=True)
    assert env.get_state() is READY


def test_records_since_earlier_epoch_include_all_of_new_epoch(env: Environment) -> None:
    env.directory.replace_all([make_record(1, 10)], revision=revision_at(1, 50), source="p")
    env.directory.replace_all([make_record(2, 10)], revision=revision_at(2, 20), source="p")
    records = env.directory.records(since=revision_at(1, 50))
    assert [r.revision for r in records] == [revision_at(2, 10)]


def test_evacuation_missing_from_backup_stays_active_until_written_again(env: Environment) -> None:
    env.evacuations.merge(make_evacuation(1, 30), source="p")
    env.evacuations.replace_all([], revision=revision_at(2, 20), source="p")
    env.advance(RESTORED_GRACE_MS - 1)
    assert env.evacuations.is_active("dc-a")
    env.evacuations.merge(make_evacuation(2, 21), source="p")
    env.advance(RESTORED_GRACE_MS)
    assert env.evacuations.is_active("dc-a")


def test_evacuation_not_written_again_ends_after_grace_period(env: Environment) -> None:
    env.evacuations.merge(make_evacuation(1, 30), source="p")
    env.evacuations.replace_all([], revision=revision_at(2, 20), source="p")
    env.advance(RESTORED_GRACE_MS)
    assert not env.evacuations.is_active("dc-a")


def test_ended_evacuation_is_not_restored_from_backup(env: Environment) -> None:
    env.evacuations.merge(make_evacuation(1, 30), source="p")
    env.evacuations.merge(make_evacuation(1, 40, active=False), source="p")
    env.evacuations.replace_all([make_evacuation(2, 30)], revision=revision_at(2, 35), source="p")
    assert not env.evacuations.is_active("dc-a")
    env.evacuations.merge(make_evacuation(2, 36, active=False), source="p")
    env.advance(2 * RESTORED_GRACE_MS)
    assert not env.evacuations.is_active("dc-a")


def test_evacuation_begun_in_new_epoch_is_active_at_once(env: Environment) -> None:
    env.evacuations.merge(make_evacuation(1, 40, active=False), source="p")
    env.evacuations.merge(make_evacuation(2, 21), source="p")
    assert env.evacuations.is_active("dc-a")


def test_router_that_starts_on_a_backup_uses_an_upstream_that_its_peers_know_as_leaving(
    env: Environment,
) -> None:
    env.directory.replace_all([make_record(2, 50)], revision=revision_at(2, 50), source="platform")
    env.directory.merge(make_record(1, 60, LEAVING), source="peer", confirmed=True)
    assert env.get_state() is LEAVING


def test_leaving_state_from_a_peer_that_has_merged_the_backup_is_applied(env: Environment) -> None:
    """Guards against a peer's leaving state that counts as known at the backup's revision."""
    env.directory.replace_all([make_record(2, 50)], revision=revision_at(2, 50), source="platform")
    env.directory.merge(make_record(2, 50, LEAVING), source="peer", confirmed=True)
    assert env.get_state() is LEAVING
    env.directory.merge(make_record(2, 55), source="platform")
    assert env.get_state() is LEAVING


def test_ready_entry_written_after_the_restore_stands_against_an_earlier_leaving_state(
    env: Environment,
) -> None:
    env.directory.replace_all([make_record(2, 70)], revision=revision_at(2, 70), source="platform")
    assert not env.directory.merge(make_record(1, 60, LEAVING), source="peer", confirmed=True)
    assert env.get_state() is READY


def test_upstream_that_returned_after_the_restore_stands_against_an_earlier_leaving_state(
    env: Environment,
) -> None:
    env.directory.replace_all([make_record(2, 50)], revision=revision_at(2, 50), source="platform")
    env.directory.merge(make_record(2, 51, GONE), source="platform")
    env.directory.merge(make_record(2, 52), source="platform")
    for leaving in (make_record(1, 60, LEAVING), make_record(2, 52, LEAVING)):
        assert not env.directory.merge(leaving, source="peer", confirmed=True)
    assert env.get_state() is READY


def test_restarted_upstream_stands_against_the_leaving_state_of_its_earlier_start(
    env: Environment,
) -> None:
    ready, leaving = make_record(2, 50), make_record(1, 60, LEAVING)
    later = Record(revision=ready.revision, entry=replace(ready.entry, started_ms=6))
    earlier = Record(revision=leaving.revision, entry=replace(leaving.entry, started_ms=5))
    env.directory.replace_all([later], revision=revision_at(2, 50), source="platform")
    assert not env.directory.merge(earlier, source="peer", confirmed=True)
    assert env.get_state() is READY


def test_leaving_lost_by_the_store_is_removed_by_its_next_write(env: Environment) -> None:
    env.directory.replace_all([make_record(2, 50)], revision=revision_at(2, 50), source="platform")
    env.directory.merge(make_record(1, 60, LEAVING), source="peer", confirmed=True)
    env.directory.merge(make_record(2, 51, GONE), source="platform", confirmed=True)
    env.directory.merge(make_record(2, 52), source="platform")
    assert env.get_state() is READY
