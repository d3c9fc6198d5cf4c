"""Malformed input must close the connection with a reason, and must not crash or block a server."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from link_harness import (
    KEY,
    REQUEST,
    SETTINGS,
    Pair,
    async_read_answer,
    linked,
    make_app,
)
from msgspec.structs import replace

from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.link import End
from gypsumrouter.link.codec import decode_goodbye, encode_greeting, encode_open, encode_proof
from gypsumrouter.link.connection import Connection
from gypsumrouter.link.const import MAX_FRAME_BYTES, Kind
from gypsumrouter.link.diagnostics import ByteCounts
from gypsumrouter.link.frames import HEADER, FrameError, FrameReader, pack_frame
from gypsumrouter.link.handshake import async_dialer_handshake, make_greeting
from gypsumrouter.util.clock import SystemClock

KINDS = st.integers(0, 255) | st.sampled_from([int(kind) for kind in Kind])
FRAMES = st.builds(
    lambda kind, flags, stream, body: pack_frame(kind, flags, stream, body),
    KINDS,
    st.integers(0, 255),
    st.integers(0, 5) | st.integers(0, (1 << 64) - 1),
    st.binary(max_size=64) | st.integers(0, 16).map(lambda words: bytes(8 * words)),
)
RAW = st.lists(FRAMES | st.binary(max_size=64), max_size=6).map(b"".join)


# Longer than a starved process takes for the handshake of a link.
LONG_CONNECT_MS = 60_000
# A broken server fails the test, and does not block it.
GUARD_S = 20


class AdvancingLoop(asyncio.SelectorEventLoop):
    """An event loop whose time can be advanced, so that its pending timeouts expire."""

    def __init__(self) -> None:
        self._advanced_s = 0.0
        super().__init__()

    def time(self) -> float:
        return super().time() + self._advanced_s

    def advance(self, delay_ms: int) -> None:
        self._advanced_s += delay_ms / MS_PER_S


class RawConnection(Connection):
    """A connection over which a test can write arbitrary bytes."""

    __slots__ = ()

    def write_raw(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)


async def _async_connect_raw(pair: Pair) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    target = pair.require_target()
    return await asyncio.open_connection(target.host, target.port)


async def _async_connect_authenticated(pair: Pair) -> RawConnection:
    """Return a connection that has completed the handshake."""
    app = make_app("router-9", Role.ROUTER)
    target = pair.require_target()
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: RawConnection(clock=SystemClock(), counts=ByteCounts()), target.host, target.port
    )
    greeting = make_greeting(app=app, attempt=1, window_bytes=1_000)
    await async_dialer_handshake(
        connection=connection, greeting=greeting, key=KEY, expected_name="side-1"
    )
    return connection


async def _async_read_goodbye(connection: Connection) -> str | None:
    """Read until the connection is closed; return the reason in the GOODBYE frame, if any."""
    text = None
    with contextlib.suppress(FrameError):
        while (frame := await connection.async_read()) is not None:
            if frame.kind == Kind.GOODBYE:
                text = decode_goodbye(frame.body)
    return text


async def _async_check_server_works(pair: Pair) -> None:
    body, end = await async_read_answer(await pair.async_exchange())
    assert (body, isinstance(end, End)) == (b"hello {}", True)
    assert pair.server_app.fatal is None


@given(data=RAW)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_random_bytes_from_unauthenticated_peers_do_not_affect_other_links(data: bytes) -> None:
    loop = AdvancingLoop()

    async def async_run() -> None:
        async with linked(settings=replace(SETTINGS, connect_ms=LONG_CONNECT_MS)) as pair:
            reader, writer = await _async_connect_raw(pair)
            writer.write(data)
            async with asyncio.timeout(GUARD_S):
                await _async_check_server_works(pair)
            loop.advance(LONG_CONNECT_MS)
            async with asyncio.timeout(GUARD_S):
                with contextlib.suppress(OSError):
                    await reader.read()
                writer.close()
                await _async_check_server_works(pair)

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(async_run())


@given(data=RAW)
@settings(derandomize=True, deadline=None, max_examples=100)
def test_random_frames_from_an_authenticated_peer_are_answered_with_goodbye(data: bytes) -> None:
    async def async_run() -> None:
        async with linked() as pair:
            connection = await _async_connect_authenticated(pair)
            connection.write_raw(data)
            connection.write_raw(pack_frame(Kind.HELLO, 0, 0, b""))
            assert await _async_read_goodbye(connection)
            await _async_check_server_works(pair)

    asyncio.run(async_run())


@given(data=st.binary(max_size=300), cuts=st.lists(st.integers(0, 300), max_size=5))
@settings(derandomize=True, deadline=None)
def test_frame_reader_returns_the_same_frames_for_any_chunking(
    data: bytes, cuts: list[int]
) -> None:
    frames = [pack_frame(Kind.DATA, 0, index, data[index:]) for index in range(3)]
    stream = b"".join(frames)
    whole = FrameReader().feed(stream)
    reader = FrameReader()
    borders = sorted({0, len(stream), *(min(cut, len(stream)) for cut in cuts)})
    parts = [
        frame
        for begin, end in itertools.pairwise(borders)
        for frame in reader.feed(stream[begin:end])
    ]
    assert parts == whole
    assert [frame.body for frame in whole] == [data, data[1:], data[2:]]
    assert not reader.partial


@pytest.mark.parametrize(
    ("frame", "expected"),
    [
        (HEADER.pack(MAX_FRAME_BYTES + 1, Kind.OPEN, 0, 0, 1), "longer than"),
        (HEADER.pack(0, 99, 0, 0, 1), "unknown kind"),
        (pack_frame(Kind.OPEN, 0, 1, b""), "malformed"),
        (pack_frame(Kind.OPEN, 0, 1, b"\xff" * 64), "malformed"),
        (pack_frame(Kind.RESUME, 0, 1, b"odd"), "malformed"),
        (pack_frame(Kind.STATUS, 0, 0, b"\x00\xff" * 9_000), "too long"),
        (pack_frame(Kind.STATUS, 0, 0, b"\x00\xff" * 100), "malformed"),
        (pack_frame(Kind.HEAD, 0, 1, b""), "no notice"),
    ],
)
async def test_malformed_frame_closes_the_link_with_a_reason(frame: bytes, expected: str) -> None:
    async with linked() as pair:
        connection = await _async_connect_authenticated(pair)
        connection.write_raw(frame)
        text = await _async_read_goodbye(connection)
        assert text is not None
        assert expected in text
        await _async_check_server_works(pair)


async def test_long_frame_before_authentication_is_rejected() -> None:
    async with linked() as pair:
        reader, writer = await _async_connect_raw(pair)
        writer.write(HEADER.pack(MAX_FRAME_BYTES, Kind.HELLO, 0, 0, 0))
        assert b"longer than" in await reader.read()
        writer.close()


async def test_connection_is_closed_on_handshake_timeout() -> None:
    async with linked(settings=replace(SETTINGS, connect_ms=50)) as pair:
        reader, writer = await _async_connect_raw(pair)
        assert await reader.read() == b""
        writer.close()


async def test_wrong_key_is_logged_once_for_each_peer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with linked(pool_key=b"another key, not the fleet's") as pair:
        await pair.pool.async_open(instance=pair.instance, request=REQUEST)
        other = replace(pair.instance, address=pair.require_target())
        await pair.pool.async_open(instance=other, request=REQUEST)
        lines = [record for record in caplog.records if record.levelno >= logging.WARNING]
        assert len(lines) == 1
        assert "key" in lines[0].getMessage()


async def test_dialer_with_invalid_proof_is_logged_once_and_not_served(
    caplog: pytest.LogCaptureFixture,
) -> None:
    app = make_app("router-9", Role.ROUTER)
    hello = encode_greeting(make_greeting(app=app, attempt=1, window_bytes=1))
    proof = pack_frame(Kind.PROOF, 0, 0, encode_proof(bytes(32)))
    request = pack_frame(Kind.OPEN, 0, 1, encode_open(REQUEST))
    async with linked() as pair:
        for _ in range(2):
            reader, writer = await _async_connect_raw(pair)
            writer.write(pack_frame(Kind.HELLO, 0, 0, hello) + proof + request)
            with contextlib.suppress(OSError):
                await reader.read()
            writer.close()
        lines = [record for record in caplog.records if record.levelno >= logging.WARNING]
        assert [line.getMessage() for line in lines] == [
            "Rejected a link from 127.0.0.1: its proof does not match the link key"
        ]
        assert pair.server_app.dump()["link"]["server"]["routers"] == []  # type: ignore[index]
