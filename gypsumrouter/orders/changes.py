"""Selection of the next change that brings an engine from its actual to its desired state."""

from __future__ import annotations

from collections.abc import Mapping

from gypsumrouter.configuration import PoolOrders
from gypsumrouter.orders.models import Change, EngineState, OrderKind


def list_targets(orders: PoolOrders, models: frozenset[str]) -> dict[str, str]:
    """Return the desired version of each of the given models and of their adapters."""
    targets: dict[str, str] = {}
    for model in orders.models:
        if model.name not in models:
            continue
        targets[model.name] = model.version
        targets |= {adapter.name: adapter.version for adapter in model.adapters}
    return targets


def get_minimum(orders: PoolOrders, name: str) -> int:
    """Return the minimum number of engines for a model or adapter; 0 if it is not configured."""
    for model in orders.models:
        if name == model.name or any(name == adapter.name for adapter in model.adapters):
            return model.min_engines
    return 0


def get_version(orders: PoolOrders, name: str) -> str | None:
    """Return the configured version of a model or adapter; None if it is not configured."""
    names = frozenset(model.name for model in orders.models)
    return list_targets(orders, names).get(name)


def choose_change(orders: PoolOrders, models: frozenset[str], state: EngineState) -> Change | None:
    """Return the next change, or None if the engine is in its desired state."""
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
    """Return the change that loads a model, replacing a surplus one if the engine is full."""
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
    """Return those of the models and of their adapters that the engine holds."""
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
