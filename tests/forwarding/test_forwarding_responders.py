"""Which process answers a health check that is meant for one upstream."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from gypsumrouter.forwarding.responders import HealthCheck, Responder
from gypsumrouter.helpers.http_connection import async_connect
from gypsumrouter.instances import Address
from gypsumrouter.platform.answers import PlatformDialect


# Guards against a refusal that any process gives to a request without an id, before it reads for
# whom it is meant, and that is taken for one of the upstream.
@pytest.mark.parametrize(
    ("head", "expected"),
    [
        ("400 Bad Request\r\nX-Not-Executed: 1", Responder.UNKNOWN),
        ("404 Not Found\r\nX-Not-Executed: 1", Responder.UNKNOWN),
        ("503 Unavailable", Responder.UNKNOWN),
        ("503 Unavailable\r\nX-Not-Executed: 1", Responder.UPSTREAM),
        ("429 Too Many\r\nX-Not-Executed: 1", Responder.UPSTREAM),
        ("503 Unavailable\r\nX-Instance-Id: i-1", Responder.UPSTREAM),
        ("200 OK\r\nX-Instance-Id: i-2", Responder.OTHER),
        ("421 Misdirected\r\nX-Not-Executed: 1", Responder.OTHER),
    ],
)
async def test_refusal_of_any_process_names_the_upstream(head: str, expected: Responder) -> None:
    async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n".encode())
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()
        closed.set()

    closed = asyncio.Event()
    server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    connection = await async_connect(address=Address(host=host, port=port), timeout_ms=1_000)
    check = HealthCheck(dialect=PlatformDialect())
    assert await check(connection, path="/health", upstream="i-1") is expected
    connection.close()
    await closed.wait()
    server.close()
