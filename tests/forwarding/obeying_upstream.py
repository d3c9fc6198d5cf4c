"""An upstream that is a process of its own and stops work at the deadline that it receives.

Arguments: name, start (Unix milliseconds), framing (`chunks` or `close`). It prints its port. An
answer has 30 pieces, 13 ms apart; at the deadline it ends in order, wherever it is.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Final

PIECES: Final = 30
PAUSE_S: Final = 0.013
ID_EXPECTED: Final = "x-expect-instance"


def make_piece(number: int, *, events: bool) -> bytes:
    """Return one piece of an answer, counted from 1."""
    return (f"id: {number}\ndata: piece {number}\n\n" if events else f"piece {number}\n").encode()


def make_answer(*, events: bool) -> bytes:
    """Return the body of a whole answer."""
    return b"".join(make_piece(number, events=events) for number in range(1, PIECES + 1))


class ObeyingUpstream:
    """Listens until a signal ends the process."""

    def __init__(self, *, name: str, born: int, framing: str) -> None:
        self._name = name
        self._born = born
        self._is_chunked = framing == "chunks"

    async def async_run(self) -> None:
        """Print the port, and serve."""
        server = await asyncio.start_server(self._async_accept, "127.0.0.1", 0)
        print(server.sockets[0].getsockname()[1], flush=True)
        await server.serve_forever()

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._async_answer(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        arrived_s = asyncio.get_running_loop().time()
        target, *lines = head.split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        headers = {key.lower(): value.strip() for key, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", 0)))
        opening = f"X-Server-Stamp: {self._name}.07.5a2.600.0.c9f2a4d1\r\n"
        opening += f"X-Request-Id: {headers.get('x-request-id', '')}\r\n"
        if headers.get(ID_EXPECTED, self._name) != self._name:
            writer.write(self._make_statement("421 Misdirected Request"))
        elif target.startswith("GET /health "):
            writer.write(self._make_statement("200 OK"))
        elif " /api/" in target:
            body = json.dumps({"born": self._born, "epoch": 1, "next": 1, "held": []}).encode()
            opening += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            writer.write(f"HTTP/1.1 200 OK\r\n{opening}\r\n".encode() + body)
        else:
            ends_s = arrived_s + int(headers["x-deadline-ms"]) / 1_000
            await self._async_run_request(writer, opening, headers, ends_s=ends_s)
            return self._is_chunked
        return True

    def _make_statement(self, status: str) -> bytes:
        """Return a response that names this process."""
        head = f"HTTP/1.1 {status}\r\nX-Instance-Id: {self._name}\r\n"
        return f"{head}Content-Length: 0\r\n\r\n".encode()

    async def _async_run_request(
        self,
        writer: asyncio.StreamWriter,
        opening: str,
        headers: dict[str, str],
        *,
        ends_s: float,
    ) -> None:
        events = "x-token-usage" in headers
        opening += f"Content-Type: {'text/event-stream' if events else 'text/plain'}\r\n"
        opening += "Transfer-Encoding: chunked\r\n" if self._is_chunked else "Connection: close\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{opening}\r\n".encode())
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, PIECES + 1):
            if not await self._async_pause(ends_s):
                break
            self._write(writer, make_piece(number, events=events))
        if self._is_chunked:
            writer.write(b"0\r\n\r\n")

    async def _async_pause(self, ends_s: float) -> bool:
        """Wait until the next piece is due; return False if the deadline comes first."""
        left_s = ends_s - asyncio.get_running_loop().time()
        await asyncio.sleep(min(PAUSE_S, max(0, left_s)))
        return left_s >= PAUSE_S

    def _write(self, writer: asyncio.StreamWriter, piece: bytes) -> None:
        frame = f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
        writer.write(frame if self._is_chunked else piece)


if __name__ == "__main__":
    upstream = ObeyingUpstream(name=sys.argv[1], born=int(sys.argv[2]), framing=sys.argv[3])
    asyncio.run(upstream.async_run())
