"""Orders to the stand-in engine: loads, fencing, and weight store limits and outages."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from driven_clock import async_drive, async_until

from gypsumrouter.standins import Engine, EngineSettings, OutageKind, WeightStore
from gypsumrouter.standins.orders import (
    Order,
    OrderHandler,
    OrderKind,
    OrderState,
    format_record,
    parse_order,
)
from gypsumrouter.util.clock import ManualClock


def make_load(model: str = "m", *, version: str = "1", fence: int = 1, source: str = "") -> Order:
    return Order(kind=OrderKind.LOAD, model=model, version=version, fence=fence, source=source)


def make_handler(clock: ManualClock, **settings: object) -> OrderHandler:
    return OrderHandler(clock=clock, settings=EngineSettings(**settings))  # type: ignore[arg-type]


@pytest.fixture
async def store(clock: ManualClock) -> AsyncIterator[WeightStore]:
    store = WeightStore(clock=clock, fetches_per_s=0.5, burst=2, fetch_ms=2_000)
    await store.async_start()
    yield store
    await store.async_stop()


async def test_outdated_fencing_token_is_refused(
    clock: ManualClock,
) -> None:
    handler = make_handler(clock)
    role = Order(kind=OrderKind.SET_ROLE, role="prefill", fence=7)
    assert handler.handle(role).state is OrderState.APPLIED
    late = handler.handle(Order(kind=OrderKind.SET_ROLE, role="decode", fence=6))
    assert (late.state, late.highest_fence) == (OrderState.REFUSED, 7)
    assert handler.role == "prefill"
    assert handler.handle(role).state is OrderState.APPLIED


async def test_outdated_fencing_token_is_accepted_without_checks(
    clock: ManualClock,
) -> None:
    handler = make_handler(clock, checks_fence=False)
    handler.handle(Order(kind=OrderKind.SET_ROLE, role="prefill", fence=7))
    late = handler.handle(Order(kind=OrderKind.SET_ROLE, role="decode", fence=6))
    assert (late.state, late.highest_fence) == (OrderState.APPLIED, 7)
    assert handler.role == "decode"


@pytest.mark.parametrize("survives", [True, False])
async def test_fencing_token_survives_a_restart_only_if_configured(
    clock: ManualClock, survives: bool
) -> None:
    handler = make_handler(clock, fence_survives_restart=survives)
    handler.handle(Order(kind=OrderKind.SET_ROLE, role="prefill", fence=7))
    handler.restart()
    assert (handler.highest_fence == 7) is survives


async def test_load_replaces_the_version_when_it_completes(
    clock: ManualClock,
) -> None:
    handler = make_handler(clock, models=("m",), load_ms=2_000)
    record = handler.handle(make_load(version="2"))
    assert record.state is OrderState.PENDING
    assert handler.has_model("m", "1")
    await async_drive(clock, async_until(lambda: record.state is OrderState.APPLIED))
    assert handler.models == {"m": "2"}
    assert clock.now_ms() >= 2_000
    assert handler.handle(make_load(version="2")).state is OrderState.APPLIED


async def test_load_of_another_version_cancels_the_pending_load(clock: ManualClock) -> None:
    handler = make_handler(clock, models=())
    first = handler.handle(make_load(version="1"))
    second = handler.handle(make_load(version="2"))
    assert first.state is OrderState.CANCELLED
    await async_drive(clock, async_until(lambda: second.state is OrderState.APPLIED))
    assert handler.models == {"m": "2"}


async def test_restart_cancels_pending_loads_and_unloads_loaded_models(
    clock: ManualClock,
) -> None:
    handler = make_handler(clock, models=("base",))
    loaded = handler.handle(make_load("extra"))
    await async_drive(clock, async_until(lambda: loaded.state is OrderState.APPLIED))
    pending = handler.handle(make_load("more"))
    handler.restart()
    assert pending.state is OrderState.CANCELLED
    assert handler.models == {"base": "1"}


async def test_weight_store_rejects_fetches_above_its_rate(
    clock: ManualClock, store: WeightStore
) -> None:
    handler = make_handler(clock, models=(), weight_store=store.address)
    records = [handler.handle(make_load(f"m{index}")) for index in range(3)]
    await async_until(lambda: records[2].state is not OrderState.PENDING)
    assert (records[2].state, records[2].reason) == (OrderState.FAILED, "fetch_status_429")
    await async_drive(
        clock, async_until(lambda: all(r.state is not OrderState.PENDING for r in records))
    )
    assert sorted(handler.models) == ["m0", "m1"]
    assert (len(store.fetched_ms), store.rejected) == (2, 1)


@pytest.mark.parametrize(
    ("kind", "reason"),
    [
        (OutageKind.ERROR, "fetch_status_503"),
        (OutageKind.REFUSE, "fetch_failed: ClientConnectorError"),
    ],
)
async def test_load_fails_with_a_reason_during_a_weight_store_outage(
    clock: ManualClock, store: WeightStore, kind: OutageKind, reason: str
) -> None:
    await store.async_set_outage(kind)
    handler = make_handler(clock, models=(), weight_store=store.address)
    record = handler.handle(make_load())
    await async_until(lambda: record.state is not OrderState.PENDING)
    assert (record.state, record.reason) == (OrderState.FAILED, reason)


async def test_load_from_a_hanging_weight_store_can_be_cancelled(
    clock: ManualClock, store: WeightStore
) -> None:
    await store.async_set_outage(OutageKind.HANG)
    handler = make_handler(clock, models=(), weight_store=store.address)
    record = handler.handle(make_load())
    for _ in range(50):
        await asyncio.sleep(0)
    assert format_record(record)["state"] == "pending"
    assert handler.cancel("m")
    assert record.state is OrderState.CANCELLED


async def test_weights_are_fetched_from_another_engine(
    clock: ManualClock, store: WeightStore
) -> None:
    source_engine = Engine(clock=clock, settings=EngineSettings(models=("m",)))
    address = await source_engine.async_start()
    handler = make_handler(clock, models=(), weight_store=store.address)
    loaded = handler.handle(make_load("m", source=str(address)))
    missing = handler.handle(make_load("other", source=str(address)))
    await async_drive(
        clock, async_until(lambda: OrderState.PENDING not in (loaded.state, missing.state))
    )
    assert (loaded.state, missing.state) == (OrderState.APPLIED, OrderState.FAILED)
    assert not store.fetched_ms
    await source_engine.async_stop()


def test_incomplete_orders_are_invalid() -> None:
    assert parse_order({"order": "load"}) is None
    assert parse_order({"order": "dance", "model": "m"}) is None
    assert parse_order({"order": "set_role", "model": "m"}) is None
