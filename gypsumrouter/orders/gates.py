"""Whether an engine may change now, by what the others say: pure functions.

Each returns the reason to wait, empty where there is none.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from msgspec import Struct

from gypsumrouter.configuration import PoolOrders
from gypsumrouter.link.models import EngineStatus, ModelStatus
from gypsumrouter.orders.changes import get_minimum
from gypsumrouter.orders.const import FAILURES_PASSED
from gypsumrouter.orders.models import Change, OrderKind
from gypsumrouter.orders.ranks import get_rank, rank_names


class Step(Struct, frozen=True, kw_only=True):
    """How far one engine of many is with the same change."""

    name: str
    done: bool
    changing: bool
    failures: int = 0


def find_model(holding: EngineStatus, name: str) -> ModelStatus | None:
    """Return what a holding says of a model."""
    return next((model for model in holding.models if model.name == name), None)


def find_obstacle(
    *, own: str, change: Change, orders: PoolOrders, holdings: Sequence[EngineStatus]
) -> str:
    """Return why the engine of `own` may not begin a change now.

    `holdings` are those of the engines that answer, the own one among them.
    """
    waiting = ""
    if change.replaces:
        waiting = _find_replace_obstacle(own, change, orders, holdings)
    elif change.kind is OrderKind.SET_ROLE:
        waiting = _find_role_obstacle(own, change, orders, holdings)
    for name in change.withdraws:
        waiting = waiting or _find_withdraw_obstacle(own, name, get_minimum(orders, name), holdings)
    return waiting


def _find_withdraw_obstacle(
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


def _find_replace_obstacle(
    own: str, change: Change, orders: PoolOrders, holdings: Sequence[EngineStatus]
) -> str:
    steps = [
        Step(
            name=holding.name,
            done=model.version == change.version,
            changing=not model.serving,
            failures=model.failures,
        )
        for holding in holdings
        if (model := find_model(holding, change.name)) and model.version
    ]
    return find_turn_obstacle(
        own=own,
        purpose=f"{change.name}/{change.version}",
        minimum=get_minimum(orders, change.name),
        share=orders.change_share,
        steps=steps,
    )


def _find_role_obstacle(
    own: str, change: Change, orders: PoolOrders, holdings: Sequence[EngineStatus]
) -> str:
    steps = [
        Step(
            name=holding.name,
            done=holding.role == change.role,
            changing=any(not model.serving for model in holding.models),
        )
        for holding in holdings
    ]
    return find_turn_obstacle(
        own=own, purpose=change.role, minimum=0, share=orders.change_share, steps=steps
    )


def find_turn_obstacle(
    *, own: str, purpose: str, minimum: int, share: float, steps: Sequence[Step]
) -> str:
    """Return why it is not the turn of `own` in a change that many engines go through.

    The engines are put into lanes by rank, one lane for each that may change at once. In a lane
    each waits for those before it, so that it needs to know of no others. One engine goes first
    alone; a lane passes over an engine that fails while others succeed, or that fails again and
    again.
    """
    room = len(steps) - minimum
    if room < 1:
        return f"{minimum} engines are needed and there are {len(steps)}"
    proven = any(step.done for step in steps)
    width = min(room, max(1, int(len(steps) * share))) if proven else 1
    changing = sum(1 for step in steps if step.changing and step.name != own)
    if changing >= width:
        return f"{changing} of {len(steps)} engines are changing, {width} may"
    by_name = {step.name: step for step in steps}
    ranked = rank_names(purpose, by_name)
    place = ranked.index(own)
    for name in ranked[place % width : place : width]:
        if not _is_passed(by_name[name], proven=proven):
            return f"{name} goes first"
    return ""


def choose_source(
    *, own: str, name: str, version: str, avoided: Iterable[str], holdings: Iterable[EngineStatus]
) -> str:
    """Return the engine of a neighbour that holds a version, empty where there is none."""
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


def find_store_obstacle(
    *, own: str, name: str, version: str, holdings: Iterable[EngineStatus]
) -> str:
    """Return why the engine of `own` may not load a version from the weight store now.

    One engine fetches it there, and the others from that one.
    """
    for holding in holdings:
        model = find_model(holding, name)
        if holding.name == own or model is None or model.next_version != version:
            continue
        if model.failures < FAILURES_PASSED:
            return f"{holding.name} is loading it"
    return ""


def _is_serving(model: ModelStatus) -> bool:
    return model.serving and bool(model.version)


def _is_passed(step: Step, *, proven: bool) -> bool:
    if step.done:
        return True
    return step.failures >= FAILURES_PASSED or (proven and step.failures > 0)
