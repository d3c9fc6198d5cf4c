"""What the engine of this side is to hold, worked out anew from all that is known now."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from gypsumrouter.configuration import Pool, PoolOrders
from gypsumrouter.link.models import EngineStatus
from gypsumrouter.orders.changes import list_targets
from gypsumrouter.orders.plan import PlannedEngine, plan_models
from gypsumrouter.orders.table import HoldingTable


class Planner:
    """Keep the plan's part for this side.

    `wished` is the version of each model and adapter that the engine is to hold, None while too
    little is known. `counts` is how many engines the plan gives to each model.
    """

    __slots__ = ("_name", "_table", "counts", "demand", "wished")

    def __init__(self, *, name: str, table: HoldingTable) -> None:
        self._name = name
        self._table = table
        self.wished: Mapping[str, str] | None = None
        self.counts: Mapping[str, int] = {}
        self.demand: Mapping[str, float] = {}

    def forget(self) -> None:
        """Wish nothing, because too little is known or nothing is configured."""
        self.wished = None
        self.counts = {}
        self.demand = {}

    def update(self, pool: Pool, orders: PoolOrders) -> None:
        """Work the plan out."""
        holdings = self._table.list_answering()
        if self._table.list_awaited() or all(item.name != self._name for item in holdings):
            self.forget()
            return
        self.demand = sum_demand(orders, holdings)
        plan = plan_models(
            orders=orders,
            engines=[_to_engine(holding) for holding in holdings],
            demand=self.demand,
            slots=pool.slots,
        )
        self.counts = Counter(name for models in plan.values() for name in models)
        self.wished = list_targets(orders, plan[self._name])


def sum_demand(orders: PoolOrders, holdings: Iterable[EngineStatus]) -> dict[str, float]:
    """Return the requests in hand for each model; those for adapters count for their model."""
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
