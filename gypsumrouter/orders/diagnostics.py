"""Sections of the state dump about orders."""

from __future__ import annotations

from msgspec.structs import asdict

from gypsumrouter.link.models import ModelStatus
from gypsumrouter.orders.models import Change, EngineState
from gypsumrouter.orders.table import HoldingTable, ReceivedHolding


def dump_state(state: EngineState | None) -> dict[str, object] | None:
    """Return the engine's state as JSON data."""
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
    """Return the change in progress as JSON data."""
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
    """Return the last holding received from each side of the pool as JSON data."""
    return [_dump_entry(name, received, now_ms) for name, received in table.list_received()]


def _dump_entry(name: str, received: ReceivedHolding | None, now_ms: int) -> dict[str, object]:
    if received is None:
        return {"name": name, "heard": False}
    holding = received.holding
    return {
        "name": name,
        "heard": True,
        "age_ms": now_ms - received.received_ms,
        "up": holding.up,
        "engine": holding.engine,
        "role": holding.role,
        "models": [_dump_model(model) for model in holding.models],
    }


def _dump_model(model: ModelStatus) -> dict[str, object]:
    return asdict(model)
