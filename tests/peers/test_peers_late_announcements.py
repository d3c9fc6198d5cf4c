"""The age that a watcher states for the list is that of the moment at which it was sent."""

from __future__ import annotations

import pytest
from peer_fleet import PeerFleet

from gypsumrouter.peers.message_delays import SPAN_MS, MessageDelays
from gypsumrouter.published import WatchState
from gypsumrouter.published.watch_state import MAX_PAUSE_MS
from gypsumrouter.util.clock import ManualClock


@pytest.mark.parametrize("held_ms", [500, 1_000, 2_500])
async def test_list_is_as_young_as_announcements_say_that_are_read_late(held_ms: int) -> None:
    fleet = PeerFleet(6)
    await fleet.async_start()
    follower = fleet.routers[5]
    assert not follower.watchers.is_watcher()
    await fleet.async_advance(1_000)
    follower.partitioned = True
    follower.held = []
    await fleet.async_advance(300)
    for router in fleet.routers[:5]:
        router.running = False
    sent_ms = fleet.clock.now_ms()
    await fleet.async_advance(held_ms)
    follower.release()
    # Had the announcements been read at once, the list would be older by now.
    assert follower.state.response_age_ms >= fleet.clock.now_ms() - sent_ms
    await fleet.async_stop()


def test_clocks_of_two_machines_count_as_delay() -> None:
    delays = MessageDelays()
    for number in range(10):
        sent_ms = 1_000_000 + 300 * number
        delay_ms = 40 if number == 7 else 3
        found = delays.get_delay_ms(
            peer="p", incarnation=1, sent_ms=sent_ms, now_ms=5_000 + 300 * number + delay_ms
        )
        assert found == (37 if number == 7 else 0)
    # A new start of the peer has a clock of its own.
    assert delays.get_delay_ms(peer="p", incarnation=2, sent_ms=7, now_ms=9_000) == 0


def test_clocks_that_drift_apart_count_as_delay() -> None:
    delays = MessageDelays()
    drift_per_s, found = 0.05, 0
    for second in range(600):
        now_ms = round(second * 1_000 + second * drift_per_s)
        found = delays.get_delay_ms(peer="p", incarnation=1, sent_ms=second * 1_000, now_ms=now_ms)
    assert found <= 2 * SPAN_MS / 1_000 * drift_per_s + 1


def test_answer_that_is_read_behind_a_pause_makes_the_list_young() -> None:
    clock = ManualClock(now_ms=1_000_000)
    state = WatchState(clock=clock)
    state.note_running()
    clock.advance(MAX_PAUSE_MS)
    state.note_response()
    assert state.response_age_ms == 0
    state.note_running()
    clock.advance(2_000)
    state.note_response()
    assert state.response_age_ms == 2_000
