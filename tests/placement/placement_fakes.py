"""Fakes of the fleet and the links, and a harness for placement tests."""

from __future__ import annotations

from dataclasses import dataclass, field

from msgspec import Struct

from gypsumrouter.configuration.models import Pool
from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.instances import Address, Instance
from gypsumrouter.link.models import Status
from gypsumrouter.placement import Placement, PlacementKind, PlacementQuery
from gypsumrouter.util.clock import ManualClock

POOL = Pool(name="models", kind=UpstreamKind.ENGINE, cap=1.25, floor=4)
MODEL = "gypsum-8b"


class FakeStatusView(Struct, frozen=True, kw_only=True):
    status: Status
    age_ms: int = 0


@dataclass(slots=True)
class FakeFleet:
    instances: tuple[Instance, ...] = ()

    def members(self, pool: str) -> tuple[Instance, ...]:
        return tuple(item for item in self.instances if item.pool == pool)


@dataclass(slots=True)
class FakeLinks:
    views: dict[str, FakeStatusView] = field(default_factory=dict)

    def status(self, name: str) -> FakeStatusView | None:
        return self.views.get(name)

    def report(
        self,
        name: str,
        *,
        load: int = 0,
        age_ms: int = 0,
        models: tuple[str, ...] = (),
        ready: bool = True,
        batch_waiting: int = 0,
    ) -> None:
        status = Status(
            load=load,
            running=load,
            weight=1.0,
            leaving=False,
            ready=ready,
            models=models,
            batch_waiting=batch_waiting,
        )
        self.views[name] = FakeStatusView(status=status, age_ms=age_ms)


class PlacementHarness(Struct, kw_only=True):
    """One fleet and its statuses, shared by any number of routers."""

    fleet: FakeFleet
    links: FakeLinks
    clock: ManualClock

    def make_router(
        self,
        *,
        name: str = "router-1",
        data_centre: str = "dc-1",
        kind: PlacementKind = PlacementKind.RENDEZVOUS,
    ) -> Placement:
        app = Application(
            name=name,
            role=Role.ROUTER,
            data_centre=data_centre,
            region="region-1",
            clock=self.clock,
            incarnation=7,
        )
        return Placement(app=app, fleet=self.fleet, links=self.links, kind=kind, seed=1)


def make_instance(
    number: int, *, weight: float = 1.0, data_centre: str = "dc-1", region: str = "region-1"
) -> Instance:
    return Instance(
        name=f"engine-{number:03}",
        role=Role.SIDE,
        address=Address(host="127.0.0.1", port=1 + number),
        data_centre=data_centre,
        region=region,
        pool=POOL.name,
        weight=weight,
    )


def make_query(
    chat: str, *, returning: bool = True, hint: str = "", model: str = ""
) -> PlacementQuery:
    return PlacementQuery(
        pool=POOL, workspace="chapin", chat=chat, returning=returning, hint=hint, model=model
    )


def list_names(instances: tuple[Instance, ...]) -> list[str]:
    return [instance.name for instance in instances]
