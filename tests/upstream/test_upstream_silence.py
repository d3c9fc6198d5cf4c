"""Upstreams that stand still for longer than `silence_ms` and go on: nothing can take over."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import pytest
from upstream_fakes import SILENCE_MS, Caller, MakeClient, async_until, make_call, make_open

from gypsumrouter.const import PATH_CHAT, UpstreamKind
from gypsumrouter.instances import Address
from gypsumrouter.outcomes import Failed, Reason

STILL_S = 4 * SILENCE_MS / 1_000
POLLED = b'{"data": [{"id": "gypsum-chat"}], "running": 0, "as_of_ms": 1}'
POLL_PATHS = (b"/load", b"/v1/load", b"/v1/models")
WHOLE = json.dumps({"metres": 12}).encode()
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"


class StillUpstream:
    """An upstream that reads and sends nothing while `awake` is clear, as a stopped process does.

    It gives up a request whose connection was closed, and knows no streams to resume. Inside a
    body it waits until `goes_on` is set, while it still answers polls.
    """

    def __init__(self) -> None:
        self.awake = asyncio.Event()
        self.awake.set()
        self.goes_on = asyncio.Event()
        self.goes_on.set()
        self.answers_begun = 0
        self.runs = 0
        self._server: asyncio.Server | None = None

    async def async_start(self) -> Address:
        self._server = await asyncio.start_server(self._async_handle, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host=host, port=port)

    async def async_stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.awake.set()
        self.goes_on.set()
        await self._server.wait_closed()

    async def _async_handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.awake.wait()
        try:
            await self._async_answer(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        path = head.split(b" ")[1]
        if path in POLL_PATHS:
            writer.write(HEAD % len(POLLED) + POLLED)
        elif path.startswith(b"/v1/streams/"):
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        else:
            await self._async_run(reader, writer)
        await writer.drain()

    async def _async_run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"}")
        if reader.at_eof():
            return
        self.runs += 1
        writer.write(HEAD % len(WHOLE) + WHOLE[:5])
        self.answers_begun += 1
        await self.goes_on.wait()
        await self.awake.wait()
        writer.write(WHOLE[5:])


@pytest.fixture
async def upstream() -> AsyncIterator[StillUpstream]:
    standin = StillUpstream()
    yield standin
    await standin.async_stop()


async def async_make_caller(
    upstream: StillUpstream, make_started: MakeClient, kind: UpstreamKind
) -> Caller:
    return Caller(client=await make_started(await upstream.async_start(), kind))


async def test_service_that_stands_still_inside_its_answer_is_waited_for(
    upstream: StillUpstream, make_started: MakeClient
) -> None:
    """The answer can't be resumed, and another run may be forbidden."""
    caller = await async_make_caller(upstream, make_started, UpstreamKind.SERVICE)
    upstream.goes_on.clear()
    run = asyncio.ensure_future(caller.async_run(make_call(key="key-1")))
    await async_until(lambda: upstream.answers_begun == 1)
    upstream.awake.clear()
    upstream.goes_on.set()
    await asyncio.sleep(STILL_S)
    upstream.awake.set()

    assert await run is None
    assert caller.answer.body == WHOLE
    assert upstream.runs == 1


async def test_answer_whose_service_answers_polls_is_waited_for_until_the_deadline(
    upstream: StillUpstream, make_started: MakeClient
) -> None:
    caller = await async_make_caller(upstream, make_started, UpstreamKind.SERVICE)
    upstream.goes_on.clear()
    run = asyncio.ensure_future(caller.async_run(make_call()))
    await async_until(lambda: upstream.answers_begun == 1)
    done, _ = await asyncio.wait((run,), timeout=2 * STILL_S)
    assert not done
    caller.answer.cancelled.set()

    outcome = await run
    assert isinstance(outcome, Failed)
    assert outcome.reason is Reason.CANCELLED


async def test_service_that_never_goes_on_inside_its_answer_returns_failure(
    upstream: StillUpstream, make_started: MakeClient
) -> None:
    caller = await async_make_caller(upstream, make_started, UpstreamKind.SERVICE)
    upstream.goes_on.clear()
    run = asyncio.ensure_future(caller.async_run(make_call(key="key-1")))
    await async_until(lambda: upstream.answers_begun == 1)
    upstream.awake.clear()

    outcome = await run
    assert isinstance(outcome, Failed)
    assert outcome.reason is Reason.UPSTREAM_TIMEOUT


@pytest.mark.parametrize("key", ["", "key-1"])
async def test_request_that_a_still_engine_has_not_read_yet_is_not_given_up(
    upstream: StillUpstream, make_started: MakeClient, key: str
) -> None:
    """A closed connection takes the request with it, and with a key it can't be sent again."""
    caller = await async_make_caller(upstream, make_started, UpstreamKind.ENGINE)
    upstream.awake.clear()
    request = make_open(
        kind=UpstreamKind.ENGINE, path=PATH_CHAT, body=b'{"max_tokens": 1}', key=key
    )
    run = asyncio.ensure_future(caller.async_run(request))
    await asyncio.sleep(STILL_S)
    upstream.awake.set()

    assert await run is None
    assert caller.answer.body == WHOLE
    assert upstream.runs == 1
