"""Assignment of models to engines: a pure function with the same result in every process.

Planning starts from the models that the engines hold and makes few changes. First every model
gets its minimum number of engines, then free capacity is filled, and then engines are reassigned
from models with little demand to busy ones.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from msgspec import Struct

from gypsumrouter.configuration import OrderedModel, PoolOrders
from gypsumrouter.orders.const import BUSY_SHARE, DEMAND_MARGIN, DEMAND_PRIOR
from gypsumrouter.orders.ranks import get_rank

Plan = Mapping[str, frozenset[str]]


class PlannedEngine(Struct, frozen=True, kw_only=True):
    """An available engine with the models that it holds or is loading."""

    name: str
    models: frozenset[str]


def plan_models(
    *,
    orders: PoolOrders,
    engines: Iterable[PlannedEngine],
    demand: Mapping[str, float],
    slots: int,
) -> Plan:
    """Return the models assigned to each engine, by the engine's name.

    `demand` is the number of requests of each model, `slots` the concurrency of one engine. The
    function is idempotent: planning from its own result returns the same plan.
    """
    draft = _Draft(orders=orders, engines=engines, demand=demand)
    draft.trim()
    draft.reach_minimum()
    draft.fill()
    draft.follow_demand(busy=BUSY_SHARE * slots)
    return {name: frozenset(models) for name, models in draft.held.items()}


class _Draft:
    """A plan that is being computed."""

    __slots__ = ("_counts", "_demand", "_limit", "_models", "held")

    def __init__(
        self, *, orders: PoolOrders, engines: Iterable[PlannedEngine], demand: Mapping[str, float]
    ) -> None:
        self._models = {model.name: model for model in orders.models}
        self._limit = orders.models_per_engine
        self._demand = demand
        ordered = sorted(engines, key=lambda engine: engine.name)
        self.held = {item.name: set(item.models & self._models.keys()) for item in ordered}
        self._counts = dict.fromkeys(self._models, 0)
        for models in self.held.values():
            for name in models:
                self._counts[name] += 1

    def trim(self) -> None:
        """Drop models above the limit per engine, those furthest above their minimum first."""
        for engine, models in self.held.items():
            while len(models) > self._limit:
                spare = max(models, key=lambda name: (self._get_spare(name), name))
                self._drop(engine, spare)

    def reach_minimum(self) -> None:
        """Assign engines to models below their minimum, as far as possible."""
        self._repeat(self._list_short)

    def fill(self) -> None:
        """Assign free capacity to the models with the most demand per engine."""
        while any(self._is_free(engine) for engine in self.held):
            wanted = sorted(self._models, key=self._get_need, reverse=True)
            if not any(self._place_free(name) for name in wanted):
                return

    def follow_demand(self, *, busy: float) -> None:
        """Reassign engines to busy models while the load differs by more than DEMAND_MARGIN."""
        self._repeat(lambda: self._list_busy(busy), self._move_for_demand)

    def _repeat(
        self, list_names: Callable[[], list[str]], place: Callable[[str], bool] | None = None
    ) -> None:
        """Place the first listed model that can be placed, until there is none."""
        for _ in range(len(self.held) * self._limit + 1):
            if not any((place or self._place)(name) for name in list_names()):
                return

    def _list_short(self) -> list[str]:
        short = [name for name in self._models if self._get_spare(name) < 0]
        return sorted(short, key=self._get_spare)

    def _list_busy(self, busy: float) -> list[str]:
        found = [name for name in self._models if self._get_load(name) >= busy]
        return sorted(found, key=self._get_load, reverse=True)

    def _place(self, name: str) -> bool:
        return self._place_free(name) or any(
            self._swap(donor, name) for donor in self._list_donors(name)
        )

    def _place_free(self, name: str) -> bool:
        return self._add_best(
            name, [engine for engine in self.held if self._is_free(engine)], drop=None
        )

    def _move_for_demand(self, name: str) -> bool:
        worth = [
            donor
            for donor in self._list_donors(name)
            if self._get_load(name) > DEMAND_MARGIN * self._get_load_after(donor)
        ]
        return any(self._swap(donor, name) for donor in worth)

    def _swap(self, donor: str, name: str) -> bool:
        holders = [engine for engine, models in self.held.items() if donor in models]
        return self._add_best(name, holders, drop=donor)

    def _add_best(self, name: str, engines: list[str], *, drop: str | None) -> bool:
        """Assign a model to the first engine by rank that does not hold it yet."""
        fit = [engine for engine in engines if name not in self.held[engine]]
        if not fit:
            return False
        engine = min(fit, key=lambda candidate: get_rank(name, candidate))
        if drop is not None:
            self._drop(engine, drop)
        self.held[engine].add(name)
        self._counts[name] += 1
        return True

    def _drop(self, engine: str, name: str) -> None:
        self.held[engine].discard(name)
        self._counts[name] -= 1

    def _list_donors(self, name: str) -> list[str]:
        """Return models above their minimum, those with the lowest resulting load first."""
        donors = [other for other in self._models if other != name and self._get_spare(other) > 0]
        return sorted(donors, key=lambda other: (self._get_load_after(other), other))

    def _is_free(self, engine: str) -> bool:
        return len(self.held[engine]) < self._limit

    def _get_spare(self, name: str) -> int:
        return self._counts[name] - self._get_minimum(self._models[name])

    def _get_minimum(self, model: OrderedModel) -> int:
        return min(model.min_engines, len(self.held))

    def _get_load(self, name: str) -> float:
        return self._demand.get(name, 0.0) / max(1, self._counts[name])

    def _get_need(self, name: str) -> float:
        count = self._counts[name]
        if count == 0:
            return math.inf
        return (self._demand.get(name, 0.0) + DEMAND_PRIOR) / count

    def _get_load_after(self, donor: str) -> float:
        """Return the load per engine of a model after it has lost one engine."""
        left = self._counts[donor] - 1
        demand = self._demand.get(donor, 0.0)
        if left == 0:
            return math.inf if demand > 0 else 0.0
        return (demand + DEMAND_PRIOR) / left
