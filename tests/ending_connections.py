"""Test environment: servers whose connections end after an answer, or after a part of one."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Self

from gypsumrouter.instances import Address

RESET_LINGER = struct.pack("ii", 1, 0)
FRAMINGS = ("length", "chunked", "neither")

# Answers what is asked on a connection, and returns whether it ends with a reset.
Answer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, also behind bytes that the kernel has not sent yet."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()


def frame_body(body: bytes, framing: str, *, head: bytes) -> bytes:
    """Return a whole answer; `head` is its status line and the fields that say nothing of it."""
    match framing:
        case "length":
            return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        case "chunked":
            head += b"Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n"
            return head + b"%x;a=b\r\n%b\r\n0\r\nT: v\r\n\r\n" % (len(body), body)
        case _:
            return head + b"Connection: close\r\n\r\n" + body


class EndingServers:
    """Servers of one test, each of which answers on its connections and ends them."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        for server in self._servers:
            server.close()

    async def async_start(self, answer: Answer) -> Address:
        """Start a server, and return its address."""
        server = await asyncio.start_server(partial(_async_handle, answer), "127.0.0.1", 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return Address(host=host, port=port)


async def _async_handle(
    answer: Answer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        if await answer(reader, writer):
            reset(writer)
    except (asyncio.IncompleteReadError, OSError):
        pass
    finally:
        writer.close()
