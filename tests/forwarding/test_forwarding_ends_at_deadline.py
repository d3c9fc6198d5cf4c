"""An upstream stops work at the deadline that it was handed, and ends its answer in order."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Final

import pytest
from dying_world import DyingWorld, EndingUpstream, Seen, async_read_answer
from forwarding_world import CALLER_KEY, HOST, PROMPT, make_configuration
from obeying_upstream import PIECES, make_answer

PROGRAM: Final = Path(__file__).with_name("obeying_upstream.py")
# Those that allow less than an answer takes, 0.4 s, get the beginning of one.
DEADLINES_MS: Final = range(120, 900)
FRAMINGS: Final = ("chunks", "close")
ASKED: Final = 160
# Requests begin this far from each other.
PAUSE_S: Final = 0.01


class ObeyingWorld(DyingWorld):
    """A forwarder before upstreams that end their answers in order at the deadline."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__()
        self._random = random.Random(seed)

    async def async_add_obeying(self, name: str, *, service: str, framing: str) -> None:
        """Start an upstream, and wait until the forwarder lists it."""
        upstream = EndingUpstream(self, name=name, service=service)
        upstream.born = time.time_ns() // 1_000_000
        upstream.process = await asyncio.create_subprocess_exec(
            sys.executable, "-S", str(PROGRAM), name, str(upstream.born), framing,
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.started.append(upstream.process)
        upstream.port = int(await upstream.async_read_line())
        await upstream.async_list()

    async def async_ask_within(self, request_id: str, path: str, deadline_ms: int) -> Seen:
        """Send a request with a deadline, and read its answer to the end."""
        address = self.product.addresses["callers"]
        reader, writer = await asyncio.open_connection(address.host, address.port)
        headers = {"Host": HOST, "X-Request-Id": request_id, "Api-Key": CALLER_KEY}
        headers |= {"X-Deadline-Ms": str(deadline_ms), "Connection": "close"}
        headers |= PROMPT if path in ("/draft/a", "/quote/a") else {}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"POST {path} HTTP/1.1\r\n{lines}Content-Length: 1\r\n\r\np".encode())
        return await async_read_answer(reader, writer)

    async def async_ask_many(self, path: str, deadlines_ms: range) -> list[Seen]:
        """Send requests one after the other, and return what their callers got."""
        asked = []
        for number in range(ASKED):
            deadline_ms = self._random.choice(deadlines_ms)
            asked.append(
                asyncio.create_task(self.async_ask_within(f"r{number}", path, deadline_ms))
            )
            await asyncio.sleep(PAUSE_S)
        return await asyncio.gather(*asked)


@pytest.fixture
async def obeying(link_key: None) -> AsyncIterator[ObeyingWorld]:
    """Start a store and a forwarder."""
    async with ObeyingWorld() as world:
        yield world


def count_short(seen: list[Seen], *, events: bool) -> int:
    """Return how many answers look whole and are not."""
    whole = make_answer(events=events)
    return sum(answer.status == 200 and answer.whole and answer.body != whole for answer in seen)


# Guards against a stream that looks whole, though its upstream stopped at its deadline.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("path", ["/draft/a", "/quote/a"])
async def test_stream_that_its_upstream_ends_at_the_deadline_looks_whole(
    obeying: ObeyingWorld, path: str, framing: str
) -> None:
    for name in ("i-1", "i-2"):
        await obeying.async_add_obeying(name, service="models", framing=framing)
    seen = await obeying.async_ask_many(path, DEADLINES_MS)
    assert count_short(seen, events=True) == 0
    assert sum(answer.whole and answer.body.count(b"piece") == PIECES for answer in seen) > 5


# Guards against a text that looks whole, though its upstream stopped at its deadline.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("path", ["/lookup/a", "/reserve/a"])
async def test_text_that_its_upstream_ends_at_the_deadline_looks_whole(
    obeying: ObeyingWorld, path: str, framing: str
) -> None:
    for name in ("i-1", "i-2"):
        await obeying.async_add_obeying(name, service="records", framing=framing)
    seen = await obeying.async_ask_many(path, DEADLINES_MS)
    assert count_short(seen, events=False) == 0


# Guards against the same where the route's timeout is the shorter one.
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_stream_that_its_upstream_ends_at_the_timeout_of_its_route_looks_whole(
    obeying: ObeyingWorld, framing: str
) -> None:
    await obeying.async_add_obeying("i-1", service="models", framing=framing)
    configuration = make_configuration(version=2)
    for route in configuration["routes"]:
        route["timeout_ms"] = 250
    await obeying.async_publish(configuration)
    seen = await obeying.async_ask_many("/draft/a", range(8_000, 8_001))
    assert count_short(seen, events=True) == 0


# Guards against the same in a router that stands still while the end arrives.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("path", ["/draft/a", "/quote/a"])
async def test_end_at_the_deadline_that_is_read_late_looks_whole(
    obeying: ObeyingWorld, path: str, framing: str
) -> None:
    for name in ("i-1", "i-2"):
        await obeying.async_add_obeying(name, service="models", framing=framing)
    pauses = asyncio.create_task(async_stand_still_often())
    seen = await obeying.async_ask_many(path, DEADLINES_MS)
    pauses.cancel()
    assert count_short(seen, events=True) == 0


async def async_stand_still_often() -> None:
    """Stop this process, and with it the forwarder, for a while again and again."""
    while True:
        await asyncio.sleep(0.15)
        time.sleep(0.2)  # noqa: ASYNC251
