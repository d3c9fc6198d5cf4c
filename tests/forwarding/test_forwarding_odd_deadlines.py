"""Deadlines of callers that are no plain numbers, and those that are."""

from __future__ import annotations

import json

import aiohttp
import pytest
from forwarding_world import ForwardingWorld

Session = aiohttp.ClientSession
LONG = "9" * 6_000


@pytest.mark.parametrize(
    "deadline",
    [
        "-1",
        "+900",
        "1_0",
        "\u0663\u0660\u0660",
        "\uff11\uff10\uff10\uff10",
        "²",
        "nan",
        "inf",
        "1e3",
        "1e400",
        "",
        "9" * 21,
        LONG,
    ],
)
async def test_deadline_that_is_no_plain_number_is_rejected_by_name(
    world: ForwardingWorld, session: Session, deadline: str
) -> None:
    """Guards against a deadline that nobody stated: 503 or 504 at once for a false header."""
    extra = {"X-Deadline-Ms": deadline}
    status, body, _ = await world.async_call(session, "GET", "/lookup/a", "r1", extra=extra)
    assert status == 400
    assert json.loads(body)["error"]["param"] == "X-Deadline-Ms"
    assert world.arrivals("r1") == []


@pytest.mark.parametrize("deadline", ["2500", "2500.75", "002500", "9" * 20])
async def test_plain_deadline_is_kept(
    world: ForwardingWorld, session: Session, deadline: str
) -> None:
    extra = {"X-Deadline-Ms": deadline}
    status, _, _ = await world.async_call(session, "GET", "/lookup/a", "r1", extra=extra)
    assert status == 200
    # The route's timeout, 3 s, bounds a longer deadline.
    assert 0 < int(world.arrivals("r1")[0].headers["X-Deadline-Ms"]) <= 4_000


async def test_deadline_of_zero_has_passed(world: ForwardingWorld, session: Session) -> None:
    extra = {"X-Deadline-Ms": "0"}
    status, _, _ = await world.async_call(session, "GET", "/lookup/a", "r1", extra=extra)
    assert status in {503, 504}
    assert not any(arrival.ran for arrival in world.arrivals("r1"))
