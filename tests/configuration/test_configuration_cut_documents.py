"""A configuration without a length or chunks whose connection ends in its body."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from configuration_fakes import FakeFleet, encode, make_document

from gypsumrouter.configuration.source import HttpConfigurationSource, SourceAnswer
from gypsumrouter.core import Application

MakeFleet = Callable[[int], FakeFleet]
HEAD = b"HTTP/1.1 200 OK\r\nX-Version: %d\r\nConnection: close\r\n\r\n"
WAIT_MS = 10_000
READ_MS = 30_000


async def async_read_cut_answer(app: Application, document: bytes, version: int) -> SourceAnswer:
    """Return what a source makes of the beginning of a document."""

    async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % version + document[: len(document) // 2])
        await writer.drain()
        writer.close()

    async with await asyncio.start_server(async_serve, "127.0.0.1", 0) as server:
        origin = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        source = HttpConfigurationSource(app=app, origins=(origin,))
        return await source.async_watch(after=1, timeout_ms=WAIT_MS)


# Guards against a version that is never read again since its first answer was cut.
async def test_version_whose_answer_was_cut_is_skipped(
    app: Application, make_fleet: MakeFleet
) -> None:
    fleet = make_fleet(1)
    fleet.platform.publish(make_document(1))
    process = await fleet.async_start("router-0")
    await fleet.async_advance(READ_MS)
    assert process.version == 1
    cut = [await async_read_cut_answer(app, encode(make_document(2)), 2)]
    answer = fleet.platform.answer
    fleet.platform.answer = (  # type: ignore[method-assign]
        lambda name, after: cut.pop() if cut else answer(name, after)
    )
    fleet.platform.publish(make_document(2))
    await fleet.async_advance(READ_MS)
    assert cut == []
    assert process.version == 2
    await app.async_stop()
