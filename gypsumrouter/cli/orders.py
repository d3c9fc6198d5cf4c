"""Command that shows which models engines should hold, hold and are loading."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from gypsumrouter.cli.client import DumpResult, get_section
from gypsumrouter.cli.inspection import add_inspection_options, show_processes
from gypsumrouter.cli.table import UNKNOWN, Row
from gypsumrouter.operators import ATTR_INSTANCE
from gypsumrouter.orders import DUMP_SECTION


class OrdersRow(Row, frozen=True, kw_only=True):
    """A side: the wished and held models of its engine, the pending change and its reason."""

    instance: str = UNKNOWN
    wished: str = UNKNOWN
    held: str = UNKNOWN
    pending: str = UNKNOWN
    reason: str = UNKNOWN


@click.command("orders")
@add_inspection_options
def orders_command(addresses: tuple[str, ...], token_file: Path | None, as_json: bool) -> None:
    """Show the orders of the sides whose operator endpoints are at ADDRESS.

    Exits with 1 if a side cannot be reached.
    """
    show_processes(make_row, addresses=addresses, token_file=token_file, as_json=as_json)


def make_row(result: DumpResult) -> OrdersRow:
    """Return the row of a process."""
    if result.dump is None:
        return OrdersRow(address=result.address, error=result.error)
    instance = str(result.dump.get(ATTR_INSTANCE) or UNKNOWN)
    section = get_section(result.dump, DUMP_SECTION)
    if not section:
        return OrdersRow(address=result.address, instance=instance, reason="gives no orders")
    held = section.get("held") or {}
    return OrdersRow(
        address=result.address,
        instance=instance,
        wished=_format_models(section.get("wished")),
        held=_format_models(held.get("models")),
        pending=_format_pending(section.get("pending"), held.get("loading")),
        reason=_get_reason(section),
    )


def _format_models(models: dict[str, str] | None) -> str:
    if models is None:
        return UNKNOWN
    return ",".join(f"{name}@{version}" for name, version in sorted(models.items())) or "nothing"


def _format_pending(change: dict[str, Any] | None, loading: dict[str, str] | None) -> str:
    if change is None:
        return _format_models(loading) if loading else UNKNOWN
    target = change["role"] or f"{change['name']}@{change['version']}"
    if not change["name"] and not change["role"]:
        target = ",".join(change["drops"])
    source = f" from {change['source']}" if change["source"] else ""
    return f"{change['order']} {target}{source}"


def _get_reason(section: dict[str, Any]) -> str:
    """Return the reason of the pending change, or why there is none."""
    change = section.get("pending")
    if change is not None:
        return str(change["reason"])
    reason = str(section.get("waiting") or UNKNOWN)
    last = section.get("last")
    if reason == UNKNOWN or not last or last["result"] != "failed":
        return reason
    return f"{reason}; the last try failed: {last['reason']}"
