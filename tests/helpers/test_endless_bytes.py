"""Responses without end: what bounds each state in which the reader of responses can be."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumrouter.helpers.http_connection import (
    PARSED_BYTES,
    HttpConnection,
)
from gypsumrouter.helpers.http_response import (
    MAX_DISCARDED_BYTES,
    MAX_FRAMING_BYTES,
    MAX_FRAMING_RATIO,
    MAX_HEADS_BYTES,
    MAX_INTERIM_RESPONSES,
    ConnectionBroken,
    Excess,
    ResponseBounds,
    async_discard_body,
    async_read_body,
)
from gypsumrouter.instances import Address
from gypsumrouter.standins.endless_upstream import ECHO, PART_BYTES, STATES, Endless

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
# The bound of a state, and what a connection receives before it can stop the sender.
MAX_RECEIVED = MAX_HEADS_BYTES + 4 * PART_BYTES
# Bodies that the reader itself does not bound: whoever reads them does.
BODIES = {"event", "unsigned_body", "unsigned_error", "rejection", "misdirected"}
MAX_BODY = 100_000


class FakeTransport(asyncio.Transport):
    """The sending side of a connection that takes all bytes, and knows whether it may be read."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False
        self.readable = asyncio.Event()
        self.readable.set()

    @property
    def paused(self) -> bool:
        return not self.readable.is_set()

    def is_closing(self) -> bool:
        return self.aborted

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: Any) -> None:
        pass

    def pause_reading(self) -> None:
        self.readable.clear()

    def resume_reading(self) -> None:
        self.readable.set()

    def abort(self) -> None:
        self.aborted = True


class Sender:
    """Sends the bytes of a state to a connection, as fast as it is read."""

    def __init__(self, endless: Endless, *, part_bytes: int = PART_BYTES) -> None:
        self.transport = FakeTransport()
        self.connection = HttpConnection(
            loop=asyncio.get_running_loop(), address=Address(host="127.0.0.1", port=1)
        )
        self.connection.connection_made(self.transport)
        self.connection.send_request(method="GET", data=REQUEST)
        self._endless = endless
        self._part_bytes = part_bytes
        self.sent = 0

    async def async_run(self) -> None:
        """Send until the connection is closed, at most `MAX_RECEIVED` bytes and a part."""
        begin = self._endless.begin.replace(ECHO, b"")
        self.connection.data_received(begin or self._endless.repeat)
        repeat = self._endless.repeat
        part = repeat * (self._part_bytes // len(repeat) + 1)
        while not self.transport.aborted and self.sent <= MAX_RECEIVED:
            if not self.transport.paused:
                self.connection.data_received(part)
                self.sent += len(part)
            await asyncio.sleep(0)


async def async_read(connection: HttpConnection) -> None:
    while True:
        response = await connection.async_read_response()
        await async_read_body(response, max_bytes=MAX_BODY)


@pytest.mark.parametrize("name", STATES.keys())
async def test_reading_a_response_that_does_not_end_stops(name: str) -> None:
    sender = Sender(STATES[name])
    sending = asyncio.create_task(sender.async_run())
    with pytest.raises(ConnectionBroken):
        await async_read(sender.connection)
    sender.connection.close()
    await sending
    assert sender.sent <= MAX_RECEIVED


@pytest.mark.parametrize("name", sorted(STATES.keys() - BODIES))
async def test_connection_of_a_response_that_does_not_end_is_closed_without_a_reader(
    name: str,
) -> None:
    sender = Sender(STATES[name])
    await sender.async_run()
    assert sender.transport.aborted or sender.transport.paused
    assert sender.sent <= MAX_RECEIVED


@pytest.mark.parametrize("name", sorted(BODIES))
async def test_discarding_a_body_that_does_not_end_stops(name: str) -> None:
    sender = Sender(STATES[name])
    sending = asyncio.create_task(sender.async_run())
    response = await sender.connection.async_read_response()
    assert not await async_discard_body(response)
    sender.connection.close()
    await sending
    assert sender.sent <= MAX_DISCARDED_BYTES + 4 * PART_BYTES


@settings(max_examples=60, derandomize=True, deadline=None)
@given(name=st.sampled_from(sorted(STATES)), part_bytes=st.integers(1, 3 * PART_BYTES))
def test_no_size_of_the_parts_lets_a_response_go_on(name: str, part_bytes: int) -> None:
    async def async_run() -> None:
        sender = Sender(STATES[name], part_bytes=max(part_bytes, 200))
        sending = asyncio.create_task(sender.async_run())
        with pytest.raises(ConnectionBroken):
            await async_read(sender.connection)
        sender.connection.close()
        await sending
        assert sender.sent <= MAX_RECEIVED + part_bytes

    asyncio.run(async_run())


async def test_body_in_chunks_of_one_byte_is_read_whole() -> None:
    sender = Sender(Endless(b"", b""))
    body = b"1\r\na\r\n" * 100_000 + b"0\r\n\r\n"
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body

    async def async_send() -> None:
        for start in range(0, len(data), PART_BYTES):
            await sender.transport.readable.wait()
            sender.connection.data_received(data[start : start + PART_BYTES])

    sending = asyncio.create_task(async_send())
    response = await sender.connection.async_read_response()
    assert await async_read_body(response, max_bytes=100_000) == b"a" * 100_000
    await sending


# Guards against bytes of one exchange that are parsed as the response of the next.
async def test_connection_is_not_reused_while_received_bytes_are_not_parsed() -> None:
    sender = Sender(Endless(b"", b""))
    # A response that ends with a part that is parsed at once, and another one behind it.
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
    first = head + b"A: " + b"x" * (PARSED_BYTES - len(head) - 7) + b"\r\n\r\n"
    assert len(first) == PARSED_BYTES
    sender.connection.data_received(first + head + b"\r\n")
    await sender.connection.async_read_response()
    sender.connection.finish()
    assert not sender.connection.reusable
    await asyncio.sleep(0)
    assert sender.transport.aborted


def test_bounds_are_exceeded_by_a_byte_and_not_before() -> None:
    bounds = ResponseBounds()
    assert bounds.note_head(MAX_HEADS_BYTES) is None
    assert bounds.note_head(1) is Excess.HEADS
    assert [bounds.note_interim() for _ in range(MAX_INTERIM_RESPONSES)] == [
        None
    ] * MAX_INTERIM_RESPONSES
    assert bounds.note_interim() is Excess.INTERIM
    content = 10
    framing = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * content
    assert bounds.note_body(content + framing, content_bytes=content) is None
    assert bounds.note_body(1, content_bytes=content) is Excess.FRAMING
    bounds.begin_body()
    assert bounds.note_body(content + framing, content_bytes=content) is None
