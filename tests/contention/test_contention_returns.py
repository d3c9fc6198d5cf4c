"""The order in which refused requests return."""

from __future__ import annotations

import itertools
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumrouter.contention import FleetPosition, Return, ReturnSchedule
from gypsumrouter.contention.return_lane import (
    DUE_WINDOW_MS,
    EARLY_TOLERANCE_MS,
    KEEP_MS,
    MAX_INTERVAL_MS,
    MIN_RETURN_MS,
)

SERVICE = "records"
LIMIT = 4_096
LONGEST_MS = 4_600
NOW_MS = 10_000
RELEASE_GAPS_MS = st.integers(1, 300)


def make_schedule(*, limit: int = LIMIT, rank: int = 0, routers: int = 1) -> ReturnSchedule:
    position = FleetPosition(rank=rank, routers=routers)
    return ReturnSchedule(limit=limit, get_position=lambda: position)


def reserve(schedule: ReturnSchedule, digest: int, now_ms: int = NOW_MS, **more: Any) -> int:
    values: dict[str, Any] = {
        "service": SERVICE,
        "workspace": "w",
        "room_in_ms": 0,
        "longest_ms": LONGEST_MS,
        **more,
    }
    return schedule.reserve(digest=digest, now_ms=now_ms, **values)


def claim(schedule: ReturnSchedule, digest: int, now_ms: int, workspace: str = "w") -> Return:
    return schedule.claim(digest=digest, workspace=workspace, now_ms=now_ms)


def note_releases(schedule: ReturnSchedule, *, gap_ms: int, now_ms: int = NOW_MS) -> None:
    """Record releases at an even rate for the last 6 s."""
    for at_ms in range(now_ms - 6_000, now_ms, gap_ms):
        schedule.note_release(SERVICE, at_ms)


def test_place_is_kept_once_for_a_caller_that_waits_as_told() -> None:
    schedule = make_schedule()
    due_ms = NOW_MS + reserve(schedule, 1)
    assert claim(schedule, 1, due_ms, workspace="other") is Return.UNKNOWN
    assert claim(schedule, 2, due_ms) is Return.UNKNOWN
    assert claim(schedule, 1, due_ms - EARLY_TOLERANCE_MS) is Return.KEPT
    assert claim(schedule, 1, due_ms) is Return.UNKNOWN


@pytest.mark.parametrize(("late_ms", "kind"), [(0, "kept"), (KEEP_MS, "kept"), (2_001, "unknown")])
def test_place_is_kept_for_a_limited_time(late_ms: int, kind: str) -> None:
    schedule = make_schedule()
    due_ms = NOW_MS + reserve(schedule, 1)
    assert claim(schedule, 1, due_ms + late_ms) == kind
    assert len(schedule) == 0


def test_early_repeat_loses_its_place_to_all_refused_before_it() -> None:
    """A caller that repeats until it is told its time must not get ahead of one that waits."""
    schedule = make_schedule()
    note_releases(schedule, gap_ms=40)
    reserve(schedule, 1)
    due_ms = NOW_MS + reserve(schedule, 2)
    assert claim(schedule, 1, NOW_MS + 6) is Return.EARLY
    assert NOW_MS + 6 + reserve(schedule, 1, NOW_MS + 6) > due_ms
    assert claim(schedule, 1, NOW_MS + 12) is Return.EARLY
    assert claim(schedule, 2, due_ms) is Return.KEPT
    assert claim(schedule, 1, due_ms) is Return.EARLY
    assert claim(schedule, 1, due_ms + 500) is Return.KEPT


def test_return_begins_when_room_is_expected_and_follows_the_releases() -> None:
    schedule = make_schedule()
    note_releases(schedule, gap_ms=40)
    delays_ms = [reserve(schedule, number, room_in_ms=700) for number in range(20)]
    assert delays_ms[0] == 700
    steps_ms = [later - sooner for sooner, later in itertools.pairwise(delays_ms)]
    assert all(36 <= step_ms <= 44 for step_ms in steps_ms)


def test_first_return_is_not_immediate_where_the_time_of_room_is_unknown() -> None:
    assert reserve(make_schedule(), 1) == MIN_RETURN_MS


def test_room_later_than_callers_wait_gives_the_longest_delay() -> None:
    schedule = make_schedule()
    assert {reserve(schedule, n, room_in_ms=9_000, longest_ms=450) for n in range(9)} == {450}
    assert claim(schedule, 0, NOW_MS + 450) is Return.KEPT


def test_without_recent_releases_the_spread_stays_small() -> None:
    """After an outage, callers must not be sent away for as long as the outage lasted."""
    schedule = make_schedule(routers=330)
    note_releases(schedule, gap_ms=40, now_ms=NOW_MS - 60_000)
    delays_ms = [reserve(schedule, number) for number in range(4)]
    assert delays_ms[-1] <= MIN_RETURN_MS + 3 * MAX_INTERVAL_MS


@pytest.mark.parametrize("shift_ms", [0, 7])
def test_returns_of_several_routers_that_refuse_at_once_are_even(shift_ms: int) -> None:
    """Routers that don't know each other's reservations must not send their callers at once."""
    returns_ms = []
    for rank in range(9):
        schedule = make_schedule(rank=rank, routers=9)
        now_ms = NOW_MS + rank % 3 * shift_ms
        note_releases(schedule, gap_ms=45, now_ms=now_ms)
        delays_ms = [reserve(schedule, digest, now_ms) for digest in range(20)]
        returns_ms += [now_ms + delay_ms for delay_ms in delays_ms]
    # All routers together release one every 5 ms: 20 in 100 ms.
    for begin_ms in range(min(returns_ms), max(returns_ms) - 150, 10):
        count = sum(begin_ms <= at_ms < begin_ms + 100 for at_ms in returns_ms)
        assert 16 <= count <= 25


def test_equal_digests_share_one_place() -> None:
    """Requests with equal content, or equal hashes, must neither fail nor use up memory."""
    schedule = make_schedule()
    first_ms = NOW_MS + reserve(schedule, 1)
    second_ms = NOW_MS + reserve(schedule, 1)
    assert second_ms > first_ms
    assert len(schedule) == 1
    assert claim(schedule, 1, first_ms) is Return.KEPT
    assert claim(schedule, 1, second_ms) is Return.UNKNOWN


def test_equal_digest_at_another_service_moves_the_place() -> None:
    schedule = make_schedule()
    reserve(schedule, 1)
    assert claim(schedule, 1, NOW_MS) is Return.EARLY
    due_ms = NOW_MS + reserve(schedule, 1, service="other")
    assert len(schedule) == 1
    assert claim(schedule, 1, due_ms) is Return.KEPT


def test_oldest_places_are_kept_at_the_limit() -> None:
    """A flood of requests must not push out the places of callers that already wait."""
    schedule = make_schedule(limit=8)
    due_ms = NOW_MS + reserve(schedule, 0)
    for digest in range(1, 100):
        assert 0 < reserve(schedule, digest, NOW_MS + 1) <= LONGEST_MS
    assert len(schedule) == 8
    assert schedule.get_position(digest=50, workspace="w") == -1
    assert claim(schedule, 0, due_ms) is Return.KEPT


def test_expired_places_make_room_for_new_ones() -> None:
    schedule = make_schedule(limit=8)
    for digest in range(20):
        reserve(schedule, digest, longest_ms=100)
    later_ms = NOW_MS + 100 + KEEP_MS + 1
    reserve(schedule, 50, later_ms)
    assert len(schedule) == 1
    assert schedule.get_position(digest=50, workspace="w") == 0


def test_unused_services_are_dropped() -> None:
    schedule = make_schedule()
    note_releases(schedule, gap_ms=40)
    reserve(schedule, 1)
    schedule.sweep(NOW_MS + 10)
    assert schedule.dump(NOW_MS + 10).keys() == {SERVICE}
    schedule.sweep(NOW_MS + 60_000)
    assert schedule.dump(NOW_MS + 60_000) == {}
    assert len(schedule) == 0


def test_dump_shows_the_reservations_by_service() -> None:
    schedule = make_schedule()
    note_releases(schedule, gap_ms=40)
    for digest in range(3):
        reserve(schedule, digest)
    claim(schedule, 0, NOW_MS)
    assert schedule.dump(NOW_MS) == {
        SERVICE: {
            "reservations": 3,
            "early": 1,
            "last_in_ms": pytest.approx(130, abs=5),
            "interval_ms": pytest.approx(40, abs=1),
        }
    }


def test_room_is_left_only_for_patient_callers_that_are_due() -> None:
    """Room left for callers that return elsewhere, or too early, would stay idle."""
    schedule = make_schedule()
    due_ms = NOW_MS + reserve(schedule, 1)
    assert not schedule.has_due(SERVICE, NOW_MS)
    assert not schedule.has_due("other", due_ms)
    assert schedule.has_due(SERVICE, due_ms)
    assert schedule.has_due(SERVICE, due_ms + DUE_WINDOW_MS)
    assert not schedule.has_due(SERVICE, due_ms + DUE_WINDOW_MS + 1)
    assert claim(schedule, 1, NOW_MS) is Return.EARLY
    assert not schedule.has_due(SERVICE, due_ms)


Steps = list[tuple[int, int, bool]]
# Time since the step before, expected time of room, and whether a past request is repeated.
STEPS = st.lists(
    st.tuples(st.integers(0, 80), st.integers(0, 6_000), st.booleans()), min_size=1, max_size=60
)


@given(steps=STEPS, gap_ms=RELEASE_GAPS_MS, rank=st.integers(0, 8))
def test_order_of_refusal_is_the_order_of_return(steps: Steps, gap_ms: int, rank: int) -> None:
    schedule = make_schedule(rank=rank, routers=9)
    now_ms, last_ms = NOW_MS, 0
    for digest, (elapsed_ms, room_in_ms, releases) in enumerate(steps):
        now_ms += elapsed_ms
        if releases:
            note_releases(schedule, gap_ms=gap_ms, now_ms=now_ms)
        delay_ms = reserve(schedule, digest, now_ms, room_in_ms=room_in_ms)
        assert 0 < delay_ms <= LONGEST_MS
        assert now_ms + delay_ms >= last_ms
        last_ms = now_ms + delay_ms


@given(steps=STEPS, gap_ms=RELEASE_GAPS_MS, longest_ms=st.integers(1, 1_000))
def test_whoever_waits_as_told_keeps_its_place(steps: Steps, gap_ms: int, longest_ms: int) -> None:
    """This includes callers that are told less than their turn, since they would not wait."""
    schedule = make_schedule()
    note_releases(schedule, gap_ms=gap_ms)
    for digest, (_, room_in_ms, _) in enumerate(steps):
        reserve(schedule, -1 - digest, room_in_ms=0)
        delay_ms = reserve(schedule, digest, room_in_ms=room_in_ms, longest_ms=longest_ms)
        assert claim(schedule, digest, NOW_MS + delay_ms) is Return.KEPT


def play(steps: Steps, *, gap_ms: int, repeating: bool) -> list[tuple[int, int]]:
    """Return time of refusal and Retry-After of the callers that wait.

    Those with an odd digest repeat at once if `repeating`.
    """
    schedule = make_schedule()
    note_releases(schedule, gap_ms=gap_ms)
    now_ms, told = NOW_MS, []
    for digest, (elapsed_ms, room_in_ms, repeats) in enumerate(steps):
        now_ms += elapsed_ms
        delay_ms = reserve(schedule, digest, now_ms, room_in_ms=room_in_ms)
        if digest % 2 == 0:
            told.append((now_ms, delay_ms))
        for _ in range(3 if repeating and repeats and digest % 2 else 0):
            if claim(schedule, digest, now_ms) is Return.EARLY:
                reserve(schedule, digest, now_ms, room_in_ms=room_in_ms)
    return told


@given(steps=STEPS, gap_ms=RELEASE_GAPS_MS)
def test_repeats_at_once_cost_patient_callers_nothing(steps: Steps, gap_ms: int) -> None:
    assert play(steps, gap_ms=gap_ms, repeating=True) == play(steps, gap_ms=gap_ms, repeating=False)


@given(
    steps=STEPS,
    gap_ms=RELEASE_GAPS_MS,
    longest_ms=st.lists(st.integers(1, 5_000), min_size=60, max_size=60),
)
def test_nobody_who_repeats_at_once_overtakes_a_patient_caller(
    steps: Steps, gap_ms: int, longest_ms: list[int]
) -> None:
    """This holds also beside callers that have more time left, and so are told to wait longer."""
    schedule = make_schedule()
    note_releases(schedule, gap_ms=gap_ms)
    reserve(schedule, -1)
    now_ms, patient_due_ms = NOW_MS, 0
    for digest, (elapsed_ms, room_in_ms, _) in enumerate(steps):
        now_ms += elapsed_ms
        delay_ms = reserve(
            schedule, digest, now_ms, room_in_ms=room_in_ms, longest_ms=longest_ms[digest]
        )
        patient_due_ms = max(patient_due_ms, now_ms + delay_ms)
    if claim(schedule, -1, now_ms) is Return.EARLY:
        reserve(schedule, -1, now_ms, longest_ms=longest_ms[0])
        assert claim(schedule, -1, patient_due_ms) is not Return.KEPT


HOSTILE = st.one_of(st.integers(-(10**30), 10**30), st.sampled_from([0, 1, -1, 2**63, -(2**63)]))


@given(
    calls=st.lists(
        st.tuples(
            st.sampled_from(["reserve", "claim", "release", "sweep"]),
            st.integers(0, 12),
            st.integers(0, 100_000),
            HOSTILE,
            HOSTILE,
        ),
        max_size=80,
    )
)
def test_hostile_values_neither_fail_nor_exceed_the_bounds(
    calls: list[tuple[str, int, int, int, int]],
) -> None:
    """The time may go backwards, callers may have no time left and room may be far away."""
    schedule = make_schedule(limit=4)
    for kind, digest, now_ms, room_in_ms, longest_ms in calls:
        match kind:
            case "reserve":
                delay_ms = reserve(
                    schedule, digest, now_ms, room_in_ms=room_in_ms, longest_ms=longest_ms
                )
                assert min(1, max(0, longest_ms)) <= delay_ms <= max(0, longest_ms)
            case "claim":
                claim(schedule, digest, now_ms)
            case "release":
                schedule.note_release(SERVICE, now_ms)
            case _:
                schedule.sweep(now_ms)
        assert len(schedule) <= 4
        schedule.dump(now_ms)
