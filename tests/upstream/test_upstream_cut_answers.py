"""Answers of upstreams of a side that end after each of their bytes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from ending_connections import FRAMINGS, EndingServers, frame_body
from upstream_fakes import LIMIT_S, Caller, FakeAnswer, MakeClient, make_call, make_chat

from gypsumrouter.const import UpstreamKind
from gypsumrouter.outcomes import Failure
from gypsumrouter.upstream import UpstreamClient

POLLED = b'{"data": [{"id": "gypsum-chat"}], "running": 0, "as_of_ms": 1}'
OK = b"HTTP/1.1 200 OK\r\n"
JSON = b"Content-Type: application/json\r\n"
BODY = b'{"answer": "whole", "n": 1}'
HALF = len(BODY) // 2
CONCURRENT = 8

# Returns what an upstream writes for a request, whose target is given.
Script = Callable[[str], bytes]
ServeScript = Callable[[Script, UpstreamKind, bool], Awaitable[UpstreamClient]]


def frame(body: bytes, framing: str, *, lines: bytes = JSON) -> bytes:
    """Return a whole answer."""
    return frame_body(body, framing, head=OK + lines)


WHOLE = {framing: frame(BODY, framing) for framing in FRAMINGS}
CALLS = WHOLE | {
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + WHOLE["length"],
    "bare": WHOLE["length"].replace(b"\r\n", b"\n"),
    "no_content": b"HTTP/1.1 204 No Content\r\nServer: a\r\n\r\n",
}


@pytest.fixture
async def serve_script(make_started: MakeClient) -> AsyncIterator[ServeScript]:
    """Return a factory of clients for an upstream that ends each connection after its answer."""
    async with EndingServers() as servers:

        async def async_serve(script: Script, kind: UpstreamKind, resets: bool) -> UpstreamClient:
            async def async_answer(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> bool:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                polled = target in {"/load", "/v1/load", "/v1/models"}
                writer.write(frame(POLLED, "length") if polled else script(target))
                await writer.drain()
                return resets and not polled

            return await make_started(await servers.async_start(async_answer), kind)

        yield async_serve


async def async_run_cuts(
    size: int, async_run: Callable[[int], Awaitable[tuple[Failure | None, FakeAnswer]]]
) -> list[tuple[Failure | None, FakeAnswer]]:
    """Return the outcomes of all cuts, and of a whole answer as the last one."""
    limit = asyncio.Semaphore(CONCURRENT)

    async def async_run_one(cut: int) -> tuple[Failure | None, FakeAnswer]:
        async with limit, asyncio.timeout(LIMIT_S):
            return await async_run(cut)

    whole = await async_run_one(size)
    return [*await asyncio.gather(*(async_run_one(cut) for cut in range(size))), whole]


# Guards against an answer that ended in its head, size line, body or trailers and counts as whole.
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("name", CALLS)
async def test_call_whose_answer_ends_after_any_byte_counts_as_whole(
    serve_script: ServeScript, name: str, resets: bool
) -> None:
    whole = CALLS[name]
    client = await serve_script(
        lambda target: whole[: int(target.rpartition("=")[2])], UpstreamKind.SERVICE, resets
    )

    async def async_run(cut: int) -> tuple[Failure | None, FakeAnswer]:
        caller = Caller(client=client)
        return await caller.async_run(make_call(path=f"/orders?cut={cut}")), caller.answer

    *ended, (failure, _) = await async_run_cuts(len(whole), async_run)
    assert failure is None or resets
    assert [cut for cut, (failure, _) in enumerate(ended) if failure is None] == []
    head_bytes = whole.index(b"\n\n" if name == "bare" else b"\r\n\r\n", whole.rfind(b"HTTP/"))
    assert [answer.heads for _, answer in ended[:head_bytes] if answer.heads] == []


# Guards against a short answer that counts as whole, where it went on at a second connection and
# that answer, which may be framed in another way, ended after any of its bytes.
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("resumed", FRAMINGS)
@pytest.mark.parametrize("first", FRAMINGS)
async def test_resumed_answer_that_ends_after_any_byte_counts_as_whole(
    serve_script: ServeScript,
    monkeypatch: pytest.MonkeyPatch,
    first: str,
    resumed: str,
    resets: bool,
) -> None:
    monkeypatch.setattr("gypsumrouter.upstream.engine.RESUME_PAUSE_MS", 0)
    head_bytes = WHOLE[first].index(BODY)
    # It is asked for from its first byte on, to show that it goes on behind the first half.
    rest = frame(BODY, resumed)
    cuts: dict[str, int] = {}

    def write(target: str) -> bytes:
        if "/resume" not in target:
            return WHOLE[first][: head_bytes + HALF]
        offset = int(target.rpartition("=")[2])
        stream_id = target.split("/")[-2]
        cut = cuts[stream_id.partition(".")[0]]
        # What went beyond the first half is resumed with an answer that is cut there as well.
        framed = frame(BODY[offset:], resumed)
        return framed[: max(0, len(framed) - (len(rest) - cut))]

    client = await serve_script(write, UpstreamKind.ENGINE, resets)

    async def async_run(cut: int) -> tuple[Failure | None, FakeAnswer]:
        caller = Caller(client=client)
        request = make_chat(stream=False, request_id=f"chat-{cut}")
        cuts[request.request_id] = cut
        return await caller.async_run(request), caller.answer

    ended = await async_run_cuts(len(rest), async_run)
    # The end of either part does not show without a length or chunks.
    assert (ended[-1][0] is None) == ("neither" not in (first, resumed)) or resets
    short = [
        (cut, answer.body)
        for cut, (failure, answer) in enumerate(ended)
        if failure is None and answer.body != BODY
    ]
    assert short == []
