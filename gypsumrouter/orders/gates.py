"""Preconditions of a change, given the holdings of the other engines; pure functions.

Each `find_*_block_reason` returns why the change must wait, or an empty string.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from msgspec import Struct

from gypsumrouter.configuration import PoolOrders
from gypsumrouter.link.models import EngineStatus, ModelStatus
from gypsumrouter.orders.changes import get_minimum
from gypsumrouter.orders.const import MAX_LOAD_FAILURES
from gypsumrouter.orders.models import Change, OrderKind
from gypsumrouter.orders.ranks import get_rank, rank_names


class EngineProgress(Struct, frozen=True, kw_only=True):
    """The progress of one engine in a rollout to several engines."""

    name: str
    done: bool
    changing: bool
    failures: int = 0


def find_model(holding: EngineStatus, name: str) -> ModelStatus | None:
    """Return the entry of a model in a holding, or None."""
    return next((model for model in holding.models if model.name == name), None)


def find_block_reason(
    *, own: str, change: Change, orders: PoolOrders, holdings: Sequence[EngineStatus]
) -> str:
    """Return why the engine of the side `own` may not start a change now.

    `holdings` are those of all available engines, including its own.
    """
    block_reason = ""
    if change.replaces:
        block_reason = _find_replace_block_reason(own, change, orders, holdings)
    elif change.kind is OrderKind.SET_ROLE:
        block_reason = _find_role_block_reason(own, change, orders, holdings)
    for name in change.withdraws:
        block_reason = block_reason or _find_withdraw_block_reason(
            own, name, get_minimum(orders, name), holdings
        )
    return block_reason


def _find_withdraw_block_reason(
    own: str, name: str, minimum: int, holdings: Iterable[EngineStatus]
) -> str:
    serving = sum(
        1
        for holding in holdings
        if holding.name != own and (model := find_model(holding, name)) and _is_serving(model)
    )
    if serving >= minimum:
        return ""
    return f"only {serving} other engines would serve {name}, {minimum} are needed"


def _find_replace_block_reason(
    own: str, change: Change, orders: PoolOrders, holdings: Sequence[EngineStatus]
) -> str:
    engines = [
        EngineProgress(
            name=holding.name,
            done=model.version == change.version,
            changing=not model.serving,
            failures=model.failures,
        )
        for holding in holdings
        if (model := find_model(holding, change.name)) and model.version
    ]
    return find_rollout_block_reason(
        own=own,
        purpose=f"{change.name}/{change.version}",
        minimum=get_minimum(orders, change.name),
        share=orders.change_share,
        engines=engines,
    )


def _find_role_block_reason(
    own: str, change: Change, orders: PoolOrders, holdings: Sequence[EngineStatus]
) -> str:
    engines = [
        EngineProgress(
            name=holding.name,
            done=holding.role == change.role,
            changing=any(not model.serving for model in holding.models),
        )
        for holding in holdings
    ]
    return find_rollout_block_reason(
        own=own, purpose=change.role, minimum=0, share=orders.change_share, engines=engines
    )


def find_rollout_block_reason(
    *, own: str, purpose: str, minimum: int, share: float, engines: Sequence[EngineProgress]
) -> str:
    """Return why the engine of `own` has to wait in a rollout.

    Engines are distributed by rank over as many lanes as engines may change at once, and each
    engine waits for those before it in its lane. Until one engine has succeeded there is a single
    lane. An engine is skipped after a failure if another one has succeeded, and otherwise after
    MAX_LOAD_FAILURES failures.
    """
    max_changing = len(engines) - minimum
    if max_changing < 1:
        return f"{minimum} engines are needed and there are {len(engines)}"
    any_done = any(engine.done for engine in engines)
    width = min(max_changing, max(1, int(len(engines) * share))) if any_done else 1
    changing = sum(1 for engine in engines if engine.changing and engine.name != own)
    if changing >= width:
        return f"{changing} of {len(engines)} engines are changing, {width} may"
    by_name = {engine.name: engine for engine in engines}
    ranked = rank_names(purpose, by_name)
    position = ranked.index(own)
    for name in ranked[position % width : position : width]:
        if not _is_skipped(by_name[name], any_done=any_done):
            return f"{name} goes first"
    return ""


def choose_source(
    *, own: str, name: str, version: str, avoided: Iterable[str], holdings: Iterable[EngineStatus]
) -> str:
    """Return the address of another engine that holds a version, or an empty string.

    The choice depends on the rank of the engine for `own`, which spreads loads over the holders.
    """
    sources = [
        holding.engine
        for holding in holdings
        if holding.name != own
        and holding.engine
        and (model := find_model(holding, name))
        and model.version == version
    ]
    left = set(sources).difference(avoided)
    return min(left, key=lambda engine: get_rank(f"{own}/{name}", engine), default="")


def find_store_block_reason(
    *, own: str, name: str, version: str, holdings: Iterable[EngineStatus]
) -> str:
    """Return why the engine of `own` may not load a version from the weight store now.

    One engine fetches it from the store, and the others copy it from that engine.
    """
    for holding in holdings:
        model = find_model(holding, name)
        if holding.name == own or model is None or model.next_version != version:
            continue
        if model.failures < MAX_LOAD_FAILURES:
            return f"{holding.name} is loading it"
    return ""


def _is_serving(model: ModelStatus) -> bool:
    return model.serving and bool(model.version)


def _is_skipped(engine: EngineProgress, *, any_done: bool) -> bool:
    if engine.done:
        return True
    return engine.failures >= MAX_LOAD_FAILURES or (any_done and engine.failures > 0)
