"""What orders add to the state dump."""

from __future__ import annotations

from msgspec.structs import asdict

from gypsumrouter.link.models import ModelStatus
from gypsumrouter.orders.models import Change, EngineState
from gypsumrouter.orders.table import Heard, HoldingTable


def dump_state(state: EngineState | None) -> dict[str, object] | None:
    """Return what the engine holds as plain JSON data."""
    if state is None:
        return None
    return {
        "models": dict(state.models),
        "role": state.role,
        "loading": dict(state.pending),
    }


def dump_change(
    change: Change | None, *, confirmed: bool, source: str, since_ms: int
) -> dict[str, object] | None:
    """Return the change under way as plain JSON data; it is announced before it is confirmed."""
    if change is None:
        return None
    return {
        "order": change.kind.value,
        "name": change.name,
        "version": change.version,
        "role": change.role,
        "drops": list(change.drops),
        "confirmed": confirmed,
        "source": source,
        "since_ms": since_ms,
        "reason": change.reason,
    }


def dump_table(table: HoldingTable, now_ms: int) -> list[dict[str, object]]:
    """Return what was heard of each engine of the pool."""
    return [_dump_entry(name, heard, now_ms) for name, heard in table.list_heard()]


def _dump_entry(name: str, heard: Heard | None, now_ms: int) -> dict[str, object]:
    if heard is None:
        return {"name": name, "heard": False}
    holding = heard.holding
    return {
        "name": name,
        "heard": True,
        "age_ms": now_ms - heard.at_ms,
        "up": holding.up,
        "engine": holding.engine,
        "role": holding.role,
        "models": [_dump_model(model) for model in holding.models],
    }


def _dump_model(model: ModelStatus) -> dict[str, object]:
    return asdict(model)
