"""The order lease: expiry, fencing numbers, paused processes, and the slots of the store."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise

import pytest
from orders_fakes import LEASE_MS, make_instance

from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address, InstanceList
from gypsumrouter.orders.dispatcher import OrderDispatcher
from gypsumrouter.orders.engine import OrderClient
from gypsumrouter.orders.lease import OrderLease
from gypsumrouter.orders.models import Done, NotSent, Order, OrderKind, StaleFence, Submission
from gypsumrouter.orders.store_slots import StoreSlots
from gypsumrouter.settings import Platform, Upstream
from gypsumrouter.standins import Engine
from gypsumrouter.util.clock import ManualClock

OWN_ADDRESS = Address(host="127.0.0.1", port=7_000)
OTHER_ADDRESS = Address(host="127.0.0.1", port=7_001)
SKEW_MS = 100
HANDOVER_DELAY_MS = LEASE_MS + 2 * SKEW_MS


class Process:
    """One process of the instance `side-0` with its order lease."""

    def __init__(self, clock: ManualClock, address: Address = OWN_ADDRESS) -> None:
        self.clock = clock
        self.app = Application(
            name="side-0", role=Role.SIDE, data_centre="dc", region="r", clock=clock
        )
        platform = Platform(list_lease_ms=LEASE_MS, clock_skew_ms=SKEW_MS)
        self.lease = OrderLease(app=self.app, settings=platform, pool="models")
        self.lease.set_address(address)

    def read(self, revision: int, *addresses: Address, as_of_ms: int | None = None) -> None:
        listed = InstanceList(
            revision=revision,
            as_of_ms=self.clock.wall_ms() if as_of_ms is None else as_of_ms,
            instances=tuple(make_instance("side-0", address) for address in addresses),
        )
        self.lease.handle_list(listed)


class PausedClient:
    """An order client whose process is paused immediately before the first byte is sent."""

    def __init__(self, clock: ManualClock, pause_ms: int, answer: Submission) -> None:
        self.clock = clock
        self.pause_ms = pause_ms
        self.answer = answer
        self.sent = 0

    async def async_submit(
        self, order: Order, *, fence: int, find_block_reason: Callable[[], str]
    ) -> Submission:
        self.clock.advance(self.pause_ms)
        block_reason = find_block_reason()
        if block_reason:
            return NotSent(reason=block_reason)
        self.sent += 1
        return self.answer


@pytest.fixture
def process() -> Process:
    """Return a process that holds the lease and has just read the list."""
    process = Process(ManualClock(now_ms=1_000))
    process.read(1, OWN_ADDRESS)
    process.clock.advance(HANDOVER_DELAY_MS + 1)
    process.lease.renew(process.clock.wall_ms())
    return process


def make_dispatcher(process: Process, client: PausedClient) -> OrderDispatcher:
    return OrderDispatcher(
        app=process.app,
        client=client,  # type: ignore[arg-type]
        lease=process.lease,
        is_draining=lambda: False,
    )


def test_new_process_waits_until_previous_lease_has_expired(process: Process) -> None:
    new_process = Process(process.clock)
    new_process.read(1, OWN_ADDRESS)
    assert new_process.lease.find_block_reason() == "an earlier process may still give orders"
    assert process.lease.find_block_reason() == ""


@pytest.mark.parametrize("addresses", [(), (OTHER_ADDRESS,)])
def test_process_at_unlisted_address_sends_no_orders(
    process: Process, addresses: tuple[Address, ...]
) -> None:
    process.read(2, *addresses)
    assert "does not name this process" in process.lease.find_block_reason()


def test_gap_in_list_revisions_restarts_wait(process: Process) -> None:
    process.read(3, OWN_ADDRESS)
    assert process.lease.find_block_reason() == "an earlier process may still give orders"


def test_old_list_and_list_from_future_block_orders(process: Process) -> None:
    process.clock.advance(LEASE_MS)
    assert "ms old" in process.lease.find_block_reason()
    process.lease.renew(process.clock.wall_ms() + SKEW_MS + 1)
    assert "ms old" in process.lease.find_block_reason()


def test_replacement_process_issues_higher_fencing_numbers(
    process: Process,
) -> None:
    highest = max(process.lease.issue_fence() for _ in range(50))
    process.clock.advance(1)
    replacement = Process(process.clock, OTHER_ADDRESS)
    replacement.read(2, OTHER_ADDRESS)
    assert replacement.lease.issue_fence() > highest


async def test_order_is_not_sent_after_pause_beyond_lease(process: Process) -> None:
    client = PausedClient(process.clock, pause_ms=LEASE_MS, answer=Done())
    submission = await make_dispatcher(process, client).async_submit(
        Order(kind=OrderKind.UNLOAD, name="chat"), reason="test"
    )
    assert isinstance(submission, NotSent)
    assert client.sent == 0


async def test_order_is_not_sent_if_decision_is_too_old(process: Process) -> None:
    client = PausedClient(process.clock, pause_ms=1_001, answer=Done())
    dispatcher = make_dispatcher(process, client)
    order = Order(kind=OrderKind.UNLOAD, name="chat")
    assert isinstance(await dispatcher.async_submit(order, reason="test"), NotSent)
    client.pause_ms = 0
    assert await dispatcher.async_submit(order, reason="test") == Done()
    assert [entry.result for entry in dispatcher.journal] == ["not_given", "done"]


async def test_stale_fence_blocks_orders_until_newer_list(
    process: Process,
) -> None:
    newer = process.clock.wall_ms() + 500
    client = PausedClient(process.clock, 0, StaleFence(highest=newer * 1_000 + 3))
    dispatcher = make_dispatcher(process, client)
    await dispatcher.async_submit(Order(kind=OrderKind.UNLOAD, name="chat"), reason="test")
    assert dispatcher.find_block_reason() == "the engine has taken an order of a newer process"
    process.clock.advance(501)
    process.lease.renew(process.clock.wall_ms())
    assert dispatcher.find_block_reason() == ""
    assert process.lease.issue_fence() > newer * 1_000 + 3


async def test_order_blocked_before_first_byte_does_not_reach_engine() -> None:
    clock = ManualClock()
    engine = Engine(clock=clock)
    address = await engine.async_start()
    app = Application(name="side-0", role=Role.SIDE, data_centre="dc", region="r", clock=clock)
    settings = Upstream(pool="models", kind=UpstreamKind.ENGINE, port=address.port)
    client = OrderClient(app=app, settings=settings)
    await client.async_start()
    order = Order(kind=OrderKind.SET_ROLE, role="decode")
    try:
        stopped = await client.async_submit(order, fence=5, find_block_reason=lambda: "paused")
        assert stopped == NotSent(reason="paused")
        assert not engine.orders.records
        assert await client.async_submit(order, fence=5, find_block_reason=str) == Done()
        refused = await client.async_submit(order, fence=4, find_block_reason=str)
        assert refused == StaleFence(highest=5)
    finally:
        await app.async_stop()
        await engine.async_stop()


def test_store_slots_limit_rate_across_members() -> None:
    members = ("a", "b", "c")
    slots = {name: StoreSlots() for name in members}
    load_times_ms: list[int] = []
    for wall_ms in range(1_700_000_000_000, 1_700_000_060_000, 10):
        for name in members:
            wait_ms = slots[name].get_wait_ms(
                own=name, members=members, loads_per_s=0.5, wall_ms=wall_ms
            )
            if wait_ms == 0:
                slots[name].use(loads_per_s=0.5, wall_ms=wall_ms)
                load_times_ms.append(wall_ms)
    assert len(load_times_ms) == 30
    assert min(after - before for before, after in pairwise(load_times_ms)) >= 2_000
