"""Which losses of the store defer removals, and for how long."""

from __future__ import annotations

import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Record
from gypsumrouter.directory.grace_period import RECOVERY_GRACE_MS
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.published import LIST_RESPONSE_TIMEOUT_MS, LIST_WATCH_TIMEOUT_MS
from gypsumrouter.published.follower import BACKOFF_FIRST_MS
from gypsumrouter.util.clock import ManualClock
from gypsumrouter.util.heartbeats import get_shortest_expiry_ms

HEARTBEAT_MS = 1_200
EXPIRY_MS = get_shortest_expiry_ms(HEARTBEAT_MS)
LOST_MS = 60


class Observed:
    """A directory that knows one ready upstream."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        app = Application(
            name="entry-1", role=Role.FORWARDER, data_centre="a", region="r", clock=self.clock
        )
        self.directory = Directory(app=app, journal=Journal(app=app), heartbeat_ms=HEARTBEAT_MS)
        self._revision = 0
        self.write(EntryState.READY)

    def write(self, state: EntryState) -> None:
        """Merge a change of the upstream from the store."""
        self._revision += 1
        address = None if state is EntryState.GONE else Address(host="10.0.0.1", port=80)
        entry = Entry(upstream="i-1", state=state, service="s", address=address)
        self.directory.merge(Record(revision=self._revision, entry=entry), source="store")

    def lose_store(self, *, silent_ms: int) -> None:
        """Lose the connection to the store for a moment, after it was silent for a time."""
        self.directory.note_outage()
        self.advance(LOST_MS)
        self.directory.note_recovered(silent_ms=silent_ms)

    def advance(self, duration_ms: int) -> None:
        """Advance the clock and settle what is due."""
        self.clock.advance(duration_ms)
        self.directory.apply_deferred()

    def get_state(self) -> EntryState:
        """Return the state of the upstream."""
        entry = self.directory.get("i-1")
        assert entry is not None
        return entry.state


def test_removal_after_a_short_loss_is_applied_at_once() -> None:
    observed = Observed()
    observed.lose_store(silent_ms=EXPIRY_MS - 1)
    observed.write(EntryState.GONE)
    assert observed.get_state() is EntryState.GONE


def test_removal_after_a_silence_in_which_entries_expire_waits_for_the_grace_period() -> None:
    observed = Observed()
    observed.lose_store(silent_ms=EXPIRY_MS)
    observed.write(EntryState.GONE)
    observed.advance(RECOVERY_GRACE_MS - 1)
    assert observed.get_state() is EntryState.READY
    observed.advance(1)
    assert observed.get_state() is EntryState.GONE


@pytest.mark.parametrize("interval_ms", [300, 1_000, 2_000])
def test_short_losses_do_not_start_the_grace_period_anew(interval_ms: int) -> None:
    observed = Observed()
    observed.lose_store(silent_ms=EXPIRY_MS)
    observed.write(EntryState.GONE)
    began_ms = observed.clock.now_ms()
    while observed.get_state() is EntryState.READY:
        observed.advance(interval_ms)
        observed.lose_store(silent_ms=interval_ms + LOST_MS)
    losses = 1 + RECOVERY_GRACE_MS // interval_ms
    most_ms = losses * (interval_ms + LOST_MS)
    assert observed.clock.now_ms() - began_ms <= most_ms


def test_expired_entry_is_kept_while_the_store_is_back_for_moments_only() -> None:
    observed = Observed()
    observed.lose_store(silent_ms=EXPIRY_MS)
    observed.write(EntryState.GONE)
    up_ms, away_ms = 100, 900
    for _ in range(RECOVERY_GRACE_MS // up_ms - 1):
        observed.advance(up_ms)
        observed.directory.note_outage()
        observed.advance(away_ms)
        observed.directory.note_recovered(silent_ms=away_ms)
    assert observed.get_state() is EntryState.READY
    observed.write(EntryState.READY)
    observed.advance(RECOVERY_GRACE_MS)
    assert observed.get_state() is EntryState.READY


def test_silent_connection_is_replaced_before_entries_can_expire() -> None:
    noticed_ms = LIST_WATCH_TIMEOUT_MS + LIST_RESPONSE_TIMEOUT_MS
    assert noticed_ms + 2 * BACKOFF_FIRST_MS < EXPIRY_MS


@pytest.mark.parametrize("responsive_ms", [200, 1_000])
def test_removal_waited_without_a_bound_while_long_silences_recurred(responsive_ms: int) -> None:
    observed = Observed()
    observed.lose_store(silent_ms=EXPIRY_MS)
    observed.write(EntryState.GONE)
    waited_ms = 0
    while observed.get_state() is EntryState.READY:
        observed.advance(responsive_ms)
        waited_ms += responsive_ms
        assert waited_ms <= RECOVERY_GRACE_MS + responsive_ms
        observed.directory.note_outage()
        observed.advance(EXPIRY_MS)
        observed.directory.note_recovered(silent_ms=EXPIRY_MS)


def test_silence_before_it_was_noticed_counted_as_time_to_register() -> None:
    observed = Observed()
    observed.lose_store(silent_ms=EXPIRY_MS)
    observed.write(EntryState.GONE)
    responsive_ms, unnoticed_ms, away_ms = 100, 2_000, 500
    observed.advance(responsive_ms + unnoticed_ms)
    observed.directory.note_outage()
    observed.advance(away_ms)
    observed.directory.note_recovered(silent_ms=unnoticed_ms + away_ms)
    observed.advance(RECOVERY_GRACE_MS - responsive_ms - 1)
    assert observed.get_state() is EntryState.READY
    observed.advance(1)
    assert observed.get_state() is EntryState.GONE
