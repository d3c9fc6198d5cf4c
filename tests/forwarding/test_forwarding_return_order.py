"""Refused requests return in an order, where contention is configured."""

from __future__ import annotations

import logging
from typing import Any, cast

import aiohttp
import pytest
from forwarding_world import ForwardingWorld

from gypsumrouter.contention import Return
from gypsumrouter.directory import Entry, EntryState
from gypsumrouter.forwarding.const import RESPONSE_MARGIN_MS, RETRY_AFTER_RATIO
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.placement import Candidate
from gypsumrouter.forwarding.plain_admission import PlainAdmission
from gypsumrouter.forwarding.return_order import count_needed_permits, get_longest_ms
from gypsumrouter.forwarding.service_time import MAX_TIME_SHARE, AdmissionPermits
from gypsumrouter.instances import Address
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import Contention
from gypsumrouter.standins import RunnerFault

Session = aiohttp.ClientSession
ENTRY = Entry(
    upstream="i-1",
    state=EntryState.READY,
    service="records",
    address=Address(host="10.0.0.1", port=80),
    data_centre="a",
    slots=6,
)
# Callers wait for at most 0.3 of the 2.5 s that the calls of the test world have.
LONGEST_MS = 750


async def async_start(world: ForwardingWorld, **more: Any) -> RunningProcess:
    """Start a forwarder whose plain upstreams have all asked for a pause."""
    product = await world.async_start_forwarder("entry-2", contention=Contention(), **more)
    await world.async_until(product.is_ready)
    for runner in world.records:
        runner.default_fault, runner.retry_after_s = RunnerFault.SHED, 30.0
    return product


async def async_refuse(
    world: ForwardingWorld, session: Session, product: RunningProcess, path: str, request_id: str
) -> int:
    """Send a request that is refused, and return its Retry-After in milliseconds."""
    status, _, headers = await world.async_call(
        session, "POST", f"/lookup/{path}", request_id, body=b"x", product=product
    )
    assert status == 503
    return round(float(headers["Retry-After"]) * 1_000)


def list_events(caplog: pytest.LogCaptureFixture, name: str) -> list[Any]:
    return [cast(Any, record).event for record in caplog.records if record.message == name]


async def test_refusals_are_told_their_turn_and_repeats_at_once_are_recognized(
    world: ForwardingWorld, session: Session, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    product = await async_start(world)
    for number in range(3):
        delay_ms = await async_refuse(world, session, product, f"p{number}", f"r{number}")
        assert 0 < delay_ms <= LONGEST_MS
    # All upstreams pause for longer than callers wait: a part of the time that they have left.
    begun_ms = product.app.clock.now_ms()
    delay_ms = await async_refuse(world, session, product, "p3", "r3")
    took_ms = product.app.clock.now_ms() - begun_ms
    lost_ms = RETRY_AFTER_RATIO * (took_ms + RESPONSE_MARGIN_MS)
    assert LONGEST_MS - lost_ms - 1 <= delay_ms <= LONGEST_MS
    await async_refuse(world, session, product, "p3", "r4")
    refused = {event["request_id"]: event for event in list_events(caplog, "request_refused")}
    assert [refused[f"r{n}"]["return_position"] for n in range(4)] == [0, 1, 2, 3]
    dump = cast(dict[str, Any], product.app.dump()["returns"])
    assert dump["records"]["reservations"] == 4
    assert dump["records"]["early"] == 1
    metrics = product.app.metrics.render().decode()
    assert 'gypsumrouter_returns_total{kind="early"} 1' in metrics
    assert 'gypsumrouter_returns_total{kind="unknown"} 4' in metrics


async def test_returns_spend_no_retries_of_the_budget(
    world: ForwardingWorld, session: Session, caplog: pytest.LogCaptureFixture
) -> None:
    """The budget is for requests that were sent; a refused one that returns was not."""
    product = await async_start(world)
    for number in range(4):
        await async_refuse(world, session, product, "p", f"a{number}")
    caplog.set_level(logging.INFO)
    for number in range(4):
        await async_refuse(world, session, product, "p", f"b{number}")
    assert list_events(caplog, "retry_decided") == []
    assert list_events(caplog, "attempt_sent") == []


@pytest.mark.parametrize("contention", [None, Contention()])
async def test_delays_are_random_without_the_order(
    world: ForwardingWorld,
    session: Session,
    caplog: pytest.LogCaptureFixture,
    contention: Contention | None,
) -> None:
    caplog.set_level(logging.INFO)
    more = {} if contention is None else {"without": frozenset({Mechanism.RETURN_ORDER})}
    product = await world.async_start_forwarder("entry-2", contention=contention, **more)
    await world.async_until(product.is_ready)
    for runner in world.records:
        runner.default_fault = RunnerFault.SHED
    assert 0 < await async_refuse(world, session, product, "p", "r1") <= 400
    assert [e["return_position"] for e in list_events(caplog, "request_refused")] == [-1]
    assert "returns" not in product.app.dump()


@pytest.mark.parametrize(
    ("plain", "room_in_ms", "remaining_ms", "target_left_ms", "longest_ms"),
    [
        (False, 20, 1_500, 400, 240),
        (False, 20, 600, 400, 180),
        (False, 240, 1_500, 400, 450),
        (False, 0, 1_500, -1, 450),
        (True, 20, 1_500, 400, 160),
        (True, 20, 300, 400, 90),
        (True, 599, 1_500, 400, 160),
        (True, 600, 1_500, 400, 450),
        (True, 0, 1_500, 1, 450),
        (True, 0, 1_500, -1, 450),
    ],
)
def test_returns_are_scheduled_while_the_target_can_be_met(
    plain: bool, room_in_ms: int, remaining_ms: int, target_left_ms: int, longest_ms: int
) -> None:
    """Requests that return after their target are served late and delay those in time."""
    assert longest_ms == get_longest_ms(
        plain=plain,
        room_in_ms=room_in_ms,
        remaining_ms=remaining_ms,
        target_left_ms=target_left_ms,
    )


def test_plain_request_that_returns_as_told_is_admitted_only_if_expected_in_time() -> None:
    """A router admits it by the whole target, so the wait must fit into what that leaves."""
    wait_ms = get_longest_ms(plain=True, room_in_ms=0, remaining_ms=1_530, target_left_ms=408)
    assert wait_ms + 408 * MAX_TIME_SHARE <= 408


def test_new_requests_leave_a_permit_and_lose_no_throughput() -> None:
    """A higher need must delay the first admission only, not lower the rate of admissions."""
    counts = []
    for needed in (1, 2):
        permits = AdmissionPermits()
        count = 0
        for now_ms in range(0, 10_000, 10):
            if permits.has_permit("s", per_ms=0.02, now_ms=now_ms, needed=needed):
                permits.spend("s")
                count += 1
        counts.append(count)
    assert counts[0] - counts[1] == 1


def test_request_with_a_kept_place_is_admitted_ahead_of_new_ones() -> None:
    """Without this, whoever asks just before a patient caller returns takes its room."""
    kinds = [Return.UNKNOWN, Return.EARLY, Return.KEPT]
    needed = [count_needed_permits(kind, has_due=True) for kind in kinds]
    admission = make_overloaded_admission()
    # The two saved permits are for the first of these: one is left to the kept place.
    assert [is_admitted(admission, needed[0]) for _ in range(3)] == [True, False, False]
    assert not is_admitted(admission, needed[1])
    assert is_admitted(admission, needed[2])
    assert not is_admitted(admission, needed[2])


@pytest.mark.parametrize("has_due", [False, True])
def test_early_repeat_is_admitted_after_all_others(has_due: bool) -> None:
    kinds = [Return.KEPT, Return.UNKNOWN, Return.EARLY]
    needed = [count_needed_permits(kind, has_due=has_due) for kind in kinds]
    assert needed == ([1, 2, 3] if has_due else [1, 1, 2])


def test_any_return_is_admitted_while_it_is_expected_in_time() -> None:
    """A request that was repeated early must not wait while upstreams have room for it."""
    admission = make_overloaded_admission()
    while is_admitted(admission, 1):
        pass
    assert is_admitted(admission, 3, load=0)


def make_overloaded_admission() -> PlainAdmission:
    """Return the admission of one of very many routers, with all of its permits saved."""
    admission = PlainAdmission(count_routers=lambda: 1_000_000)
    placed = Placement(entry=ENTRY, load=0, mean_load=0, missing_tokens=0, candidates=1)
    admission.note_answered(placed, elapsed_ms=90, now_ms=0)
    return admission


def is_admitted(admission: PlainAdmission, needed: int, *, load: int = 60) -> bool:
    chosen = Candidate(
        upstream=ENTRY.incarnation,
        load=load,
        slots=ENTRY.slots,
        own_load=0,
        same_data_centre=True,
        pending_tokens=0,
        missing_tokens=0,
    )
    refusal = admission.admit(
        service="records",
        entries=[ENTRY],
        chosen=chosen,
        limit_ms=200,
        now_ms=1_000,
        needed_permits=needed,
    )
    return refusal is None
