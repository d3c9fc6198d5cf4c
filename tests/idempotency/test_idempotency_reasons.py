"""Each way in which a home answers a call that must not be repeated."""

from __future__ import annotations

import asyncio

import pytest
from idempotency_world import (
    LEASE_MS,
    SKEW_MS,
    WINDOW_MS,
    Side,
    make_call,
    make_instance,
    make_pool,
    make_uuid7,
)

from gypsumrouter.configuration.models import OpaqueKeys
from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.fleet import Address, Instance
from gypsumrouter.idempotency import Join, Replay, Run, find_home, get_call_outcome
from gypsumrouter.idempotency.confirmation import HomeConfirmation
from gypsumrouter.idempotency.const import MAX_ANSWER_BYTES, MAX_TRANSIT_MS
from gypsumrouter.idempotency.homes import Tenure
from gypsumrouter.link.models import Head
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

HEAD = Head(status=201, headers=(("Content-Type", "application/json"),))
BOUND_MS = LEASE_MS + 2 * SKEW_MS


def begin_now(side: Side, *, number: int = 0, age_ms: int = 0) -> Run | Replay | Join | Failure:
    return side.idempotency.begin(make_call(make_uuid7(side.clock.wall_ms() - age_ms, number)))


def get_own(side: Side) -> Instance:
    return make_instance(side.name, side.address)


def get_failure(result: object) -> tuple[type, Reason]:
    assert isinstance(result, Refused | Failed)
    return type(result), result.reason


def test_repeat_gets_the_first_answer_again_even_when_the_home_has_changed(side: Side) -> None:
    call = make_call(make_uuid7(side.clock.wall_ms()))
    run = side.idempotency.begin(call)
    assert isinstance(run, Run)
    assert run.started() is None
    run.finish(HEAD, b"reserved")
    side.read(2)
    assert side.idempotency.begin(call) == Replay(head=HEAD, body=b"reserved")
    assert side.idempotency.recall(call) == Replay(head=HEAD, body=b"reserved")


async def test_repeat_joins_the_running_call_and_gets_its_answer(side: Side) -> None:
    call = make_call(make_uuid7(side.clock.wall_ms()))
    run = side.idempotency.begin(call)
    joins = [side.idempotency.begin(call) for _ in range(2)]
    assert isinstance(run, Run)
    waits = [asyncio.ensure_future(join.async_wait()) for join in joins if isinstance(join, Join)]
    await asyncio.sleep(0)
    waits[0].cancel()
    assert run.started() is None
    run.finish(HEAD, b"reserved")
    assert await waits[1] == Replay(head=HEAD, body=b"reserved")


async def test_joined_call_that_was_not_run_is_refused_and_may_run_later(side: Side) -> None:
    call = make_call(make_uuid7(side.clock.wall_ms()))
    run = side.idempotency.begin(call)
    join = side.idempotency.begin(call)
    assert isinstance(run, Run)
    assert isinstance(join, Join)
    refused = Refused(reason=Reason.OVER_CAP, retry_after_ms=500)
    assert run.not_run(refused) == refused
    assert await join.async_wait() == refused
    assert isinstance(side.idempotency.begin(call), Run)


def test_lost_call_is_never_run_again(side: Side) -> None:
    call = make_call(make_uuid7(side.clock.wall_ms()))
    run = side.idempotency.begin(call)
    assert isinstance(run, Run)
    with run:
        assert run.started() is None
    assert get_failure(side.idempotency.begin(call)) == (Failed, Reason.EARLIER_RUN_UNKNOWN)


def test_run_is_settled_once_and_not_ended_before_its_start(side: Side) -> None:
    run = begin_now(side)
    assert isinstance(run, Run)
    with pytest.raises(InvariantBroken):
        run.finish(HEAD, b"")
    run.not_run(Refused(reason=Reason.OVER_CAP))
    with pytest.raises(InvariantBroken):
        run.not_run(Refused(reason=Reason.OVER_CAP))


def test_same_key_with_another_body_is_refused(side: Side) -> None:
    key = make_uuid7(side.clock.wall_ms())
    side.idempotency.begin(make_call(key))
    result = side.idempotency.begin(make_call(key, body=b"other"))
    assert get_failure(result) == (Refused, Reason.KEY_REUSED)
    other_workspace = make_call(key, body=b"other", workspace="kotlovnica")
    assert isinstance(side.idempotency.begin(other_workspace), Run)


@pytest.mark.parametrize(
    ("age_ms", "expected"),
    [
        (WINDOW_MS, (Failed, Reason.KEY_EXPIRED)),
        (-SKEW_MS - 1, (Refused, Reason.KEY_INVALID)),
    ],
)
def test_time_of_a_key_is_checked(side: Side, age_ms: int, expected: tuple[type, Reason]) -> None:
    assert get_failure(begin_now(side, age_ms=age_ms)) == expected
    assert isinstance(begin_now(side, age_ms=max(age_ms, -2 * SKEW_MS) // 2), Run)


@pytest.mark.parametrize("key", ["", "a b", "ž", "x" * 129])
def test_malformed_keys_are_refused(side: Side, key: str) -> None:
    result = side.idempotency.begin(make_call(key))
    assert isinstance(result, Refused)
    assert result.reason is (Reason.KEY_INVALID if key else Reason.KEY_REQUIRED)


def test_nothing_runs_before_the_first_list_or_the_listener(side: Side) -> None:
    fresh = Side(name="a", address=side.address)
    assert get_failure(begin_now(fresh)) == (Failed, Reason.KEY_OWNER_UNCONFIRMED)


def test_other_instances_key_is_sent_elsewhere(side: Side) -> None:
    other = make_instance("b", Address(host="10.0.0.2", port=7000))
    side.read(2, get_own(side), other)
    wall_ms = side.clock.wall_ms()
    for number in range(16):
        key = make_uuid7(wall_ms, number)
        home = find_home(
            pool="records", workspace="chapin", key=key, instances=(get_own(side), other)
        )
        result = side.idempotency.begin(make_call(key))
        assert isinstance(result, Run if home == "a" else Refused)
        if isinstance(result, Refused):
            assert result.reason is Reason.NOT_KEY_OWNER
            assert result.elsewhere


@pytest.mark.parametrize(
    "listed",
    [
        make_instance("a", Address(host="10.0.0.9", port=7000)),
        make_instance("a", Address(host="10.0.0.1", port=7000), pool="engines"),
    ],
)
def test_list_that_names_another_address_or_pool_for_us_ends_our_home(
    side: Side, listed: Instance
) -> None:
    side.read(2, listed)
    assert get_failure(begin_now(side)) == (Refused, Reason.NOT_KEY_OWNER)
    side.read(3, get_own(side))
    assert get_failure(begin_now(side)) == (Failed, Reason.EARLIER_RUN_UNKNOWN)


def test_old_list_is_not_run_only_where_no_later_home_can_have_run_the_call(side: Side) -> None:
    key = make_uuid7(side.clock.wall_ms())
    side.clock.advance(LEASE_MS)
    early = side.idempotency.begin(make_call(key))
    assert get_failure(early) == (Refused, Reason.KEY_OWNER_UNCONFIRMED)
    side.clock.advance(2 * SKEW_MS + 1)
    assert get_failure(begin_now(side)) == (Failed, Reason.KEY_OWNER_UNCONFIRMED)


def test_lease_is_checked_again_at_the_hand_over(side: Side) -> None:
    run, refused = begin_now(side, number=1), begin_now(side, number=2)
    assert isinstance(run, Run)
    assert isinstance(refused, Run)
    side.clock.advance(LEASE_MS + 2 * SKEW_MS + 1)
    denied = run.started()
    assert denied is not None
    assert denied.reason is Reason.KEY_OWNER_UNCONFIRMED
    side.read(2)
    assert refused.not_run(Refused(reason=Reason.OVER_CAP)).reason is Reason.NOT_KEY_OWNER


def test_key_from_before_the_tenure_is_unknown_and_a_later_one_runs(side: Side) -> None:
    side.read(2)
    side.read(3, get_own(side))
    side.clock.advance(BOUND_MS + 1)
    side.read(3, get_own(side))
    assert get_failure(begin_now(side, age_ms=1)) == (Failed, Reason.EARLIER_RUN_UNKNOWN)
    assert isinstance(begin_now(side), Run)


def skip_a_revision(side: Side) -> None:
    side.clock.advance(1_000)
    side.read(3, get_own(side))


def test_missed_revision_breaks_the_tenure(side: Side) -> None:
    skip_a_revision(side)
    assert get_failure(begin_now(side)) == (Failed, Reason.EARLIER_RUN_UNKNOWN)


def test_missed_revision_would_run_twice_without_the_check(
    side: Side, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Tenure, "_break", lambda self, as_of_ms: None)
    skip_a_revision(side)
    assert isinstance(begin_now(side), Run)


def restart_with_an_old_list(side: Side) -> tuple[Side, str]:
    """Return a side started anew, and a key that its predecessor has run before."""
    key = make_uuid7(side.clock.wall_ms())
    fresh = Side(name=side.name, address=side.address, wall_ms=side.clock.wall_ms())
    fresh.read(1, get_own(side), as_of_ms=fresh.clock.wall_ms() - BOUND_MS - 1)
    fresh.read(1, get_own(side))
    return fresh, key


def test_restart_in_place_does_not_run_what_its_predecessor_may_have_run(side: Side) -> None:
    fresh, key = restart_with_an_old_list(side)
    result = fresh.idempotency.begin(make_call(key))
    assert get_failure(result) == (Failed, Reason.EARLIER_RUN_UNKNOWN)


def test_restart_in_place_would_run_twice_without_the_start_time(
    side: Side, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        HomeConfirmation,
        "_get_bound_ms",
        lambda self, since_ms, floor_ms: self._add_lease(since_ms),
    )
    fresh, key = restart_with_an_old_list(side)
    assert isinstance(fresh.idempotency.begin(make_call(key)), Run)


def test_opaque_key_waits_until_the_home_is_older_than_the_window(side: Side) -> None:
    side.read(2)
    side.read(3, get_own(side))
    call = make_call("order-4711")
    young = side.idempotency.begin(call)
    assert isinstance(young, Failed)
    assert young.reason is Reason.KEY_OWNER_TOO_RECENT
    assert young.retry_after_ms == BOUND_MS + WINDOW_MS + MAX_TRANSIT_MS + 1
    side.clock.advance(young.retry_after_ms)
    side.read(3, get_own(side))
    assert isinstance(side.idempotency.begin(call), Run)


def test_opaque_key_is_refused_where_the_configuration_says_so(side: Side) -> None:
    side.idempotency.configure(make_pool(opaque=OpaqueKeys.REFUSE))
    result = side.idempotency.begin(make_call("order-4711"))
    assert get_failure(result) == (Refused, Reason.KEY_INVALID)


def test_longer_window_does_not_cover_what_was_already_forgotten(side: Side) -> None:
    side.idempotency.configure(make_pool(window_ms=2 * WINDOW_MS))
    result = side.idempotency.begin(make_call("order-4711"))
    assert get_failure(result) == (Failed, Reason.KEY_OWNER_TOO_RECENT)


def test_request_with_an_opaque_key_that_was_held_up_is_not_run(side: Side) -> None:
    received_ms = side.clock.wall_ms() - MAX_TRANSIT_MS - 1
    held_up = side.idempotency.begin(make_call("order-4711"), received_wall_ms=received_ms)
    assert get_failure(held_up) == (Failed, Reason.KEY_EXPIRED)


def test_forgotten_key_is_expired_even_when_the_clock_goes_back(side: Side) -> None:
    key = make_uuid7(side.clock.wall_ms() + SKEW_MS)
    run = side.idempotency.begin(make_call(key))
    assert isinstance(run, Run)
    assert run.started() is None
    run.finish(HEAD, b"")
    side.clock.advance(WINDOW_MS + 3 * SKEW_MS)
    side.clock.shift_wall(-3 * SKEW_MS)
    side.read(1, get_own(side))
    result = side.idempotency.begin(make_call(key))
    assert get_failure(result) == (Failed, Reason.KEY_EXPIRED)


def test_full_memory_refuses_and_never_forgets_early(side: Side) -> None:
    side.idempotency.configure(make_pool(calls=2))
    runs = [begin_now(side, number=number) for number in range(2)]
    for run in runs:
        assert isinstance(run, Run)
        assert run.started() is None
        run.finish(HEAD, b"")
    full = begin_now(side, number=2)
    assert get_failure(full) == (Refused, Reason.CALL_RECORDS_FULL)
    assert isinstance(full, Refused)
    assert full.retry_after_ms
    assert isinstance(begin_now(side, number=0), Replay)
    side.clock.advance(full.retry_after_ms)
    side.read(1, get_own(side))
    assert isinstance(begin_now(side, number=2), Run)


def test_answer_that_is_too_large_is_remembered_as_run_without_it(side: Side) -> None:
    call = make_call(make_uuid7(side.clock.wall_ms()))
    run = side.idempotency.begin(call)
    assert isinstance(run, Run)
    assert run.started() is None
    run.finish(HEAD, b"x" * (MAX_ANSWER_BYTES + 1))
    evicted = side.idempotency.begin(call)
    assert isinstance(evicted, Failed)
    assert evicted.reason is Reason.ANSWER_EVICTED
    assert "201" in evicted.message


def test_stopping_side_starts_nothing_but_tells_what_it_remembers(side: Side) -> None:
    waiting = begin_now(side, number=1)
    assert isinstance(waiting, Run)
    side.app.stopping.set()
    denied = waiting.started()
    assert denied is not None
    assert denied.reason is Reason.LEAVING
    assert get_failure(begin_now(side, number=2)) == (Refused, Reason.LEAVING)


def test_only_the_home_may_say_that_a_call_was_not_run() -> None:
    here = Refused(reason=Reason.OVER_CAP, retry_after_ms=5)
    elsewhere = Refused(reason=Reason.NOT_KEY_OWNER, elsewhere=True)
    assert get_call_outcome(here, from_side=True) == here
    assert isinstance(get_call_outcome(here, from_side=False), Failed)
    assert isinstance(get_call_outcome(elsewhere, from_side=True), Failed)


def test_dump_counts_and_holds_no_keys(side: Side) -> None:
    side.idempotency.begin(make_call("order-4711"))
    dump = side.app.dump()["idempotency"]
    assert isinstance(dump, dict)
    assert dump["remembered"] == dump["running"] == 1
    assert "order-4711" not in str(dump)
