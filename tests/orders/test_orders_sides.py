"""Sides that manage the engines of a pool: rollouts, failures, and concurrent processes."""

from __future__ import annotations

import pytest
from orders_fakes import CHAT, LEASE_MS, REPORTS, SETTLE_MS, STORE_PER_S, Cluster, Side, make_orders

from gypsumrouter.configuration.models import OrderedAdapter, OrderedModel
from gypsumrouter.orders.ranks import rank_names
from gypsumrouter.standins.faults import OutageKind
from gypsumrouter.standins.orders import OrderKind, OrderState

TWO_MODELS = (OrderedModel(name=CHAT), OrderedModel(name=REPORTS, min_engines=2))
NEW_VERSION = (OrderedModel(name=CHAT, version="2", min_engines=2),)


async def async_make_sides(cluster: Cluster, count: int, *models: str) -> list[Side]:
    return [await cluster.async_add(f"side-{number}", *models) for number in range(count)]


def count_holders(cluster: Cluster, name: str) -> int:
    return sum(name in side.held for side in cluster.sides.values())


async def test_pool_without_orders_gets_no_orders(cluster: Cluster) -> None:
    cluster.set_configuration(None)
    sides = await async_make_sides(cluster, 2, CHAT)
    await cluster.async_run(10_000)
    assert not any(cluster.records(side) for side in sides)
    assert sides[0].dump["configured"] is False


async def test_each_model_reaches_minimum_with_fewest_loads(cluster: Cluster) -> None:
    cluster.set_configuration(make_orders(models=TWO_MODELS))
    await async_make_sides(cluster, 4, CHAT)
    cluster.min_serving = {CHAT: 4}
    await cluster.async_run_until(lambda: count_holders(cluster, REPORTS) == 2)
    await cluster.async_run(10_000)
    assert cluster.count_loads() == 2
    assert count_holders(cluster, CHAT) == 2
    # The second engine copied the weights from the first.
    assert len(cluster.weights.fetched_ms) == 1
    assert cluster.weights.rejected == 0


async def test_adapters_and_role_are_applied(cluster: Cluster) -> None:
    models = (OrderedModel(name=CHAT, adapters=(OrderedAdapter(name="school", version="7"),)),)
    cluster.set_configuration(make_orders(models=models, role="decode"))
    sides = await async_make_sides(cluster, 2, CHAT)
    await cluster.async_run_until(
        lambda: all(side.held == {CHAT: "1", "school": "7"} for side in sides)
    )
    assert {side.engine.orders.role for side in sides} == {"decode"}


async def test_version_rollout_keeps_minimum_serving(cluster: Cluster) -> None:
    cluster.set_configuration(make_orders(models=(OrderedModel(name=CHAT, min_engines=2),)))
    sides = await async_make_sides(cluster, 4, CHAT)
    await cluster.async_run(LEASE_MS + 1_000)
    cluster.min_serving = {CHAT: 4}
    await cluster.async_publish(make_orders(models=NEW_VERSION, change_share=1.0))
    await cluster.async_run_until(lambda: all(side.held == {CHAT: "2"} for side in sides))
    # One engine changes first, then as many at once as the minimum permits.
    assert cluster.min_serving[CHAT] == 2
    assert cluster.count_loads() == 4


async def test_rollout_of_unloadable_version_stops_at_first_engine(cluster: Cluster) -> None:
    cluster.set_configuration(make_orders(models=(OrderedModel(name=CHAT, min_engines=2),)))
    sides = await async_make_sides(cluster, 4, CHAT)
    await cluster.async_run(LEASE_MS + 1_000)
    cluster.min_serving = {CHAT: 4}
    await cluster.weights.async_set_outage(OutageKind.ERROR)
    await cluster.async_publish(make_orders(models=NEW_VERSION))
    await cluster.async_run(6_000)
    tried = [side for side in sides if cluster.records(side, kind=OrderKind.LOAD)]
    assert len(tried) == 1
    assert cluster.min_serving[CHAT] == 3
    assert all(side.held == {CHAT: "1"} for side in sides)
    assert tried[0].dump["last"]["reason"] == "fetch_status_503"


async def test_rollout_blocked_by_minimum_is_reported(
    cluster: Cluster,
) -> None:
    cluster.set_configuration(make_orders(models=NEW_VERSION))
    sides = await async_make_sides(cluster, 2, CHAT)
    await cluster.async_run(10_000)
    assert not any(cluster.records(side) for side in sides)
    assert sides[0].dump["waiting"] == "2 engines are needed and there are 2"


async def test_running_requests_are_drained_before_change(cluster: Cluster) -> None:
    cluster.set_configuration(make_orders())
    sides = await async_make_sides(cluster, 2, CHAT)
    await cluster.async_run(LEASE_MS + 1_000)
    for side in sides:
        side.orders.demand.add(CHAT, 1)
    await cluster.async_publish(make_orders(models=(OrderedModel(name=CHAT, version="2"),)))
    await cluster.async_run_until(lambda: any(side.offered.withdrawn for side in sides))
    await cluster.async_run(3_000)
    assert not any(cluster.records(side) for side in sides)
    assert sum(side.is_serving(CHAT) for side in sides) == 1
    for side in sides:
        side.orders.demand.add(CHAT, -1)
    await cluster.async_run_until(lambda: all(side.held == {CHAT: "2"} for side in sides))


async def test_flapping_list_causes_no_loads_and_lost_side_causes_one(cluster: Cluster) -> None:
    models = (OrderedModel(name=CHAT, min_engines=2), OrderedModel(name=REPORTS, min_engines=2))
    cluster.set_configuration(make_orders(models=models))
    for number, model in enumerate((CHAT, CHAT, CHAT, REPORTS, REPORTS)):
        await cluster.async_add(f"side-{number}", model)
    await cluster.async_run(LEASE_MS + 1_000)
    for _ in range(5):
        cluster.list_sides(without=["side-3", "side-4"])
        await cluster.async_run(SETTLE_MS - 300)
        cluster.list_sides()
        await cluster.async_run(50)
    assert cluster.count_loads() == 0
    side = cluster.sides.pop("side-4")
    cluster.retired.append(side)
    cluster.list_sides()
    await cluster.async_run_until(lambda: count_holders(cluster, REPORTS) == 2)
    await cluster.async_run(10_000)
    assert cluster.count_loads() == 1


async def test_demand_reassigns_engine_to_busy_model(cluster: Cluster) -> None:
    models = (OrderedModel(name=CHAT), OrderedModel(name=REPORTS))
    cluster.set_configuration(make_orders(models=models))
    for number, model in enumerate((CHAT, CHAT, CHAT, REPORTS)):
        await cluster.async_add(f"side-{number}", model)
    await cluster.async_run(LEASE_MS + 1_000)
    cluster.sides["side-3"].orders.demand.add(REPORTS, 3)
    await cluster.async_run_until(lambda: count_holders(cluster, REPORTS) == 2)
    await cluster.async_run(20_000)
    # Three requests exceed the busy share of one engine with four slots, but not of two engines.
    assert cluster.count_loads() == 1


@pytest.mark.parametrize("checks_fence", [True, False])
async def test_replaced_side_with_stale_list_sends_no_orders(
    cluster: Cluster, checks_fence: bool
) -> None:
    cluster.set_configuration(make_orders())
    engine = await cluster.async_add_engine(CHAT, checks_fence=checks_fence)
    old = await cluster.async_add_side("side-0", engine)
    await cluster.async_add("side-1", CHAT)
    await cluster.async_run(LEASE_MS + 1_000)
    # The old side no longer reads the list, like a partitioned process, but keeps running.
    old.reads_list = False
    new = await cluster.async_add_side("side-0", engine)
    await cluster.async_publish(make_orders(models=(OrderedModel(name=CHAT, version="2"),)))
    await old.store.async_offer(cluster.document)
    await cluster.async_run_until(lambda: engine.orders.models == {CHAT: "2"})
    records = cluster.records(new)
    fences = [record.order.fence for record in records]
    assert fences == sorted(fences)
    assert old.dump["fence"] == 0 or old.dump["fence"] < new.dump["fence"]
    assert all(record.order.fence >= record.highest_fence for record in records)
    await cluster.async_run(10_000)
    assert "ms old" in old.dump["may_order"]


async def test_first_side_by_name_manages_shared_engine(cluster: Cluster) -> None:
    # With this version the second side ranks first in the rollout.
    names = ("side-0", "side-1", "side-2")
    version = next(v for v in "123456789" if rank_names(f"{CHAT}/{v}", names)[0] == names[1])
    cluster.set_configuration(make_orders(models=(OrderedModel(name=CHAT, version=version),)))
    engine = await cluster.async_add_engine(CHAT)
    first, second = [await cluster.async_add_side(name, engine) for name in names[:2]]
    await cluster.async_add(names[2], CHAT)
    await cluster.async_run_until(lambda: engine.orders.models == {CHAT: version})
    assert first.dump["journal"]
    assert not second.dump["journal"]
    assert second.dump["waiting"] == "side-0 is also beside this engine"


async def test_load_is_repeated_after_engine_restart(
    cluster: Cluster,
) -> None:
    cluster.set_configuration(make_orders())
    sides = await async_make_sides(cluster, 2, CHAT)
    await cluster.async_run(LEASE_MS + 1_000)
    await cluster.weights.async_set_outage(OutageKind.HANG)
    await cluster.async_publish(make_orders(models=(OrderedModel(name=CHAT, version="2"),)))
    await cluster.async_run_until(lambda: any(cluster.records(side) for side in sides))
    loading = next(side for side in sides if cluster.records(side))
    loading.engine.crash()
    await cluster.weights.async_set_outage(OutageKind.NONE)
    await cluster.async_run_until(lambda: all(side.held == {CHAT: "2"} for side in sides))
    assert cluster.records(loading)[0].state is OrderState.CANCELLED


async def test_load_from_hanging_store_is_cancelled_after_timeout(cluster: Cluster) -> None:
    cluster.set_configuration(make_orders(load_ms=2_000))
    sides = await async_make_sides(cluster, 2, CHAT)
    await cluster.async_run(LEASE_MS + 1_000)
    await cluster.weights.async_set_outage(OutageKind.HANG)
    models = (OrderedModel(name=CHAT, version="2"),)
    await cluster.async_publish(make_orders(models=models, load_ms=2_000))
    await cluster.async_run_until(lambda: any(side.dump["last"] for side in sides))
    tried = next(side for side in sides if side.dump["last"])
    assert tried.dump["last"] == {"result": "failed", "reason": "it took too long"}
    assert cluster.records(tried)[0].state is OrderState.CANCELLED
    await cluster.async_run_until(lambda: tried.is_serving(CHAT))


async def test_rate_limited_store_is_retried_with_backoff(cluster: Cluster) -> None:
    cluster.set_configuration(make_orders())
    sides = await async_make_sides(cluster, 2, CHAT)
    await cluster.async_run(LEASE_MS + 1_000)
    await cluster.async_publish(make_orders(models=(OrderedModel(name=CHAT, version="2"),)))
    await cluster.async_run_until(lambda: all(side.held == {CHAT: "2"} for side in sides))
    cluster.weights.set_rate(0.0)
    await cluster.async_publish(make_orders(models=(OrderedModel(name=CHAT, version="3"),)))
    await cluster.async_run(30_000)
    assert 3 <= cluster.weights.rejected <= 10
    cluster.weights.set_rate(STORE_PER_S)
    await cluster.async_run_until(lambda: all(side.held == {CHAT: "3"} for side in sides))


async def test_load_is_cancelled_when_desired_version_changes(cluster: Cluster) -> None:
    cluster.set_configuration(make_orders())
    sides = await async_make_sides(cluster, 2, CHAT)
    await cluster.async_run(LEASE_MS + 1_000)
    await cluster.weights.async_set_outage(OutageKind.HANG)
    await cluster.async_publish(make_orders(models=(OrderedModel(name=CHAT, version="2"),)))
    await cluster.async_run_until(lambda: any(cluster.records(side) for side in sides))
    await cluster.async_publish(make_orders())
    await cluster.async_run(3_000)
    records = [record for side in sides for record in cluster.records(side)]
    assert [record.state for record in records] == [OrderState.CANCELLED]
    assert all(side.dump["pending"] is None for side in sides)
    cancelled = next(side for side in sides if side.dump["journal"])
    assert cancelled.dump["journal"][-1]["reason"] == "not wanted any more"


async def test_neighbour_that_serves_no_weights_is_skipped(cluster: Cluster) -> None:
    cluster.set_configuration(make_orders(models=TWO_MODELS))
    for number, model in enumerate((CHAT, CHAT, REPORTS)):
        await cluster.async_add(f"side-{number}", model, gives_weights=False)
    await cluster.async_run_until(lambda: count_holders(cluster, REPORTS) == 2)
    assert len(cluster.weights.fetched_ms) == 1


async def test_old_list_blocks_orders(cluster: Cluster) -> None:
    cluster.set_configuration(make_orders())
    sides = await async_make_sides(cluster, 2, CHAT)
    await cluster.async_run(LEASE_MS + 1_000)
    for side in sides:
        side.reads_list = False
    await cluster.async_run(LEASE_MS)
    await cluster.async_publish(make_orders(models=(OrderedModel(name=CHAT, version="2"),)))
    await cluster.async_run(10_000)
    assert not any(cluster.records(side) for side in sides)
    assert all("ms old" in side.dump["waiting"] for side in sides)


async def test_draining_side_sends_no_orders(cluster: Cluster) -> None:
    cluster.set_configuration(make_orders())
    sides = await async_make_sides(cluster, 2, CHAT)
    await cluster.async_run(LEASE_MS + 1_000)
    for side in sides:
        await side.app.async_drain()
    await cluster.async_publish(make_orders(models=(OrderedModel(name=CHAT, version="2"),)))
    await cluster.async_run(5_000)
    assert not any(cluster.records(side) for side in sides)
