"""In-process stand-ins of the platform services and upstreams of some deployments."""

from __future__ import annotations

from collections import Counter
from typing import Any, Final

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.configuration.models import Configuration
from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.instances import Address, Instance
from gypsumrouter.standins.configuration_service import ConfigurationService
from gypsumrouter.standins.deployments import Deployment, make_configuration
from gypsumrouter.standins.engine import Engine
from gypsumrouter.standins.instance_list import InstanceListService
from gypsumrouter.standins.models import EngineSettings
from gypsumrouter.standins.service import Service
from gypsumrouter.standins.weight_store import WeightStore
from gypsumrouter.util.clock import Clock

FIRST_VERSION: Final = 1


class SidePlan(Struct, frozen=True, kw_only=True):
    """The placement of one side, the router process that runs next to an upstream."""

    name: str
    pool: str
    kind: UpstreamKind
    data_centre: str
    region: str
    upstream: Address
    weight: float = 1.0


class StandinPlatform:
    """The configuration service, instance list, weight store and upstreams of some deployments.

    The instance list is empty at first; the code that starts sides and routers adds them with
    `register_side` and `register_router`. `engines` and `services` are keyed by the name of the
    side next to them.
    """

    __slots__ = (
        "_clock",
        "_engine_settings",
        "_host",
        "_service_delay_ms",
        "configuration",
        "deployments",
        "engines",
        "instances",
        "plans",
        "services",
        "weight_store",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        deployments: tuple[Deployment, ...],
        engine_settings: EngineSettings | None = None,
        service_delay_ms: int = 0,
        host: str = "127.0.0.1",
    ) -> None:
        self._clock = clock
        self._host = host
        self._engine_settings = engine_settings or EngineSettings()
        self._service_delay_ms = service_delay_ms
        self.deployments = deployments
        self.configuration = ConfigurationService(clock=clock, host=host)
        self.instances = InstanceListService(clock=clock, host=host)
        self.weight_store = WeightStore(clock=clock, host=host)
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, Service] = {}
        self.plans: tuple[SidePlan, ...] = ()

    async def async_start(self) -> None:
        """Start all stand-ins and publish the first version of the configuration."""
        await self.configuration.async_start()
        await self.instances.async_start()
        await self.weight_store.async_start()
        for deployment in self.deployments:
            await self._async_start_engines(deployment)
            await self._async_start_services(deployment)
        self.publish(make_configuration(*self.deployments, version=FIRST_VERSION))

    async def async_stop(self) -> None:
        """Stop all stand-ins."""
        for engine in self.engines.values():
            await engine.async_stop()
        for service in self.services.values():
            await service.async_stop()
        await self.weight_store.async_stop()
        await self.instances.async_stop()
        await self.configuration.async_stop()

    def publish(self, configuration: Configuration) -> int:
        """Publish a configuration and return its version."""
        return self.configuration.publish(msgspec.json.encode(configuration))

    def get_plan(self, name: str) -> SidePlan:
        """Return the plan of a side; raises InvariantBroken if the name is unknown."""
        for plan in self.plans:
            if plan.name == name:
                return plan
        raise InvariantBroken(f"unknown side {name}")

    def register_side(self, name: str, address: Address) -> None:
        """Add a running side to the instance list; `address` is that of its link listener."""
        plan = self.get_plan(name)
        self.instances.set(
            Instance(
                name=name,
                role=Role.SIDE,
                address=address,
                data_centre=plan.data_centre,
                region=plan.region,
                pool=plan.pool,
                weight=plan.weight,
            )
        )

    def register_router(
        self, name: str, address: Address, *, data_centre: str, region: str
    ) -> None:
        """Add a running router to the instance list; `address` is that of its link listener."""
        self.instances.set(
            Instance(
                name=name,
                role=Role.ROUTER,
                address=address,
                data_centre=data_centre,
                region=region,
            )
        )

    def make_side_settings(self, name: str, *, link: dict[str, Any]) -> dict[str, Any]:
        """Return the settings of a side; `link` is its link section, with the source of the key."""
        plan = self.get_plan(name)
        return {
            "instance": _make_identity(name, plan.data_centre, plan.region),
            "link": link,
            "platform": self._make_platform(),
            "upstream": {
                "pool": plan.pool,
                "kind": plan.kind.value,
                "host": plan.upstream.host,
                "port": plan.upstream.port,
                "weight": plan.weight,
            },
        }

    def make_router_settings(
        self, name: str, *, data_centre: str, region: str, link: dict[str, Any]
    ) -> dict[str, Any]:
        """Return the settings of a router; `link` is its link section."""
        return {
            "instance": _make_identity(name, data_centre, region),
            "link": link,
            "platform": self._make_platform(),
        }

    def count_executions(self) -> Counter[str]:
        """Return the executions of each at-most-once call, by idempotency key."""
        paths = {path for deployment in self.deployments for path in deployment.at_most_once}
        executions: Counter[str] = Counter()
        for service in self.services.values():
            executions.update(
                execution.key
                for execution in service.executions
                if execution.path.partition("?")[0] in paths
            )
        return executions

    def count_repeated_calls(self) -> int:
        """Return the number of at-most-once calls that were executed more than once."""
        return sum(1 for count in self.count_executions().values() if count > 1)

    async def _async_start_engines(self, deployment: Deployment) -> None:
        for index in range(deployment.engines):
            settings = replace(
                self._engine_settings,
                models=(deployment.model,),
                weight_store=self.weight_store.address,
                seed=self._engine_settings.seed + index,
            )
            engine = Engine(clock=self._clock, host=self._host, settings=settings)
            address = await engine.async_start()
            pool = deployment.engine_pool
            plan = _make_plan(deployment, pool, UpstreamKind.ENGINE, index, address)
            self.engines[plan.name] = engine
            self.plans += (plan,)

    async def _async_start_services(self, deployment: Deployment) -> None:
        for index in range(deployment.services):
            service = Service(clock=self._clock, host=self._host, delay_ms=self._service_delay_ms)
            address = await service.async_start()
            pool = deployment.service_pool
            plan = _make_plan(deployment, pool, UpstreamKind.SERVICE, index, address)
            self.services[plan.name] = service
            self.plans += (plan,)

    def _make_platform(self) -> dict[str, Any]:
        return {
            "configuration": [f"http://{self.configuration.address}"],
            "instances": [f"http://{self.instances.address}"],
        }


def _make_plan(
    deployment: Deployment, pool: str, kind: UpstreamKind, index: int, upstream: Address
) -> SidePlan:
    return SidePlan(
        name=f"{pool}-{index + 1}",
        pool=pool,
        kind=kind,
        data_centre=deployment.get_data_centre(index),
        region=deployment.region,
        upstream=upstream,
    )


def _make_identity(name: str, data_centre: str, region: str) -> dict[str, str]:
    return {"name": name, "data_centre": data_centre, "region": region}
