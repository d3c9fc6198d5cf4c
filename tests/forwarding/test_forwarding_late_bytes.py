"""Bytes of a dead upstream that its caller takes late are no sign that it lives."""

from __future__ import annotations

import asyncio

import pytest
from dying_world import DyingWorld
from forwarding_world import CALLER_KEY, HOST, PROMPT

from gypsumrouter.crashes.guard import SETTLE_MS

HELD = 3
# The crash guard judges a lost connection within this time, with room for a busy machine.
JUDGED_S = 5 * SETTLE_MS / 1_000
READ_BYTES = 65_536
PAUSE_S = 0.01


# Guards against a crash that is overlooked, since the caller of another answer makes room for what
# the upstream has sent before its end.
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
async def test_bytes_that_a_slow_caller_takes_late_hide_a_crash(
    dying: DyingWorld, states_start: bool
) -> None:
    upstream = await dying.async_add(held=HELD, states_start=states_start)
    resume = asyncio.Event()
    slow = asyncio.create_task(async_read_slowly(dying, resume))
    await asyncio.sleep(0.5)
    asked = asyncio.create_task(dying.async_ask("r1", "/draft/a", events=True))
    assert await upstream.async_read_line() == "r1"
    await upstream.async_end()
    resume.set()
    assert not (await asked).whole
    await asyncio.sleep(JUDGED_S)
    suspects = dying.product.app.dump()["suspects"]
    assert isinstance(suspects, dict)
    # Subjects with an implication in a crash.
    assert suspects["judged"] > 0
    slow.cancel()


async def async_read_slowly(world: DyingWorld, resume: asyncio.Event) -> None:
    """Ask for a large answer, and read it in parts from `resume` on."""
    address = world.product.addresses["callers"]
    reader, writer = await asyncio.open_connection(address.host, address.port, limit=1_024)
    headers = {"Host": HOST, "X-Request-Id": "r0", "Api-Key": CALLER_KEY}
    headers |= {"X-Deadline-Ms": "8000", "Connection": "close", "Content-Length": "1"} | PROMPT
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"POST /draft/large HTTP/1.1\r\n{lines}\r\np".encode())
    await resume.wait()
    try:
        part = await reader.read(READ_BYTES)
        while part:
            await asyncio.sleep(PAUSE_S)
            part = await reader.read(READ_BYTES)
    finally:
        writer.close()
