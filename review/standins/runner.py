"""Stand-in of a runner, one process for each start of it.

It serves plain requests and streams, registers in the store, and writes what it did as JSON lines
to a file: requests that ran, and those that it left because their connection closed.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import time
from pathlib import Path

from standins.http import Request, make_head, make_response, read_request

HEARTBEAT_S = 1.2
KEEP_ALIVE_S = 5
# Bodies are sent in parts of this size.
PART_BYTES = 100_000


def make_body(path: str, size: int) -> bytes:
    """Return the body that every runner sends for a path."""
    lines = []
    length = number = 0
    while length < size:
        digest = hashlib.sha256(f"{path} {number}".encode()).hexdigest()
        lines.append(f"{number:06d} {digest}\n".encode())
        length += len(lines[-1])
        number += 1
    return b"".join(lines)[:size]


class Runner:
    """One start of a runner."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._born_ms = int(time.time() * 1000)
        self._log = Path(options.log).open("a", encoding="utf-8", buffering=1)
        self._running = 0

    def note(self, what: str, request: Request, **more: object) -> None:
        """Write one line of the record."""
        line = {
            "at": time.monotonic(),
            "runner": self._options.id,
            "version": self._options.version,
            "what": what,
            "id": request.headers.get("x-request-id", ""),
            "path": request.target,
            **more,
        }
        self._log.write(json.dumps(line) + "\n")

    async def run(self) -> None:
        """Serve and register until the process is ended."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", self._options.port)
        await asyncio.sleep(self._options.register_after)
        async with server:
            while True:
                await self._register()
                await asyncio.sleep(HEARTBEAT_S)

    async def _register(self) -> None:
        options = self._options
        entry = {
            "service": options.service,
            "address": f"127.0.0.1:{options.port}",
            "zone": options.zone,
            "version": options.version,
            "slots": options.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 0,
            "born": self._born_ms,
        }
        host, port = options.store.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps(entry).encode()
        head = f"PUT /write?key=servers/{options.id} HTTP/1.1\r\nHost: store\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await reader.readline()
        writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                async with asyncio.timeout(KEEP_ALIVE_S):
                    request = await read_request(reader)
                if request is None:
                    break
                await self._handle(request, reader, writer)
        except (ConnectionError, TimeoutError):
            pass
        finally:
            writer.close()

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        options = self._options
        if request.path == "/api/report":
            models = [{"name": "m", "version": 1, "adapters": []}]
            document = {"stage": "colocated", "models": models, "born": self._born_ms}
            writer.write(make_response(200, {}, json.dumps(document).encode()))
            await writer.drain()
            return
        if request.path == "/api/kv-list":
            document = {"epoch": 1, "next": 1, "held": [], "born": self._born_ms}
            writer.write(make_response(200, {}, json.dumps(document).encode()))
            await writer.drain()
            return
        headers = {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "Keep-Alive": f"timeout={KEEP_ALIVE_S}",
        }
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != options.id:
            self.note("wrong instance", request)
            writer.write(make_response(421, {**headers, "X-Not-Executed": "1"}, b""))
            await writer.drain()
            return
        stamp = hashlib.sha256(f"{options.id} {headers['X-Request-Id']}".encode()).hexdigest()[:16]
        headers["X-Server-Stamp"] = stamp
        self._running += 1
        headers["X-Server-Load"] = f"{self._running},0,{options.slots}"
        self.note("run", request, last=request.headers.get("last-event-id", ""))
        try:
            if "x-token-usage" in request.headers:
                await self._stream(request, headers, reader, writer)
            else:
                await self._answer(request, headers, writer)
        except ConnectionError:
            self.note("left", request)
            raise
        finally:
            self._running -= 1

    async def _answer(
        self, request: Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        options = self._options
        await asyncio.sleep(options.work_ms / 1000)
        body = make_body(request.path, options.body_bytes)
        writer.write(make_head(200, {**headers, "Content-Length": str(len(body))}))
        for start in range(0, len(body), PART_BYTES):
            writer.write(body[start : start + PART_BYTES])
            await writer.drain()
            if start + PART_BYTES < len(body):
                self.note("sends", request, sent=start + PART_BYTES, of=len(body))
                await asyncio.sleep(options.part_ms / 1000)
        self.note("answered", request, of=len(body))

    async def _stream(
        self,
        request: Request,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        options = self._options
        first = int(request.headers.get("last-event-id") or 0) + 1
        await asyncio.sleep(options.work_ms / 1000)
        headers = {
            **headers,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(make_head(200, headers))
        for number in range(first, options.events + 1):
            event = f"id: {number}\ndata: {options.version} of {options.id}, piece {number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            if reader.at_eof():
                raise ConnectionResetError
            await asyncio.sleep(options.pause_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("answered", request)


def read_options() -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--version", default="1")
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--register-after", type=float, default=0.0)
    parser.add_argument("--work-ms", type=int, default=20)
    parser.add_argument("--events", type=int, default=40)
    parser.add_argument("--pause-ms", type=int, default=60)
    parser.add_argument("--body-bytes", type=int, default=800)
    parser.add_argument("--part-ms", type=int, default=30)
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(Runner(read_options()).run())
