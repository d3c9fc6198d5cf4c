"""What becomes of a kept connection on which a request was passed on, without any stop."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple

import pytest
from cut_heads import CuttingWorld, Play, Script, make_answer, read_head
from forwarding_world import CALLER_KEY, HOST

TIMEOUT_S = 10
LARGE_BYTES = 90_000
REQUESTS = 400
PAUSE_S = 0.1
HALF = 30


class Got(NamedTuple):
    """An answer: its status, 0 without a head, what came of its body, and whether it is whole."""

    status: int
    body: bytes
    whole: bool
    announces_close: bool


class Caller:
    """One connection of a caller, who writes and reads bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def async_read(self, *, method: str = "POST") -> Got:
        """Return the next final answer."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await self._async_read_final(method)
        except (asyncio.IncompleteReadError, TimeoutError, OSError):
            return Got(0, b"", False, False)

    async def _async_read_final(self, method: str) -> Got:
        status = 100
        while status < 200:
            head = await self.reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
        headers = read_head(head)[1]
        closes = headers.get("connection") == "close"
        if method == "HEAD" or status in {204, 304}:
            return Got(status, b"", True, closes)
        if headers.get("transfer-encoding") == "chunked":
            body, whole = await self._async_read_chunks(), True
        elif "content-length" in headers:
            body, whole = await self.reader.readexactly(int(headers["content-length"])), True
        else:
            body, whole, closes = await self.reader.read(), True, True
        return Got(status, body, whole, closes)

    async def _async_read_chunks(self) -> bytes:
        body = b""
        while size := int(await self.reader.readline(), 16):
            body += (await self.reader.readexactly(size + 2))[:size]
        await self.reader.readuntil(b"\r\n")
        return body

    async def async_send(self, *parts: bytes) -> None:
        """Send parts with a pause between them."""
        for number, part in enumerate(parts):
            await asyncio.sleep(PAUSE_S if number else 0)
            self.writer.write(part)


def make_request(
    request_id: str,
    more: str = "",
    *,
    body: bytes = b"",
    method: str = "POST",
    version: str = "1.1",
) -> bytes:
    """Return a request on a route with one attempt, whose body is framed unless `more` does it."""
    framed = "transfer-encoding" in more.lower() or method in {"GET", "HEAD"}
    length = "" if framed else f"Content-Length: {len(body)}\r\n"
    head = (
        f"{method} /once/{request_id} HTTP/{version}\r\nHost: {HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 8000\r\n"
        f"Api-Key: {CALLER_KEY}\r\n{length}{more}\r\n"
    )
    return head.encode() + body


def answer_with(data: str) -> Script:
    """Return a script that writes an answer whose stamp is that of the upstream."""

    def write(headers: dict[str, str]) -> Play:
        whole = make_answer("length", request_id=headers["x-request-id"], body=b"")
        named = [line for line in whole.decode().split("\r\n") if line.startswith("X-")]
        return Play(data.replace("NAMED", "\r\n".join(named)).encode())

    return write


CHUNKS = b"4\r\nbody\r\n0\r\nX-T: v\r\n\r\n"
EXPECT = "Expect: 100-continue\r\n"
# Parts that a caller sends, what the upstream answers, and the status that the caller gets.
CASES: dict[str, tuple[list[bytes], Script | None, int]] = {
    "empty_lines_behind": ([make_request("a") + b"\r\n\r\n"], None, 200),
    "empty_line_later": ([make_request("a"), b"\r\n"], None, 200),
    "chunks_with_trailer": (
        [make_request("a", "Transfer-Encoding: chunked\r\n") + CHUNKS], None, 200,
    ),
    "trailer_later": (
        [make_request("a", "Transfer-Encoding: chunked\r\n") + CHUNKS[:-8], CHUNKS[-8:]], None, 200,
    ),
    "expect_body_later": ([make_request("a", EXPECT, body=b"body")[:-4], b"body"], None, 200),
    "expect_body_at_once": ([make_request("a", EXPECT, body=b"body")], None, 200),
    "expect_without_body": ([make_request("a", EXPECT, method="GET")], None, 200),
    "get_with_body": (
        [make_request("a", "Content-Length: 4\r\n", method="GET") + b"body"], None, 200,
    ),
    "upgrade": (
        [make_request("a", "Connection: upgrade\r\nUpgrade: websocket\r\n", method="GET")], None,
        200,
    ),
    "head": (
        [make_request("a", method="HEAD")],
        answer_with("HTTP/1.1 200 OK\r\nNAMED\r\nContent-Length: 26\r\n\r\n"), 200,
    ),
    "head_chunked": (
        [make_request("a", method="HEAD")],
        answer_with("HTTP/1.1 200 OK\r\nNAMED\r\nTransfer-Encoding: chunked\r\n\r\n"), 200,
    ),
    "no_content_with_length": (
        [make_request("a")],
        answer_with("HTTP/1.1 204 No Content\r\nNAMED\r\nContent-Length: 26\r\n\r\n"), 204,
    ),
    "no_content": (
        [make_request("a")], answer_with("HTTP/1.1 204 No Content\r\nNAMED\r\n\r\n"), 204,
    ),
    "not_modified_with_length": (
        [make_request("a", method="GET")],
        answer_with("HTTP/1.1 304 Not Modified\r\nNAMED\r\nContent-Length: 26\r\n\r\n"), 304,
    ),
    "continue_and_hints": (
        [make_request("a")],
        answer_with(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
            "HTTP/1.1 200 OK\r\nNAMED\r\nContent-Length: 2\r\n\r\nok"
        ),
        200,
    ),
    "large_body_later": (
        [make_request("a", body=b"x" * LARGE_BYTES)[:-100], b"x" * 100], None, 200,
    ),
    "reset_content": (
        [make_request("a")],
        answer_with("HTTP/1.1 205 Reset Content\r\nNAMED\r\nContent-Length: 0\r\n\r\n"), 205,
    ),
    "empty_chunks": (
        [make_request("a")],
        answer_with(
            "HTTP/1.1 200 OK\r\nNAMED\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: v\r\n\r\n"
        ),
        200,
    ),
    "upstream_closes": (
        [make_request("a")],
        answer_with("HTTP/1.1 200 OK\r\nNAMED\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"),
        200,
    ),
    "http_1_0_kept": ([make_request("a", "Connection: keep-alive\r\n", version="1.0")], None, 200),
}  # fmt: skip


@pytest.fixture
async def world(link_key: None) -> AsyncIterator[CuttingWorld]:
    async with CuttingWorld(runners=1) as world:
        yield world


async def async_connect(world: CuttingWorld) -> Caller:
    address = world.product.addresses["callers"]
    return Caller(*await asyncio.open_connection(address.host, address.port))


# Guards against a connection that closes without an answer, or before the next request, by
# something in the framing of a request that was passed on or of its answer.
@pytest.mark.parametrize("case", CASES)
async def test_connection_of_a_request_that_was_passed_on_is_lost(
    world: CuttingWorld, case: str
) -> None:
    parts, script, status = CASES[case]
    world.scripts["a"] = [] if script is None else [script]
    caller = await async_connect(world)
    await caller.async_send(*parts)
    method = parts[0].split(b" ")[0].decode()
    got = await caller.async_read(method=method)
    assert world.count_arrivals("a") == 1
    assert (got.status, got.whole, got.announces_close) == (status, True, False)
    await caller.async_send(make_request("b"))
    second = await caller.async_read()
    assert (second.status, second.whole) == (200, True)
    caller.writer.close()


# Guards against a bound on the requests of a connection.
async def test_connection_closes_behind_many_requests(world: CuttingWorld) -> None:
    caller = await async_connect(world)
    for number in range(REQUESTS):
        await caller.async_send(make_request(f"r{number}"))
        got = await caller.async_read()
        assert (got.status, got.announces_close) == (200, False)
    caller.writer.close()


# Guards against requests that are sent at once and of which some are not answered.
@pytest.mark.parametrize("odd", [b"", b"odd bytes\r\n\r\n"])
async def test_requests_that_are_sent_at_once_are_lost(world: CuttingWorld, odd: bytes) -> None:
    caller = await async_connect(world)
    names = [f"r{number}" for number in range(20)]
    await caller.async_send(b"".join(make_request(n, body=b"body") for n in names) + odd)
    if odd:
        # The parser gives up a whole read, of which nothing has been passed on.
        last = await caller.async_read()
        assert (last.status, await caller.reader.read()) == (400, b"")
        assert sum(map(world.count_arrivals, names)) == 0
    else:
        got = [await caller.async_read() for _ in names]
        assert [(g.status, g.whole) for g in got] == [(200, True)] * len(names)
    caller.writer.close()


# Guards against bytes behind a request that take its answer.
@pytest.mark.parametrize("odd", [b"odd bytes\r\n\r\n", b"\x00\x01", make_request("b")[:HALF]])
async def test_bytes_behind_a_running_request_take_its_answer(
    world: CuttingWorld, odd: bytes
) -> None:
    runner = world.cutting[0]
    caller = await async_connect(world)
    world.scripts["a"] = [answer_with("HTTP/1.1 200 OK\r\nNAMED\r\nContent-Length: 2\r\n\r\no")]
    await caller.async_send(make_request("a"))
    await world.async_until(lambda: world.count_arrivals("a"))
    await caller.async_send(odd)
    await asyncio.sleep(PAUSE_S)
    runner.write_all(b"k")
    got = await caller.async_read()
    assert (got.status, got.body) == (200, b"ok")
    caller.writer.close()


# Guards against an answer without an end: a caller of HTTP/1.0 gets neither a length nor chunks.
async def test_streamed_answer_to_a_caller_of_http_1_0_that_keeps_connections_has_no_end(
    world: CuttingWorld,
) -> None:
    whole = make_answer("chunked", request_id="a", body=b"x" * 300_000)
    world.scripts["a"] = [lambda _: Play(whole)]
    caller = await async_connect(world)
    await caller.async_send(make_request("a", "Connection: keep-alive\r\n", version="1.0"))
    got = await caller.async_read()
    assert (got.status, len(got.body), got.announces_close) == (200, 300_000, True)
    caller.writer.close()


# Guards against upstreams that go on to run requests of callers who left. The end of a caller's
# side is all that shows it, so a caller that only sends no more gets no answer either.
async def test_request_runs_on_behind_the_end_of_the_side_of_its_caller(
    world: CuttingWorld,
) -> None:
    caller = await async_connect(world)
    world.scripts["a"] = [lambda _: Play(b"")]
    await caller.async_send(make_request("a"))
    await world.async_until(lambda: world.count_arrivals("a"))
    caller.writer.write_eof()
    assert (await caller.async_read()).status == 0
    caller.writer.close()


# Guards against an interim answer that a caller of HTTP/1.0 takes for the final one.
async def test_caller_of_http_1_0_that_expects_100_gets_an_interim_answer(
    world: CuttingWorld,
) -> None:
    caller = await async_connect(world)
    await caller.async_send(make_request("a", EXPECT, body=b"body", version="1.0"))
    async with asyncio.timeout(TIMEOUT_S):
        assert (await caller.reader.readuntil(b"\r\n")).split(b" ")[1] == b"200"
    caller.writer.close()
