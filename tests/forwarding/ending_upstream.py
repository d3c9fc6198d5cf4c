"""An upstream of unframed answers that ends in the ways that a test names on its command line.

Arguments: name, start (Unix milliseconds, 0 if it states none), pieces before it holds the answer
(0 for whole answers), port (0 for any), ending, bytes of each piece. With the ending `slow` it
closes the listener and the answers under way on SIGTERM, and exits 0.4 s later; its idle
connections are open until then. With `leave` it ends right after its first answer, with `full` it
accepts one connection in all, with `pause` it stands still for 1.3 s after its first answer. The
ending `silent_start` doesn't state its start. A path with `/large` gets 400 events of 50 kB.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time

PIECES = 60
LARGE_PIECES = 400
SLOW_EXIT_S = 0.4
PAUSE_S = 1.3


def make_piece(number: int, size: int) -> bytes:
    """Return one event, counted from 1."""
    return f"id: {number}\ndata: {'x' * size}\n\n".encode()


async def async_main(name: str, born: int, held: int, port: int, ending: str, size: int) -> None:
    """Listen until a signal ends the process."""
    answering: set[asyncio.StreamWriter] = set()
    stamp = f"X-Server-Stamp: {name}.07.5a2.600.0.c9f2a4d1\r\n"

    async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            target, *lines = head.split("\r\n")
            pairs = (line.partition(":") for line in lines if line)
            headers = {key.lower(): value.strip() for key, _, value in pairs}
            await reader.readexactly(int(headers.get("content-length", 0)))
            request_id = headers.get("x-request-id", "")
            opening = f"HTTP/1.1 200 OK\r\n{stamp}X-Request-Id: {request_id}\r\n"
            if " /api/" in target or "/framed" in target:
                document = {"epoch": 1, "next": 1, "held": []}
                document |= {} if ending == "silent_start" else {"born": born}
                body = json.dumps(document).encode()
                opening += "Content-Type: application/json\r\n"
                writer.write(f"{opening}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                continue
            writer.write(
                f"{opening}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode()
            )
            first = int(headers.get("last-event-id") or 0) + 1
            body_size = 50_000 if "/large" in target else size
            last = LARGE_PIECES if "/large" in target else held or PIECES
            for number in range(first, last + 1):
                writer.write(make_piece(number, body_size))
            await writer.drain()
            if held:
                answering.add(writer)
                print("held", flush=True)
                await asyncio.Event().wait()
            writer.close()
            if ending == "pause":
                await writer.wait_closed()
                # Everything of the process stands still.
                time.sleep(PAUSE_S)  # noqa: ASYNC251
            if ending == "leave":
                await writer.wait_closed()
                server.close()
                ended.set()
            return

    accepted = 0

    async def async_accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal accepted
        accepted += 1
        if ending == "full" and accepted > 1:
            writer.transport.abort()
            return
        try:
            await async_serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    server = await asyncio.start_server(async_accept, sock=listener)
    ended = asyncio.Event()
    if ending == "slow":
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    print(listener.getsockname()[1], flush=True)
    await ended.wait()
    server.close()
    for writer in answering:
        writer.close()
    await asyncio.sleep(SLOW_EXIT_S)


if __name__ == "__main__":
    born, held, port, size = (int(sys.argv[index]) for index in (2, 3, 4, 6))
    asyncio.run(async_main(sys.argv[1], born, held, port, sys.argv[5], size))
