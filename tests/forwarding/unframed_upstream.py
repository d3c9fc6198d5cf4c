"""An upstream that is a process of its own and answers without a length or chunks.

Arguments: name, start (Unix milliseconds, 0 if it states none), pieces that it sends of a request
before it holds the answer (0 for whole answers), port (0 for any), ending, bytes of each piece. It
prints its port, and the id of each request whose answer it holds.

With the ending `slow` it closes the listener and the answers under way on SIGTERM, and exits 0.4 s
later; its idle connections are open until then. With `full` it accepts one connection at a time,
and the next one 0.1 s after its end. With `pause` it stands still for 1.3 s after each answer, with
`stall` for 3 s, with `announce` it says in its answers that it leaves. With `empty` it sends no
piece, with `inside` the beginning of one more. A path with `/large` gets 400 pieces of 50 kB.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time
from typing import Final

PIECES: Final = 60
PIECE_BYTES: Final = 10
LARGE_PIECES: Final = 400
LARGE_PIECE_BYTES: Final = 50_000
SLOW_EXIT_S: Final = 0.4
PAUSES_S: Final = {"pause": 1.3, "stall": 3.0}
LIMIT_PAUSE_S: Final = 0.1


def make_piece(number: int, size: int = PIECE_BYTES, *, events: bool = True) -> bytes:
    """Return one piece of an answer, counted from 1, with `size` bytes of text."""
    text = f"piece {number}".ljust(size, "x")
    return f"id: {number}\ndata: {text}\n\n".encode() if events else f"{text}\n".encode()


def make_answer(size: int = PIECE_BYTES, *, events: bool = True) -> bytes:
    """Return the body of a whole answer."""
    return b"".join(make_piece(number, size, events=events) for number in range(1, PIECES + 1))


class UnframedUpstream:
    """Listens until a signal ends the process."""

    def __init__(self, *, name: str, born: int, held: int, ending: str, size: int) -> None:
        self._name = name
        self._born = born
        self._held = held
        self._ending = ending
        self._size = size
        self._open = 0
        self._answering: set[asyncio.StreamWriter] = set()

    async def async_run(self, port: int) -> None:
        """Print the port, and serve."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        server = await asyncio.start_server(self._async_accept, sock=listener)
        ended = asyncio.Event()
        if self._ending == "slow":
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
        print(listener.getsockname()[1], flush=True)
        await ended.wait()
        server.close()
        for writer in self._answering:
            writer.close()
        await asyncio.sleep(SLOW_EXIT_S)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._ending == "full" and self._open:
            writer.transport.abort()
            return
        self._open += 1
        try:
            while await self._async_answer(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()
        await asyncio.sleep(LIMIT_PAUSE_S)
        self._open -= 1

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        target, *lines = head.split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        headers = {key.lower(): value.strip() for key, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("x-expect-instance", self._name) != self._name:
            writer.write(self._make_statement("421 Misdirected Request"))
            return True
        if target.startswith("GET /health "):
            writer.write(self._make_statement("200 OK"))
            return True
        opening = "HTTP/1.1 200 OK\r\n"
        opening += f"X-Server-Stamp: {self._name}.07.5a2.600.0.c9f2a4d1\r\n"
        opening += f"X-Request-Id: {headers.get('x-request-id', '')}\r\n"
        if self._ending == "announce":
            opening += "Server-Leaving: 1\r\n"
        if " /api/" in target or "/framed" in target:
            body = json.dumps({"born": self._born, "epoch": 1, "next": 1, "held": []}).encode()
            opening += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            writer.write(f"{opening}\r\n".encode() + body)
            return True
        media_type = "text/event-stream" if "x-token-usage" in headers else "text/plain"
        opening += f"Content-Type: {media_type}\r\nConnection: close\r\n\r\n"
        writer.write(opening.encode())
        await self._async_write_body(writer, headers, is_large="/large" in target)
        return False

    def _make_statement(self, status: str) -> bytes:
        """Return a response that names this process."""
        head = f"HTTP/1.1 {status}\r\nX-Instance-Id: {self._name}\r\n"
        return f"{head}Content-Length: 0\r\n\r\n".encode()

    async def _async_write_body(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], *, is_large: bool
    ) -> None:
        first = int(headers.get("last-event-id") or 0) + 1
        last = LARGE_PIECES if is_large else self._held or PIECES
        last = 0 if self._ending == "empty" else last
        size = LARGE_PIECE_BYTES if is_large else self._size
        for number in range(first, last + 1):
            writer.write(make_piece(number, size, events="x-token-usage" in headers))
        if self._ending == "inside":
            writer.write(make_piece(last + 1, size, events="x-token-usage" in headers)[:-2])
        await writer.drain()
        if self._held:
            self._answering.add(writer)
            print(headers.get("x-request-id", ""), flush=True)
            await asyncio.Event().wait()
        writer.close()
        if self._ending in PAUSES_S:
            await writer.wait_closed()
            # Everything of the process stands still.
            time.sleep(PAUSES_S[self._ending])  # noqa: ASYNC251


if __name__ == "__main__":
    upstream = UnframedUpstream(
        name=sys.argv[1], born=int(sys.argv[2]), held=int(sys.argv[3]),
        ending=sys.argv[5], size=int(sys.argv[6]),
    )  # fmt: skip
    asyncio.run(upstream.async_run(int(sys.argv[4])))
