"""An upstream states at the deadline that it was handed that a request has not run."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Final

import pytest
from dying_world import EndingUpstream
from forwarding_world import make_configuration
from test_forwarding_ends_at_deadline import ObeyingWorld

PROGRAM: Final = Path(__file__).with_name("queueing_upstream.py")


@pytest.fixture
async def queueing(link_key: None) -> AsyncIterator[ObeyingWorld]:
    """Start a forwarder before an upstream that refuses requests at their deadline."""
    async with ObeyingWorld() as world:
        for name, service in (("i-1", "records"), ("i-2", "models")):
            upstream = EndingUpstream(world, name=name, service=service)
            upstream.born = time.time_ns() // 1_000_000
            upstream.process = await asyncio.create_subprocess_exec(
                sys.executable, "-S", str(PROGRAM), name, str(upstream.born), "chunks",
                stdout=asyncio.subprocess.PIPE,
            )  # fmt: skip
            world.started.append(upstream.process)
            upstream.port = int(await upstream.async_read_line())
            await upstream.async_list()
        yield world


# Guards against a request that has waited in its upstream's queue until the timeout of its route,
# and whose caller, which has more time, must not send it again: 504 says that it may have run.
@pytest.mark.parametrize("path", ["/reserve/a", "/draft/a"])
async def test_request_that_has_not_run_at_the_timeout_of_its_route_is_not_refused(
    queueing: ObeyingWorld, path: str
) -> None:
    configuration = make_configuration(version=2)
    for route in configuration["routes"]:
        route["timeout_ms"] = 250
    await queueing.async_publish(configuration)
    seen = await queueing.async_ask_many(path, range(8_000, 8_001))
    statuses = [answer.status for answer in seen]
    assert statuses.count(503) > len(statuses) / 2, {s: statuses.count(s) for s in set(statuses)}
