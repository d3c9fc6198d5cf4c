"""Cancelling a connecting request must not close the sockets of other connections under uvloop."""

from __future__ import annotations

import asyncio
import os

import aiohttp
import uvloop

from gypsumrouter.helpers.connector import ShieldedConnector

ROUNDS = 20
# The request is cancelled after each number of loop iterations, at every stage of the connect.
LOOP_ITERATIONS = 10
LATER_CONNECTIONS = 3


def test_cancelling_a_connecting_request_does_not_close_other_sockets() -> None:
    uvloop.run(async_cancel_at_each_iteration())


async def async_cancel_at_each_iteration() -> None:
    server = await asyncio.start_server(async_keep_open, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    for _ in range(ROUNDS):
        for iterations in range(LOOP_ITERATIONS):
            assert await async_cancel(port, iterations), f"cancelled after {iterations} iterations"
    server.close()


async def async_cancel(port: int, iterations: int) -> bool:
    """Cancel a request; return whether connections that were opened after it are intact."""
    async with aiohttp.ClientSession(connector=ShieldedConnector()) as session:
        task = asyncio.ensure_future(session.get(f"http://127.0.0.1:{port}/"))
        for _ in range(iterations):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait({task})
        later = [await async_connect(port) for _ in range(LATER_CONNECTIONS)]
        # Frees the socket of the connect, which the traceback of the task refers to.
        del task
        await asyncio.sleep(0)
    intact = all(is_same_socket(descriptor, inode) for _, descriptor, inode in later)
    for transport, _, _ in later:
        transport.abort()
    return intact


async def async_connect(port: int) -> tuple[asyncio.Transport, int, int]:
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(asyncio.Protocol, "127.0.0.1", port)
    descriptor = transport.get_extra_info("socket").fileno()
    return transport, descriptor, os.fstat(descriptor).st_ino


def is_same_socket(descriptor: int, inode: int) -> bool:
    try:
        return os.fstat(descriptor).st_ino == inode
    except OSError:
        return False


async def async_keep_open(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
    writer.close()
