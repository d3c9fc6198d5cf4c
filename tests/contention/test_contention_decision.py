"""Admission decisions: what is sent, what waits for how long and what is refused at once."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumrouter.contention import Expected, get_hold_ms
from gypsumrouter.contention.const import DEADLINE_SHARE, HOLD_SHARE
from gypsumrouter.contention.decision import Demand, Refuse, Send, Wait, decide, is_in_time
from gypsumrouter.outcomes import Reason


def make_demand(**more: Any) -> Demand:
    return Demand(
        **{"plain": False, "target_ms": 400, "remaining_ms": 4_000, "hold_ms": 200, **more}
    )


def test_request_in_time_for_its_target_is_sent_at_once() -> None:
    """Guards against holding a request that an upstream would serve in time."""
    assert decide(make_demand(), Expected(backlog_ms=200, own_ms=100)) == Send()


def test_request_that_would_be_late_waits_until_its_latest_start() -> None:
    """Guards against a wait after which the target can't be met any more."""
    demand = make_demand(hold_ms=1_000)
    assert decide(demand, Expected(backlog_ms=500, own_ms=150)) == Wait(max_ms=250)


def test_wait_is_limited_to_a_share_of_the_target() -> None:
    demand = make_demand(hold_ms=get_hold_ms(target_ms=400, remaining_ms=4_000))
    assert decide(demand, Expected(backlog_ms=500, own_ms=10)) == Wait(max_ms=int(400 * HOLD_SHARE))


def test_request_that_misses_its_target_on_an_idle_upstream_is_sent() -> None:
    """Guards against a wait that can't gain anything."""
    assert decide(make_demand(), Expected(backlog_ms=100, own_ms=500)) == Send()


def test_request_that_misses_its_deadline_is_refused_at_once() -> None:
    """Guards against requests that are held and then refused."""
    decision = decide(make_demand(remaining_ms=1_000), Expected(backlog_ms=800, own_ms=100))
    assert decision == Refuse(reason=Reason.TARGET_UNATTAINABLE, room_in_ms=101)


def test_requests_ahead_count_against_the_deadline() -> None:
    expected = Expected(backlog_ms=300, own_ms=100)
    demand = make_demand(remaining_ms=1_000, ahead_ms=500, hold_ms=600)
    assert isinstance(decide(demand, expected), Refuse)
    demand = make_demand(remaining_ms=1_000, ahead_ms=300, hold_ms=600)
    assert decide(demand, expected) == Wait(max_ms=300)


def test_request_that_would_wait_in_vain_is_refused_at_once() -> None:
    """Guards against requests that are held for their longest wait and then refused."""
    expected = Expected(backlog_ms=300, own_ms=100)
    assert decide(make_demand(ahead_ms=200), expected) == Wait(max_ms=200)
    decision = decide(make_demand(ahead_ms=250), expected)
    assert decision == Refuse(reason=Reason.TARGET_UNATTAINABLE, room_in_ms=51)


def test_request_in_time_does_not_overtake_those_that_wait() -> None:
    expected = Expected(backlog_ms=0, own_ms=100)
    assert decide(make_demand(ahead_ms=10), expected) == Wait(max_ms=200)


@pytest.mark.parametrize("plain", [False, True])
@given(
    target_ms=st.integers(-1_000, 3_000),
    remaining_ms=st.integers(1, 20_000),
    ahead_ms=st.integers(0, 2_000),
    backlog_ms=st.floats(0, 20_000),
    own_ms=st.floats(0, 2_000),
)
def test_decisions_hold_for_all_inputs(
    plain: bool, target_ms: int, remaining_ms: int, ahead_ms: int, backlog_ms: float, own_ms: float
) -> None:
    """Guards the rules of the page: no late refusal, no useless wait, no held request in time."""
    demand = make_demand(
        plain=plain,
        target_ms=target_ms,
        remaining_ms=remaining_ms,
        ahead_ms=ahead_ms,
        hold_ms=get_hold_ms(target_ms=max(0, target_ms), remaining_ms=remaining_ms),
    )
    expected = Expected(backlog_ms=backlog_ms, own_ms=own_ms)
    match decide(demand, expected):
        case Refuse(room_in_ms=room_in_ms):
            in_vain = 0 < demand.hold_ms < ahead_ms or target_ms - own_ms < ahead_ms
            assert in_vain or expected.total_ms + ahead_ms > remaining_ms * DEADLINE_SHARE
            assert room_in_ms > 0
        case Wait(max_ms=max_ms):
            assert ahead_ms > 0 or not is_in_time(demand, expected)
            assert 0 < max_ms <= target_ms * HOLD_SHARE
            assert max_ms + own_ms <= target_ms
        case Send():
            assert expected.total_ms + ahead_ms <= remaining_ms * DEADLINE_SHARE
