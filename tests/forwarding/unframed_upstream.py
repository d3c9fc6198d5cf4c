"""An upstream that is a process of its own and answers without a length or chunks.

Arguments: name, start (Unix milliseconds, 0 if it states none), pieces that it sends of a request
before it holds the answer (0 for whole answers). It prints its port, and the id of each request
whose answer it holds.
"""

from __future__ import annotations

import asyncio
import json
import sys

PIECES = 6


def make_piece(number: int, *, events: bool) -> bytes:
    """Return one piece of an answer, counted from 1."""
    if events:
        return f"id: {number}\ndata: piece {number}\n\n".encode()
    return f"piece {number}\n".encode()


def make_answer(*, events: bool) -> bytes:
    """Return the body of a whole answer."""
    return b"".join(make_piece(number, events=events) for number in range(1, PIECES + 1))


async def async_serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str, born: int, held: int
) -> None:
    """Answer the requests of one connection."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        target, *lines = head.split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        headers = {key.lower(): value.strip() for key, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("x-request-id", "")
        opening = f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {name}.07.5a2.600.0.c9f2a4d1\r\n"
        if " /api/" in target or "/framed" in target:
            body = json.dumps({"born": born, "epoch": 1, "next": 1, "held": []}).encode()
            opening += f"X-Request-Id: {request_id}\r\nContent-Type: application/json\r\n"
            writer.write(f"{opening}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            continue
        events = "x-token-usage" in headers
        media_type = "text/event-stream" if events else "text/plain"
        opening += f"X-Request-Id: {request_id}\r\nContent-Type: {media_type}\r\n"
        writer.write(f"{opening}Connection: close\r\n\r\n".encode())
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, (held or PIECES) + 1):
            writer.write(make_piece(number, events=events))
        await writer.drain()
        if held:
            print(request_id, flush=True)
            await asyncio.Event().wait()
        writer.close()
        return


async def async_main(name: str, born: int, held: int) -> None:
    """Listen until a signal ends the process."""

    async def async_accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await async_serve(reader, writer, name, born, held)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(async_accept, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(async_main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
