"""Requests that are cancelled while they connect, on the daemon's event loop."""

from __future__ import annotations

import asyncio
import os

import aiohttp
import uvloop

from gypsumrouter.helpers.connector import ShieldedConnector

ROUNDS = 20
# A connect takes a few turns of the loop: the request is cancelled after each number of them.
TURNS = 10
OTHERS = 3


def test_a_request_cancelled_while_it_connects_leaves_all_other_connections_alone() -> None:
    uvloop.run(async_cancel_at_each_turn())


async def async_cancel_at_each_turn() -> None:
    server = await asyncio.start_server(async_keep_open, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    for _ in range(ROUNDS):
        for turns in range(TURNS):
            assert await async_cancel(port, turns), f"cancelled after {turns} turns"
    server.close()


async def async_cancel(port: int, turns: int) -> bool:
    """Cancel a request; return whether connections that were made after it are still whole."""
    async with aiohttp.ClientSession(connector=ShieldedConnector()) as session:
        task = asyncio.ensure_future(session.get(f"http://127.0.0.1:{port}/"))
        for _ in range(turns):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait({task})
        others = [await async_connect(port) for _ in range(OTHERS)]
        # The socket of the connect is freed with the task that holds its traceback.
        del task
        await asyncio.sleep(0)
    whole = all(is_same_file(descriptor, inode) for _, descriptor, inode in others)
    for transport, _, _ in others:
        transport.abort()
    return whole


async def async_connect(port: int) -> tuple[asyncio.Transport, int, int]:
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(asyncio.Protocol, "127.0.0.1", port)
    descriptor = transport.get_extra_info("socket").fileno()
    return transport, descriptor, os.fstat(descriptor).st_ino


def is_same_file(descriptor: int, inode: int) -> bool:
    try:
        return os.fstat(descriptor).st_ino == inode
    except OSError:
        return False


async def async_keep_open(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
    writer.close()
