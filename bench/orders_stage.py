"""A pool of engines shared by several models, with real sides that send them orders."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any, Final

import aiohttp
from msgspec import Struct
from msgspec.structs import replace

from bench.processes import DaemonProcess
from bench.rig import Rig, Sections
from gypsumrouter.configuration.models import (
    Configuration,
    OrderCheck,
    OrderedModel,
    Pool,
    PoolOrders,
)
from gypsumrouter.const import MS_PER_S, UpstreamKind
from gypsumrouter.orders import DUMP_SECTION
from gypsumrouter.standins import Deployment, EngineSettings, StandinPlatform, kotlovnica
from gypsumrouter.standins.deployments import make_configuration
from gypsumrouter.standins.engine import Engine
from gypsumrouter.standins.orders import OrderKind, OrderState
from gypsumrouter.standins.weight_store import WeightStore
from gypsumrouter.util.clock import SystemClock

SETTLE_MS: Final = 1_500
LEASE_MS: Final = 2_000
STORE_PER_S: Final = 2.0
STORE_FETCH_MS: Final = 300
LOAD_MS: Final = 10_000
SLOTS: Final = 4
STEP_MS: Final = 20.0
MIN_ENGINES: Final = 2
ROUTERS: Final = 2
POLL_MS: Final = 100
WAIT_TIMEOUT_MS: Final = 40_000
FIRST_VERSION: Final = "1"

PLATFORM: Final[Sections] = {
    "platform": {"list_lease_ms": LEASE_MS, "clock_skew_ms": 100, "list_poll_ms": 100}
}

Holders = dict[str, dict[str, str]]


class OrdersStage(Struct, kw_only=True):
    """The running fleet, its platform, and the latest published configuration."""

    deployment: Deployment
    models: tuple[str, ...]
    rig: Rig
    platform: StandinPlatform
    session: aiohttp.ClientSession
    configuration: Configuration

    @property
    def engines(self) -> Mapping[str, Engine]:
        """Return the engines by the names of their sides."""
        return self.platform.engines

    def publish(self, versions: Mapping[str, str]) -> None:
        """Publish a configuration with new versions of models."""
        self.configuration = replace(
            self.configuration,
            version=self.configuration.version + 1,
            pools=tuple(_set_versions(pool, versions) for pool in self.configuration.pools),
        )
        self.platform.publish(self.configuration)

    def get_holders(self) -> Holders:
        """Return the loaded models and their versions, by running side."""
        return {name: dict(self.engines[name].orders.models) for name in self.rig.sides}

    def count_holders(self) -> dict[str, int]:
        """Return how many engines have loaded each model."""
        models_by_engine = list(self.get_holders().values())
        return {model: sum(model in models for models in models_by_engine) for model in self.models}

    def count_loads(self) -> int:
        """Return how many load orders the engines have applied so far."""
        return sum(
            record.order.kind is OrderKind.LOAD and record.state is OrderState.APPLIED
            for engine in self.engines.values()
            for record in engine.orders.records
        )

    def count_late_orders(self) -> int:
        """Return how many orders were applied after one with a higher fencing number."""
        return sum(
            record.order.fence < record.highest_fence and record.state is not OrderState.REFUSED
            for engine in self.engines.values()
            for record in engine.orders.records
        )

    async def async_dump(self, process: DaemonProcess) -> dict[str, Any]:
        """Return the orders section of a side's state dump, or an empty one if unreachable."""
        try:
            dump = await self.rig.async_dump(process)
        except (aiohttp.ClientError, TimeoutError):
            return {}
        section: dict[str, Any] = dump.get(DUMP_SECTION) or {}
        return section

    async def async_wait_settled(self) -> None:
        """Wait until every engine has the models assigned by its side.

        Raises TimeoutError.
        """
        await self.async_wait_until(
            self.async_is_settled, "all engines have loaded their assigned models"
        )

    async def async_is_settled(self) -> bool:
        """Return whether, by the dump of each side, its engine has its assigned models."""
        dumps = await asyncio.gather(*(self.async_dump(item) for item in self.rig.sides.values()))
        return all(_is_settled(dump) for dump in dumps)

    async def async_wait_until(self, condition: Callable[[], Any], what: str) -> None:
        """Wait for a condition, a plain or a coroutine function; raises TimeoutError."""
        for _ in range(WAIT_TIMEOUT_MS // POLL_MS):
            met = condition()
            if await met if asyncio.iscoroutine(met) else met:
                return
            await asyncio.sleep(POLL_MS / MS_PER_S)
        raise TimeoutError(f"condition not met within {WAIT_TIMEOUT_MS} ms: {what}")


@asynccontextmanager
async def open_orders_stage(
    *, checks_fence: bool, gives_weights: bool
) -> AsyncIterator[OrdersStage]:
    """Run engines, their sides and the routers while the context is open."""
    deployment = replace(kotlovnica(), services=0)
    models = (deployment.model, "report-chat", "summary-chat")
    clock = SystemClock()
    platform = StandinPlatform(
        clock=clock,
        deployments=(deployment,),
        engine_settings=EngineSettings(
            slots=SLOTS,
            step_ms=STEP_MS,
            step_ms_per_sequence=0.0,
            checks_fence=checks_fence,
            gives_weights=gives_weights,
        ),
    )
    platform.weight_store = WeightStore(
        clock=clock, fetches_per_s=STORE_PER_S, burst=1, fetch_ms=STORE_FETCH_MS
    )
    await platform.async_start()
    configuration = _make_configuration(deployment, models, checks_fence=checks_fence)
    platform.publish(configuration)
    rig = Rig(platform=platform, extra=PLATFORM)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        try:
            await rig.async_start(routers=ROUTERS)
            yield OrdersStage(
                deployment=deployment,
                models=models,
                rig=rig,
                platform=platform,
                session=session,
                configuration=configuration,
            )
        finally:
            await rig.async_stop()


def _make_configuration(
    deployment: Deployment, models: tuple[str, ...], *, checks_fence: bool
) -> Configuration:
    orders = PoolOrders(
        models=tuple(OrderedModel(name=name, min_engines=MIN_ENGINES) for name in models),
        store_loads_per_s=STORE_PER_S,
        settle_ms=SETTLE_MS,
        load_ms=LOAD_MS,
    )
    pool = Pool(
        name=deployment.engine_pool,
        kind=UpstreamKind.ENGINE,
        models=models,
        slots=SLOTS,
        order_check=OrderCheck.FENCING if checks_fence else OrderCheck.NOTHING,
        orders=orders,
    )
    base = make_configuration(deployment, version=2)
    pools = tuple(pool if item.name == pool.name else item for item in base.pools)
    engine_pools = tuple(item for item in pools if item.kind is UpstreamKind.ENGINE)
    return replace(base, pools=engine_pools, rules=())


def _set_versions(pool: Pool, versions: Mapping[str, str]) -> Pool:
    if pool.orders is None:
        return pool
    models = tuple(
        replace(model, version=versions.get(model.name, model.version))
        for model in pool.orders.models
    )
    return replace(pool, orders=replace(pool.orders, models=models))


def _is_settled(dump: dict[str, Any]) -> bool:
    held = dump.get("held") or {}
    wished = dump.get("wished")
    return wished is not None and dump.get("pending") is None and held.get("models") == wished
