"""Odd requests of operators: each is rejected by itself, and the server goes on."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address
from gypsumrouter.operators import OperatorsServer, check_access
from gypsumrouter.settings import Operators

TOKEN = b"a-token-of-the-operators"
ODD_REQUESTS = (
    b"GET /dump HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer \xff\xfe\r\n\r\n",
    b"GET /dump HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer \xc3\xa9\r\n\r\n",
    b"GET /dump HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + b"9" * 6_000 + b"\r\n\r\n",
    b"GET /dump HTTP/1.1\r\nHost: a\r\nAuthorization: " + b"a" * 100_000 + b"\r\n\r\n",
    b"GET /dump HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer\r\n\r\n",
    b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /dump?x=%ff%fe&y=" + b"[" * 6_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /%ed%a0%80 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST /dump HTTP/1.1\r\nHost: a\r\nContent-Length: " + b"9" * 6_000 + b"\r\n\r\n",
    b"POST /dump HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
    b"POST /dump HTTP/1.1\r\nHost: a\r\nContent-Length: \xc2\xb2\r\n\r\n",
    b"POST /readyz HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
    b"GET / HTTP/99999999999999.1\r\nHost: a\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
)


async def async_exchange(address: Address, request: bytes) -> int:
    """Return the status of the response."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(request)
    async with asyncio.timeout(5):
        line = await reader.readline()
    writer.close()
    return int(line.split()[1])


@pytest.mark.parametrize("request_bytes", ODD_REQUESTS, ids=range(len(ODD_REQUESTS)))
async def test_odd_request_of_an_operator_raised_an_exception(
    request_bytes: bytes, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    token_file = tmp_path / "token"
    token_file.write_bytes(TOKEN)
    app = Application(name="r", role=Role.ROUTER, data_centre="a", region="r", incarnation=7)
    app.async_start()
    app.async_started()
    settings = Operators(token_file=str(token_file))
    server = OperatorsServer(
        app=app, settings=settings, access=check_access(settings), is_ready=lambda: True
    )
    address = await server.async_start()
    with caplog.at_level(logging.WARNING):
        status = await async_exchange(address, request_bytes)
    assert 400 <= status < 500
    # aiohttp logs each request that it can't parse itself; one that ends a handler has status 500.
    assert [record for record in caplog.records if record.name != "aiohttp.server"] == []
    sound = b"GET /metrics HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + TOKEN + b"\r\n\r\n"
    assert await async_exchange(address, sound) == 200
    await app.async_stop()
