"""Bytes behind an answer, in the segment of its end, don't hide when that end came."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

import pytest
from dying_world import DyingWorld, EndingUpstream

HEAD: Final = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\nX-Request-Id: "
END: Final = "0\r\n\r\n"
SURPLUS: Final = {
    "none": "",
    "no answer": "surplus\r\n\r\n",
    "the beginning of another answer": f"{HEAD}r0\r\n\r\n1\r\nx\r\n",
}


# Guards against an end at the deadline handed on that isn't taken for one, as its time is unknown.
@pytest.mark.parametrize("surplus", SURPLUS)
async def test_time_of_an_end_with_surplus_bytes_behind_it_is_unknown(
    dying: DyingWorld, surplus: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def async_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"POST /reserve/"):
            writer.write(f"{HEAD}r1\r\n\r\n4\r\ntext\r\n".encode())
            await asyncio.sleep(0.05)
            writer.write(f"{END}{SURPLUS[surplus]}".encode())
            await asyncio.sleep(0.05)
        writer.close()

    async with await asyncio.start_server(async_answer, "127.0.0.1", 0) as server:
        upstream = EndingUpstream(dying, service="records")
        upstream.port = server.sockets[0].getsockname()[1]
        await upstream.async_list()
        caplog.set_level(logging.INFO)
        seen = await dying.async_ask("r1", "/reserve/a", events=False)
    assert (seen.whole, seen.body) == (True, b"text")
    events = [getattr(record, "event", {}) for record in caplog.records]
    times = [event["answer_ms"] for event in events if "next_step" in event]
    assert len(times) == 1
    assert times[0] >= 50
