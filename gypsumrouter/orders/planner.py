"""The desired state of the local engine, computed from the plan of the pool."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from gypsumrouter.configuration import Pool, PoolOrders
from gypsumrouter.link.models import EngineStatus
from gypsumrouter.orders.changes import list_targets
from gypsumrouter.orders.plan import PlannedEngine, plan_models
from gypsumrouter.orders.table import HoldingTable


class Planner:
    """Compute the plan and keep the part for this side.

    `desired` has the version of each model and adapter that the engine should hold; it is None
    while holdings are missing. `counts` is the number of engines that the plan assigns to each
    model.
    """

    __slots__ = ("_name", "_table", "counts", "demand", "desired")

    def __init__(self, *, name: str, table: HoldingTable) -> None:
        self._name = name
        self._table = table
        self.desired: Mapping[str, str] | None = None
        self.counts: Mapping[str, int] = {}
        self.demand: Mapping[str, float] = {}

    def reset(self) -> None:
        """Clear the plan, because holdings are missing or nothing is configured."""
        self.desired = None
        self.counts = {}
        self.demand = {}

    def update(self, pool: Pool, orders: PoolOrders) -> None:
        """Compute the plan from the current holdings."""
        holdings = self._table.list_available()
        if self._table.list_unreported() or all(item.name != self._name for item in holdings):
            self.reset()
            return
        self.demand = sum_demand(orders, holdings)
        plan = plan_models(
            orders=orders,
            engines=[_to_engine(holding) for holding in holdings],
            demand=self.demand,
            slots=pool.slots,
        )
        self.counts = Counter(name for models in plan.values() for name in models)
        self.desired = list_targets(orders, plan[self._name])


def sum_demand(orders: PoolOrders, holdings: Iterable[EngineStatus]) -> dict[str, float]:
    """Return the number of requests of each model, including those for its adapters."""
    bases = {model.name: model.name for model in orders.models}
    for model in orders.models:
        bases |= {adapter.name: model.name for adapter in model.adapters}
    demand = {model.name: 0.0 for model in orders.models}
    for holding in holdings:
        for held in holding.models:
            if held.name in bases:
                demand[bases[held.name]] += held.load
    return demand


def _to_engine(holding: EngineStatus) -> PlannedEngine:
    models = frozenset(model.name for model in holding.models)
    return PlannedEngine(name=holding.name, models=models)
