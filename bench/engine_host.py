"""A process with one stand-in engine: prints its address, stops at the end of standard input."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from gypsumrouter.const import ENV_IO_URING, IO_URING_OFF
from gypsumrouter.instances import Address
from gypsumrouter.standins import Engine, EngineSettings
from gypsumrouter.util.clock import SystemClock


@asynccontextmanager
async def start_engine(settings: EngineSettings) -> AsyncIterator[Address]:
    """Run an engine in a separate process while the context is open."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.engine_host",
        json.dumps(msgspec.to_builtins(settings)),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, ENV_IO_URING: IO_URING_OFF},
    )
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        host, port = json.loads(await process.stdout.readline())
        yield Address(host=host, port=port)
    finally:
        process.stdin.close()
        await process.wait()


async def async_host(settings: EngineSettings) -> None:
    """Run one engine until the end of standard input."""
    engine = Engine(clock=SystemClock(), settings=settings)
    address = await engine.async_start()
    print(json.dumps([address.host, address.port]), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await engine.async_stop()


if __name__ == "__main__":
    import uvloop

    arguments = json.loads(sys.argv[1])
    arguments["models"] = tuple(arguments["models"])
    uvloop.run(async_host(EngineSettings(**arguments)))
