"""Questions behind the ends of unframed answers: what they are taken for, and what they cost."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest
from cut_heads import read_head
from dying_world import DyingWorld, EndingUpstream, Seen
from outliving_relay import Behaviour, OutlivingRelay
from unframed_upstream import make_answer

from gypsumrouter.instances import Address

HELD = 3
WORLDS = pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])


# Guards against trust in an idle connection of an upstream that has closed its answers and its
# listener on SIGTERM and exits later, where a relay before it still accepts connections.
@WORLDS
async def test_idle_connection_vouches_for_answers_cut_on_sigterm_behind_a_relay(
    dying: DyingWorld, states_start: bool
) -> None:
    upstream = EndingUpstream(dying)
    await upstream.async_start(held=HELD, states_start=states_start, ending="slow")
    relay = OutlivingRelay(Behaviour.CLOSES)
    await relay.async_start(upstream.port)
    upstream.listed_port = relay.port
    await upstream.async_list()
    asked = [
        asyncio.create_task(dying.async_ask(f"r{i}", "/draft/a", events=True)) for i in range(3)
    ]
    for _ in asked:
        await upstream.async_read_line()
    assert (await dying.async_ask("framed", "/draft/framed", events=False)).status == 200
    await upstream.async_end(signal.SIGTERM)
    seen = [await answer for answer in asked]
    await relay.async_stop()
    assert [(answer.status, answer.whole) for answer in seen] == [(200, False)] * 3


# Guards against a complete stream that is broken off, as it is doubted while its upstream is
# silent behind it, and the run that takes over has nothing to add.
@WORLDS
async def test_doubted_stream_is_broken_off_as_the_next_run_has_nothing_to_add(
    dying: DyingWorld, states_start: bool
) -> None:
    await dying.async_add("i-1", ending="pause", states_start=states_start)
    await dying.async_add("i-2", ending="pause", states_start=states_start)
    seen = await dying.async_ask("r1", "/quote/a", events=True)
    assert seen == Seen(200, True, make_answer())


# Guards against a complete stream that is broken off, as it is doubted while its upstream is
# silent behind it, though no other upstream is there to take over.
@WORLDS
async def test_doubted_stream_is_broken_off_though_nothing_can_take_over(
    dying: DyingWorld, states_start: bool
) -> None:
    await dying.async_add(ending="pause", states_start=states_start)
    seen = await dying.async_ask("r1", "/quote/a", events=True)
    assert seen == Seen(200, True, make_answer())


class QueueingUpstream:
    """An upstream with one slot, for which health checks wait as other requests do.

    Others keep the slot for `busy_s` after each answer. A request that is in the queue until its
    deadline is refused as not run.
    """

    def __init__(self, *, busy_s: float) -> None:
        self._busy_s = busy_s
        self._server: asyncio.Server | None = None
        self._free_s = 0.0
        self._writers: list[asyncio.StreamWriter] = []
        self.address = Address(host="127.0.0.1", port=0)

    async def async_start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = Address(host=host, port=port)

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        try:
            while True:
                target, headers = read_head(await reader.readuntil(b"\r\n\r\n"))
                await reader.readexactly(int(headers.get("content-length", 0)))
                if headers.get("x-expect-instance", "i-1") != "i-1":
                    writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
                    continue
                if target.startswith("/api/"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    continue
                await self._async_respond(writer, target, headers)
                if target != "/health":
                    writer.close()
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def _async_respond(
        self, writer: asyncio.StreamWriter, target: str, headers: dict[str, str]
    ) -> None:
        loop = asyncio.get_running_loop()
        wait_s = self._free_s - loop.time()
        left_s = int(headers.get("x-deadline-ms", 60_000)) / 1_000
        if wait_s > 0:
            await asyncio.sleep(min(wait_s, left_s))
        if wait_s > left_s:
            writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return
        head = "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\n"
        if target == "/health":
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        head += "X-Server-Stamp: i.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\n"
        head += f"X-Request-Id: {headers['x-request-id']}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + make_answer())
        self._free_s = loop.time() + self._busy_s


# Guards against a complete answer that is broken off, as the question behind it waits for a slot.
async def test_complete_answer_of_a_full_upstream_is_broken_off(dying: DyingWorld) -> None:
    upstream = QueueingUpstream(busy_s=5.0)
    await upstream.async_start()
    await dying.store.async_put_runner(
        "i-1", service="models", address=upstream.address, state="ready", version="v1"
    )
    await dying.async_until(lambda: "i-1" in str(dying.product.app.dump()["directory"]))
    begun_s = asyncio.get_running_loop().time()
    seen = await dying.async_ask("r1", "/draft/a", events=True)
    took_s = asyncio.get_running_loop().time() - begun_s
    upstream.stop()
    assert seen == Seen(200, True, make_answer())
    # A question that is not answered takes two seconds and more.
    assert took_s < 2.0


# Guards against a complete answer that is broken off, as this process stood still while the answer
# to the question behind it arrived.
@WORLDS
async def test_complete_answer_is_broken_off_by_a_pause_of_the_router(
    dying: DyingWorld, states_start: bool
) -> None:
    await dying.async_add(ending="pause", states_start=states_start)
    asked = asyncio.create_task(dying.async_ask("r1", "/draft/a", events=True))
    await asyncio.sleep(0.5)
    time.sleep(2.5)  # noqa: ASYNC251
    assert await asked == Seen(200, True, make_answer())
