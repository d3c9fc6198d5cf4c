"""Requests that a process makes for itself, and whose whole response it reads."""

from __future__ import annotations

from collections.abc import Mapping

from gypsumrouter.helpers.http_connection import STATUS_SUCCESS, HttpConnection
from gypsumrouter.helpers.http_response import ConnectionBroken, HttpResponse, async_read_body


async def async_ask(
    connection: HttpConnection, path: str, *, headers: Mapping[str, str], max_bytes: int
) -> tuple[HttpResponse, bytes]:
    """Return the response of any status to a GET request, and its body.

    Raises ConnectionBroken, also for a body of more than `max_bytes`.
    """
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"GET {path} HTTP/1.1\r\nHost: {connection.address}\r\n{lines}\r\n"
    connection.send_request(method="GET", data=head.encode())
    response = await connection.async_read_response()
    return response, await async_read_body(response, max_bytes=max_bytes)


async def async_get(
    connection: HttpConnection, path: str, *, max_bytes: int
) -> tuple[HttpResponse, bytes]:
    """Return the response to a GET request and its body.

    Raises ConnectionBroken without a 200, and for a body of more than `max_bytes`.
    """
    response, body = await async_ask(connection, path, headers={}, max_bytes=max_bytes)
    if response.status != STATUS_SUCCESS:
        raise ConnectionBroken(f"expected status {STATUS_SUCCESS}, got {response.status}")
    return response, body
