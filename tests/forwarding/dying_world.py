"""Test environment: upstreams that are processes, and callers who see how their answers end."""

from __future__ import annotations

import asyncio
import resource
import signal
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from forwarding_world import CALLER_KEY, HOST, PROMPT, ForwardingWorld
from unframed_upstream import PIECE_BYTES

from gypsumrouter.instances import Address

PROGRAM = Path(__file__).with_name("unframed_upstream.py")


class Seen(NamedTuple):
    """What a caller got; `whole` is False if the answer was cut."""

    status: int
    whole: bool
    body: bytes


class EndingUpstream:
    """A process of `unframed_upstream.py`, which a test starts, lists and ends."""

    def __init__(self, world: DyingWorld, *, name: str = "i-1", service: str = "models") -> None:
        self.name = name
        self.born = 0
        self.port = 0
        # Where its entry says that it listens, if a relay stands before it.
        self.listed_port = 0
        self.process: asyncio.subprocess.Process | None = None
        self._world = world
        self._service = service

    async def async_start(
        self,
        *,
        held: int = 0,
        ending: str = "die",
        states_start: bool = True,
        size: int = PIECE_BYTES,
    ) -> None:
        """Start it at the port that it had, if it had one."""
        self.born = time.time_ns() // 1_000_000 if states_start else 0
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-S", str(PROGRAM), self.name, str(self.born), str(held),
            str(self.port), ending, str(size),
            stdout=asyncio.subprocess.PIPE, preexec_fn=_leave_no_core,
        )  # fmt: skip
        self._world.started.append(self.process)
        self.port = int(await self.async_read_line())

    async def async_list(self, state: str = "ready") -> None:
        """Write its entry, and wait until the forwarder lists it."""
        more = {"born": self.born} if self.born else {}
        address = Address(host="127.0.0.1", port=self.listed_port or self.port)
        await self._world.store.async_put_runner(
            self.name, service=self._service, address=address, state=state, version="v1", **more
        )  # fmt: skip
        await self._world.async_until(
            lambda: self.name in str(self._world.product.app.dump()["directory"])
        )

    async def async_read_line(self) -> str:
        """Return the next line that it prints: the id of a request whose answer it holds."""
        assert self.process is not None
        assert self.process.stdout is not None
        async with asyncio.timeout(10):
            return (await self.process.stdout.readline()).decode().strip()

    async def async_end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send it a signal, and wait until it has ended."""
        if self.process is not None:
            await _async_end(self.process, number)


async def _async_end(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    if process.returncode is None:
        process.send_signal(number)
        await process.wait()


def _leave_no_core() -> None:
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


class DyingWorld(ForwardingWorld):
    """A forwarder whose upstreams are processes that a test starts."""

    def __init__(self) -> None:
        super().__init__()
        self.records = []
        self.models = []
        self.started: list[asyncio.subprocess.Process] = []

    async def async_add(
        self, name: str = "i-1", *, service: str = "models", **options: Any
    ) -> EndingUpstream:
        """Start an upstream, and wait until the forwarder lists it.

        `options` are those of `EndingUpstream.async_start`.
        """
        upstream = EndingUpstream(self, name=name, service=service)
        await upstream.async_start(**options)
        await upstream.async_list()
        return upstream

    async def async_stop(self) -> None:
        """Stop all."""
        for process in self.started:
            await _async_end(process, signal.SIGKILL)
        await super().async_stop()

    async def async_until_proven(self) -> None:
        """Wait until the forwarder knows at which start of its upstream the only stream began."""

        def is_proven() -> bool:
            streams: Any = self.product.app.dump()["streams"]
            return (streams["known"], streams["unproven"]) == (1, 0)

        await self.async_until(is_proven)

    async def async_ask(
        self, request_id: str, path: str, *, events: bool, version: str = "1.1"
    ) -> Seen:
        """Send a request on a connection of its own, and read its answer to the end."""
        address = self.product.addresses["callers"]
        reader, writer = await asyncio.open_connection(address.host, address.port)
        headers = {"Host": HOST, "X-Request-Id": request_id, "Api-Key": CALLER_KEY}
        headers |= {"X-Deadline-Ms": "8000", "Connection": "close", "Content-Length": "1"}
        headers |= PROMPT if events else {}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"POST {path} HTTP/{version}\r\n{lines}\r\np".encode())
        return await async_read_answer(reader, writer)


async def async_read_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Seen:
    """Read the only answer on a connection to its end, and close the connection."""
    received, reset = b"", False
    try:
        async with asyncio.timeout(15):
            while part := await reader.read(65_536):
                received += part
    except ConnectionError:
        reset = True
    writer.close()
    return read_answer(received, reset=reset)


def read_answer(received: bytes, *, reset: bool) -> Seen:
    """Return what the bytes of a connection say of the only answer on it."""
    head, _, rest = received.partition(b"\r\n\r\n")
    if not head:
        return Seen(0, False, b"")
    status = int(head.split(b" ")[1])
    fields = head.lower()
    if b"transfer-encoding: chunked" in fields:
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size, 16)
            if not length:
                return Seen(status, not reset, body)
            body, rest = body + rest[:length], rest[length + 2 :]
        return Seen(status, False, body)
    if b"content-length:" in fields:
        length = int(fields.partition(b"content-length:")[2].split(b"\r\n")[0])
        return Seen(status, len(rest) == length, rest)
    return Seen(status, not reset, rest)
