"""Child processes of a bench that receive JSON commands, one per line, on standard input."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Final

from gypsumrouter.const import ENV_IO_URING, IO_URING_OFF

READ_LIMIT: Final = 4 * 1024 * 1024
RESPONSE_TIMEOUT_S: Final = 90.0

Command = dict[str, Any]


class Child:
    """Runs a module as a child process; closing its standard input stops it."""

    def __init__(self, *, module: str, plan: Command) -> None:
        self._module = module
        self._plan = plan
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    async def async_start(self) -> Any:
        """Start the process and return its greeting."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            json.dumps(self._plan),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=READ_LIMIT,
            env={**os.environ, ENV_IO_URING: IO_URING_OFF},
        )
        return await self._async_read()

    async def async_command(self, **command: Any) -> Any:
        """Send a command and return the response."""
        assert self._process is not None
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(command).encode() + b"\n")
        return await self._async_read()

    async def async_stop(self) -> None:
        """Stop the process and wait for its exit."""
        if self._process is None or self._process.stdin is None:
            return
        self._process.stdin.close()
        await self._process.wait()

    async def _async_read(self) -> Any:
        assert self._process is not None
        assert self._process.stdout is not None
        line = await asyncio.wait_for(self._process.stdout.readline(), RESPONSE_TIMEOUT_S)
        if not line:
            code = await self._process.wait()
            raise RuntimeError(f"{self._module} exited with code {code} before it sent a response")
        return json.loads(line)


async def async_serve(greeting: object, handler: Callable[[Command], Awaitable[object]]) -> None:
    """Send `greeting` to the parent, then handle its commands until standard input closes."""
    print(json.dumps(greeting), flush=True)
    reader = asyncio.StreamReader(limit=READ_LIMIT)
    loop = asyncio.get_running_loop()
    # Keep a reference: the event loop does not keep the transport alive.
    transport, _ = await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        print(json.dumps(await handler(json.loads(line))), flush=True)
    transport.close()
