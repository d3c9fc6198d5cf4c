"""Table of the command `orders`."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from click.testing import CliRunner

from gypsumrouter.bootstrap import ADDRESS_OPERATORS
from gypsumrouter.cli import main
from gypsumrouter.cli.client import DumpResult
from gypsumrouter.cli.orders import OrdersRow, make_row
from gypsumrouter.const import EXIT_FAILED, EXIT_OK
from gypsumrouter.demo.local_fleet import LocalFleet


def make_dump(**section: Any) -> DumpResult:
    orders = {"configured": True, "wished": None, "held": None, "pending": None, "waiting": ""}
    return DumpResult(
        address="1.2.3.4:5", dump={"instance": "a", "sections": {"orders": orders | section}}
    )


async def test_sides_without_orders_are_reported(local_fleet: LocalFleet) -> None:
    addresses = [str(side.addresses[ADDRESS_OPERATORS]) for side in local_fleet.sides.values()]
    arguments = ["orders", *addresses, "--json"]
    result = await asyncio.to_thread(CliRunner().invoke, main, arguments)
    assert result.exit_code == EXIT_OK
    reasons = sorted(row["reason"] for row in json.loads(result.stdout))
    assert reasons == ["gives no orders"] * 2 + ["no orders are configured for this pool"] * 2


async def test_unreachable_side_is_reported() -> None:
    result = await asyncio.to_thread(CliRunner().invoke, main, ["orders", "127.0.0.1:1"])
    assert result.exit_code == EXIT_FAILED
    assert "127.0.0.1:1" in result.stderr


def test_row_shows_wished_held_and_pending_models_with_the_reason() -> None:
    change = {
        "order": "load",
        "name": "b",
        "version": "2",
        "role": "",
        "drops": ["a"],
        "source": "10.0.0.2:80",
        "reason": "this engine is to hold it, in the place of a",
    }
    row = make_row(
        make_dump(wished={"b": "2"}, held={"models": {"a": "1"}, "loading": {}}, pending=change)
    )
    assert row == OrdersRow(
        address="1.2.3.4:5",
        instance="a",
        wished="b@2",
        held="a@1",
        pending="load b@2 from 10.0.0.2:80",
        reason="this engine is to hold it, in the place of a",
    )


def test_row_shows_why_no_order_is_sent_and_why_the_last_one_failed() -> None:
    row = make_row(
        make_dump(
            wished={"a": "2"},
            held={"models": {}, "loading": {"a": "2"}},
            waiting="a 2 is tried again soon, 1 tries have failed",
            last={"result": "failed", "reason": "fetch_status_429"},
        )
    )
    assert (row.held, row.pending) == ("nothing", "a@2")
    assert row.reason.endswith("failed; the last try failed: fetch_status_429")
