"""Tests of each outcome of beginning an at-most-once call."""

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
from gypsumrouter.idempotency import Join, Replay, Run, find_owner, get_call_outcome
from gypsumrouter.idempotency.const import MAX_ANSWER_BYTES, MAX_TRANSIT_MS
from gypsumrouter.idempotency.ownership import OwnershipHistory
from gypsumrouter.idempotency.ownership_checks import OwnershipChecks
from gypsumrouter.link.models import Head
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

HEAD = Head(status=201, headers=(("Content-Type", "application/json"),))
NEW_OWNER_DELAY_MS = LEASE_MS + 2 * SKEW_MS


def begin_now(side: Side, *, number: int = 0, age_ms: int = 0) -> Run | Replay | Join | Failure:
    return side.idempotency.begin(make_call(make_uuid7(side.clock.wall_ms() - age_ms, number)))


def get_own(side: Side) -> Instance:
    return make_instance(side.name, side.address)


def get_failure(result: object) -> tuple[type, Reason]:
    assert isinstance(result, Refused | Failed)
    return type(result), result.reason


def test_repeat_replays_stored_response_after_change_of_owner(side: Side) -> None:
    call = make_call(make_uuid7(side.clock.wall_ms()))
    run = side.idempotency.begin(call)
    assert isinstance(run, Run)
    assert run.authorize() is None
    run.finish(HEAD, b"reserved")
    side.read(2)
    assert side.idempotency.begin(call) == Replay(head=HEAD, body=b"reserved")
    assert side.idempotency.lookup(call) == Replay(head=HEAD, body=b"reserved")


async def test_repeat_joins_running_call_and_gets_its_response(side: Side) -> None:
    call = make_call(make_uuid7(side.clock.wall_ms()))
    run = side.idempotency.begin(call)
    joins = [side.idempotency.begin(call) for _ in range(2)]
    assert isinstance(run, Run)
    waits = [asyncio.ensure_future(join.async_wait()) for join in joins if isinstance(join, Join)]
    await asyncio.sleep(0)
    waits[0].cancel()
    assert run.authorize() is None
    run.finish(HEAD, b"reserved")
    assert await waits[1] == Replay(head=HEAD, body=b"reserved")


async def test_joined_call_that_was_cancelled_is_refused_and_may_run_later(side: Side) -> None:
    call = make_call(make_uuid7(side.clock.wall_ms()))
    run = side.idempotency.begin(call)
    join = side.idempotency.begin(call)
    assert isinstance(run, Run)
    assert isinstance(join, Join)
    refused = Refused(reason=Reason.OVER_CAP, retry_after_ms=500)
    assert run.cancel(refused) == refused
    assert await join.async_wait() == refused
    assert isinstance(side.idempotency.begin(call), Run)


def test_call_with_lost_response_is_not_run_again(side: Side) -> None:
    call = make_call(make_uuid7(side.clock.wall_ms()))
    run = side.idempotency.begin(call)
    assert isinstance(run, Run)
    with run:
        assert run.authorize() is None
    assert get_failure(side.idempotency.begin(call)) == (Failed, Reason.EARLIER_RUN_UNKNOWN)


def test_run_accepts_one_outcome_and_none_before_authorization(side: Side) -> None:
    run = begin_now(side)
    assert isinstance(run, Run)
    with pytest.raises(InvariantBroken):
        run.finish(HEAD, b"")
    run.cancel(Refused(reason=Reason.OVER_CAP))
    with pytest.raises(InvariantBroken):
        run.cancel(Refused(reason=Reason.OVER_CAP))


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
def test_expired_and_future_keys_are_rejected(
    side: Side, age_ms: int, expected: tuple[type, Reason]
) -> None:
    assert get_failure(begin_now(side, age_ms=age_ms)) == expected
    assert isinstance(begin_now(side, age_ms=max(age_ms, -2 * SKEW_MS) // 2), Run)


@pytest.mark.parametrize("key", ["", "a b", "ž", "x" * 129])
def test_malformed_keys_are_refused(side: Side, key: str) -> None:
    result = side.idempotency.begin(make_call(key))
    assert isinstance(result, Refused)
    assert result.reason is (Reason.KEY_INVALID if key else Reason.KEY_REQUIRED)


def test_nothing_runs_before_first_list(side: Side) -> None:
    fresh = Side(name="a", address=side.address)
    assert get_failure(begin_now(fresh)) == (Failed, Reason.KEY_OWNER_UNCONFIRMED)


def test_key_of_another_owner_is_refused_with_elsewhere(side: Side) -> None:
    other = make_instance("b", Address(host="10.0.0.2", port=7000))
    side.read(2, get_own(side), other)
    wall_ms = side.clock.wall_ms()
    for number in range(16):
        key = make_uuid7(wall_ms, number)
        owner = find_owner(
            pool="records", workspace="chapin", key=key, instances=(get_own(side), other)
        )
        result = side.idempotency.begin(make_call(key))
        assert isinstance(result, Run if owner == "a" else Refused)
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
def test_list_with_another_address_or_pool_ends_ownership(side: Side, listed: Instance) -> None:
    side.read(2, listed)
    assert get_failure(begin_now(side)) == (Refused, Reason.NOT_KEY_OWNER)
    side.read(3, get_own(side))
    assert get_failure(begin_now(side)) == (Failed, Reason.EARLIER_RUN_UNKNOWN)


def test_stale_list_is_refusal_only_if_no_later_owner_can_have_run_call(side: Side) -> None:
    key = make_uuid7(side.clock.wall_ms())
    side.clock.advance(LEASE_MS)
    early = side.idempotency.begin(make_call(key))
    assert get_failure(early) == (Refused, Reason.KEY_OWNER_UNCONFIRMED)
    side.clock.advance(2 * SKEW_MS + 1)
    assert get_failure(begin_now(side)) == (Failed, Reason.KEY_OWNER_UNCONFIRMED)


def test_lease_is_checked_again_before_sending(side: Side) -> None:
    run, refused = begin_now(side, number=1), begin_now(side, number=2)
    assert isinstance(run, Run)
    assert isinstance(refused, Run)
    side.clock.advance(LEASE_MS + 2 * SKEW_MS + 1)
    denied = run.authorize()
    assert denied is not None
    assert denied.reason is Reason.KEY_OWNER_UNCONFIRMED
    side.read(2)
    assert refused.cancel(Refused(reason=Reason.OVER_CAP)).reason is Reason.NOT_KEY_OWNER


def test_key_created_before_ownership_fails_and_later_key_runs(side: Side) -> None:
    side.read(2)
    side.read(3, get_own(side))
    side.clock.advance(NEW_OWNER_DELAY_MS + 1)
    side.read(3, get_own(side))
    assert get_failure(begin_now(side, age_ms=1)) == (Failed, Reason.EARLIER_RUN_UNKNOWN)
    assert isinstance(begin_now(side), Run)


def skip_revision(side: Side) -> None:
    side.clock.advance(1_000)
    side.read(3, get_own(side))


def test_missed_revision_resets_ownership(side: Side) -> None:
    skip_revision(side)
    assert get_failure(begin_now(side)) == (Failed, Reason.EARLIER_RUN_UNKNOWN)


def test_missed_revision_would_run_call_again_without_reset(
    side: Side, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(OwnershipHistory, "_reset", lambda self, as_of_ms: None)
    skip_revision(side)
    assert isinstance(begin_now(side), Run)


def restart_with_old_list(side: Side) -> tuple[Side, str]:
    """Return a restarted side that has read an old list, and a key from before the restart."""
    key = make_uuid7(side.clock.wall_ms())
    fresh = Side(name=side.name, address=side.address, wall_ms=side.clock.wall_ms())
    fresh.read(1, get_own(side), as_of_ms=fresh.clock.wall_ms() - NEW_OWNER_DELAY_MS - 1)
    fresh.read(1, get_own(side))
    return fresh, key


def test_restarted_side_does_not_run_key_from_before_restart(side: Side) -> None:
    fresh, key = restart_with_old_list(side)
    result = fresh.idempotency.begin(make_call(key))
    assert get_failure(result) == (Failed, Reason.EARLIER_RUN_UNKNOWN)


def test_restarted_side_would_run_call_again_without_its_start_time(
    side: Side, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        OwnershipChecks,
        "_get_earlier_runs_until_ms",
        lambda self, owned_since_ms, listening_since_ms: self._get_lease_end_ms(owned_since_ms),
    )
    fresh, key = restart_with_old_list(side)
    assert isinstance(fresh.idempotency.begin(make_call(key)), Run)


def test_opaque_key_fails_until_owned_for_longer_than_window(side: Side) -> None:
    side.read(2)
    side.read(3, get_own(side))
    call = make_call("order-4711")
    refused = side.idempotency.begin(call)
    assert isinstance(refused, Failed)
    assert refused.reason is Reason.KEY_OWNER_TOO_RECENT
    assert refused.retry_after_ms == NEW_OWNER_DELAY_MS + WINDOW_MS + MAX_TRANSIT_MS + 1
    side.clock.advance(refused.retry_after_ms)
    side.read(3, get_own(side))
    assert isinstance(side.idempotency.begin(call), Run)


def test_opaque_key_is_refused_if_configured(side: Side) -> None:
    side.idempotency.configure(make_pool(opaque=OpaqueKeys.REFUSE))
    result = side.idempotency.begin(make_call("order-4711"))
    assert get_failure(result) == (Refused, Reason.KEY_INVALID)


def test_extended_window_applies_to_new_opaque_keys_only(side: Side) -> None:
    side.idempotency.configure(make_pool(window_ms=2 * WINDOW_MS))
    result = side.idempotency.begin(make_call("order-4711"))
    assert get_failure(result) == (Failed, Reason.KEY_OWNER_TOO_RECENT)


def test_delayed_request_with_opaque_key_is_not_run(side: Side) -> None:
    received_ms = side.clock.wall_ms() - MAX_TRANSIT_MS - 1
    delayed = side.idempotency.begin(make_call("order-4711"), received_wall_ms=received_ms)
    assert get_failure(delayed) == (Failed, Reason.KEY_EXPIRED)


def test_expired_key_stays_expired_after_clock_steps_back(side: Side) -> None:
    key = make_uuid7(side.clock.wall_ms() + SKEW_MS)
    run = side.idempotency.begin(make_call(key))
    assert isinstance(run, Run)
    assert run.authorize() is None
    run.finish(HEAD, b"")
    side.clock.advance(WINDOW_MS + 3 * SKEW_MS)
    side.clock.shift_wall(-3 * SKEW_MS)
    side.read(1, get_own(side))
    result = side.idempotency.begin(make_call(key))
    assert get_failure(result) == (Failed, Reason.KEY_EXPIRED)


def test_full_store_refuses_new_calls_and_keeps_records(side: Side) -> None:
    side.idempotency.configure(make_pool(calls=2))
    runs = [begin_now(side, number=number) for number in range(2)]
    for run in runs:
        assert isinstance(run, Run)
        assert run.authorize() is None
        run.finish(HEAD, b"")
    full = begin_now(side, number=2)
    assert get_failure(full) == (Refused, Reason.CALL_RECORDS_FULL)
    assert isinstance(full, Refused)
    assert full.retry_after_ms
    assert isinstance(begin_now(side, number=0), Replay)
    side.clock.advance(full.retry_after_ms)
    side.read(1, get_own(side))
    assert isinstance(begin_now(side, number=2), Run)


def test_too_large_response_is_stored_as_status_only(side: Side) -> None:
    call = make_call(make_uuid7(side.clock.wall_ms()))
    run = side.idempotency.begin(call)
    assert isinstance(run, Run)
    assert run.authorize() is None
    run.finish(HEAD, b"x" * (MAX_ANSWER_BYTES + 1))
    evicted = side.idempotency.begin(call)
    assert isinstance(evicted, Failed)
    assert evicted.reason is Reason.ANSWER_EVICTED
    assert "201" in evicted.message


def test_stopping_side_starts_no_runs(side: Side) -> None:
    waiting = begin_now(side, number=1)
    assert isinstance(waiting, Run)
    side.app.stopping.set()
    denied = waiting.authorize()
    assert denied is not None
    assert denied.reason is Reason.LEAVING
    assert get_failure(begin_now(side, number=2)) == (Refused, Reason.LEAVING)


def test_only_owner_reports_call_as_not_run() -> None:
    here = Refused(reason=Reason.OVER_CAP, retry_after_ms=5)
    elsewhere = Refused(reason=Reason.NOT_KEY_OWNER, elsewhere=True)
    assert get_call_outcome(here, from_side=True) == here
    assert isinstance(get_call_outcome(here, from_side=False), Failed)
    assert isinstance(get_call_outcome(elsewhere, from_side=True), Failed)


def test_dump_has_counts_but_no_keys(side: Side) -> None:
    side.idempotency.begin(make_call("order-4711"))
    dump = side.app.dump()["idempotency"]
    assert isinstance(dump, dict)
    assert dump["remembered"] == dump["running"] == 1
    assert "order-4711" not in str(dump)
