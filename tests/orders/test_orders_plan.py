"""The plan: deterministic, with few changes, and never below a minimum."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from orders_fakes import make_orders

from gypsumrouter.configuration.models import OrderedModel
from gypsumrouter.orders.plan import Plan, PlannedEngine, plan_models

MODELS = ("a", "b", "c", "d")
SLOTS = 4

Engines = list[PlannedEngine]


def make_engines(*held: str) -> Engines:
    return [
        PlannedEngine(name=f"e{number}", models=frozenset(models.split()))
        for number, models in enumerate(held)
    ]


def plan(
    engines: Engines, *, minimum: int = 1, demand: dict[str, float] | None = None, limit: int = 1
) -> Plan:
    models = tuple(OrderedModel(name=name, min_engines=minimum) for name in ("a", "b"))
    orders = make_orders(models=models, models_per_engine=limit)
    return plan_models(orders=orders, engines=engines, demand=demand or {}, slots=SLOTS)


def count(found: Plan) -> Counter[str]:
    return Counter(name for models in found.values() for name in models)


def test_assignment_that_meets_minimum_is_unchanged() -> None:
    engines = make_engines("a", "a", "a", "b")
    assert plan(engines) == {engine.name: engine.models for engine in engines}


def test_model_without_engines_gets_only_its_minimum() -> None:
    found = plan(make_engines("a", "a", "a", "a"), minimum=2)
    assert count(found) == {"a": 2, "b": 2}


def test_empty_engine_gets_model_with_most_demand() -> None:
    found = plan(make_engines("a", "b", ""), demand={"a": 1.0, "b": 1.5})
    assert found["e2"] == {"b"}


def test_small_demand_difference_changes_nothing() -> None:
    engines = make_engines("a", "a", "b", "b")
    found = plan(engines, demand={"a": 7.0, "b": 5.0})
    assert count(found) == {"a": 2, "b": 2}


def test_surge_reassigns_engines_above_minimum() -> None:
    found = plan(make_engines("a", "a", "a", "b"), demand={"b": 40.0})
    assert count(found) == {"a": 1, "b": 3}


def test_unconfigured_models_are_ignored() -> None:
    assert plan(make_engines("a stranger", "b")) == {"e0": {"a"}, "e1": {"b"}}


def test_engine_above_limit_drops_most_replicated_model() -> None:
    found = plan(make_engines("a b", "a", "a"))
    assert found["e0"] == {"b"}


@st.composite
def make_case(draw: st.DrawFn) -> tuple[Engines, tuple[OrderedModel, ...], dict[str, float], int]:
    names = draw(st.lists(st.integers(0, 99), min_size=1, max_size=9, unique=True))
    engines = [
        PlannedEngine(name=f"e{name}", models=frozenset(draw(st.sets(st.sampled_from(MODELS)))))
        for name in names
    ]
    models = tuple(
        OrderedModel(name=name, min_engines=draw(st.integers(0, 3))) for name in MODELS[:3]
    )
    demand = {name: draw(st.integers(0, 80)) / 4 for name in MODELS[:3]}
    return engines, models, demand, draw(st.integers(1, 2))


@settings(derandomize=True, deadline=None, max_examples=400)
@given(case=make_case(), shuffled=st.randoms(use_true_random=False))
def test_plan_is_deterministic_idempotent_and_within_limits(
    case: tuple[Engines, tuple[OrderedModel, ...], dict[str, float], int], shuffled: object
) -> None:
    engines, models, demand, limit = case
    orders = make_orders(models=models, models_per_engine=limit)
    found = plan_models(orders=orders, engines=engines, demand=demand, slots=SLOTS)
    shuffled.shuffle(engines)  # type: ignore[attr-defined]
    again = plan_models(orders=orders, engines=engines, demand=demand, slots=SLOTS)
    assert again == found
    done = [PlannedEngine(name=name, models=held) for name, held in found.items()]
    assert plan_models(orders=orders, engines=done, demand=demand, slots=SLOTS) == found
    counts = count(found)
    assert all(len(held) <= limit for held in found.values())
    needed = {item.name: min(item.min_engines, len(engines)) for item in models}
    if limit == 1 and sum(needed.values()) <= len(engines):
        assert all(counts[name] >= least for name, least in needed.items())
