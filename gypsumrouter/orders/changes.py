"""The next step of one engine from what it holds towards what it is to hold."""

from __future__ import annotations

from collections.abc import Mapping

from gypsumrouter.configuration import PoolOrders
from gypsumrouter.orders.models import Change, EngineState, OrderKind


def list_targets(orders: PoolOrders, models: frozenset[str]) -> dict[str, str]:
    """Return the version of each model, and of its adapters, that an engine is to hold."""
    targets: dict[str, str] = {}
    for model in orders.models:
        if model.name not in models:
            continue
        targets[model.name] = model.version
        targets |= {adapter.name: adapter.version for adapter in model.adapters}
    return targets


def get_minimum(orders: PoolOrders, name: str) -> int:
    """Return how many engines must serve a model or an adapter; 0 if it is not ordered."""
    for model in orders.models:
        if name == model.name or any(name == adapter.name for adapter in model.adapters):
            return model.min_engines
    return 0


def get_version(orders: PoolOrders, name: str) -> str | None:
    """Return the ordered version of a model or an adapter, None if it is not ordered."""
    names = frozenset(model.name for model in orders.models)
    return list_targets(orders, names).get(name)


def choose_change(orders: PoolOrders, models: frozenset[str], state: EngineState) -> Change | None:
    """Return the next step, None where the engine holds just what it is to hold."""
    targets = list_targets(orders, models)
    return (
        _change_role(orders, state)
        or _load_missing(orders, targets, state)
        or _replace_version(targets, state)
        or _unload_surplus(targets, state)
    )


def _change_role(orders: PoolOrders, state: EngineState) -> Change | None:
    if orders.role is None or orders.role == state.role:
        return None
    return Change(
        kind=OrderKind.SET_ROLE,
        role=orders.role,
        withdraws=tuple(sorted(state.models)),
        reason=f"the role is {state.role or 'unknown'}",
    )


def _load_missing(
    orders: PoolOrders, targets: Mapping[str, str], state: EngineState
) -> Change | None:
    for model in orders.models:
        if model.name in targets and model.name not in state.models:
            return _load_model(orders, targets, state, model.name)
    for name, version in targets.items():
        if name not in state.models:
            reason = "an adapter of a model that is held"
            return Change(kind=OrderKind.LOAD, name=name, version=version, reason=reason)
    return None


def _load_model(
    orders: PoolOrders, targets: Mapping[str, str], state: EngineState, name: str
) -> Change:
    """Return the load of a model, which takes the place of another one if there is none left."""
    bases = {model.name for model in orders.models}
    held = bases & state.models.keys()
    surplus = sorted(held - targets.keys())
    room = orders.models_per_engine - len(held)
    drops = () if room > 0 else _add_held_adapters(orders, state, surplus[: 1 - room])
    taken = f", in the place of {drops[0]}" if drops else ""
    return Change(
        kind=OrderKind.LOAD,
        name=name,
        version=targets[name],
        drops=drops,
        withdraws=drops,
        reason=f"this engine is to hold it{taken}",
    )


def _add_held_adapters(orders: PoolOrders, state: EngineState, names: list[str]) -> tuple[str, ...]:
    """Return the models with those of their adapters that are held."""
    found = list_targets(orders, frozenset(names))
    return tuple(name for name in found if name in state.models)


def _replace_version(targets: Mapping[str, str], state: EngineState) -> Change | None:
    for name, version in targets.items():
        if name in state.models and not state.holds(name, version):
            return Change(
                kind=OrderKind.LOAD,
                name=name,
                version=version,
                withdraws=(name,),
                reason=f"version {state.models[name]} is held",
            )
    return None


def _unload_surplus(targets: Mapping[str, str], state: EngineState) -> Change | None:
    surplus = tuple(sorted(state.models.keys() - targets.keys()))
    if not surplus:
        return None
    return Change(
        kind=OrderKind.UNLOAD,
        drops=surplus,
        withdraws=surplus,
        reason="this engine is not to hold it",
    )
