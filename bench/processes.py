"""Daemon processes for benches: start, resource usage and stop."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

from msgspec import Struct

from gypsumrouter.const import ENV_IO_URING, IO_URING_OFF, Role
from gypsumrouter.instances import Address, parse_address

TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
BYTES_PER_KIB: Final = 1024
ANNOUNCE_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 20.0
# The interpreter of a checkout, in its environment.
PRODUCT_PYTHON: Final = ".venv/bin/python"


class Usage(Struct, frozen=True, kw_only=True):
    """CPU seconds that a process has used so far, and its resident memory."""

    cpu_s: float
    rss_bytes: int


class DaemonProcess:
    """A running daemon and the addresses that it announced."""

    __slots__ = ("addresses", "name", "process", "role")

    def __init__(
        self,
        *,
        name: str,
        role: Role,
        process: asyncio.subprocess.Process,
        addresses: dict[str, Address],
    ) -> None:
        self.name = name
        self.role = role
        self.process = process
        self.addresses = addresses

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    def read_usage(self) -> Usage:
        """Return the resource usage of the process from /proc."""
        return read_usage(self.pid)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def async_stop(self) -> int:
        """Stop the process gracefully, or kill it after STOP_TIMEOUT_S; return its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()

    async def async_kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()


async def async_start_daemon(
    *,
    role: Role,
    settings: dict[str, Any],
    folder: Path,
    log: Path | None = None,
    options: Sequence[str] = (),
    product: Path | None = None,
    command: Sequence[str] | None = None,
    environment: Mapping[str, str] | None = None,
) -> DaemonProcess:
    """Start a daemon and wait until it has announced its addresses.

    It is that of the checkout `product`, if given, in the environment of that, or what `command`
    runs. Raises RuntimeError if it exits before that.
    """
    name = settings["instance"]["name"]
    file = folder / f"{name}.json"
    file.write_text(json.dumps(settings))
    with (log or folder / f"{name}.log").open("ab") as errors:
        python = sys.executable if product is None else str(product / PRODUCT_PYTHON)
        process = await asyncio.create_subprocess_exec(
            *(command or (python, "-m", "gypsumrouter.daemon")),
            str(role),
            "--settings",
            str(file),
            "--announce",
            *options,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors,
            cwd=product,
            env={**os.environ, ENV_IO_URING: IO_URING_OFF, **(environment or {})},
        )
    try:
        addresses = await _async_read_announcement(process, name)
    except BaseException:
        # One that announces itself later would run on without an owner.
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        raise
    return DaemonProcess(name=name, role=role, process=process, addresses=addresses)


async def _async_read_announcement(
    process: asyncio.subprocess.Process, name: str
) -> dict[str, Address]:
    if process.stdout is None:
        raise RuntimeError("expected a pipe as standard output of the daemon, got none")
    announced: dict[str, str] | None = None
    # A forwarder also writes its journal to standard output.
    while announced is None:
        line = await asyncio.wait_for(process.stdout.readline(), ANNOUNCE_TIMEOUT_S)
        if not line:
            raise RuntimeError(f"{name} exited before it announced its addresses")
        announced = json.loads(line).get("addresses")
    return {key: parse_address(value) for key, value in announced.items()}


def read_usage(pid: int) -> Usage:
    """Return the CPU time and resident memory of a local process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return Usage(cpu_s=cpu_s, rss_bytes=int(line.split()[1]) * BYTES_PER_KIB)
    return Usage(cpu_s=cpu_s, rss_bytes=0)


def is_running(pid: int) -> bool:
    """Return whether a child process has not ended, also while this process has not noticed."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state not in {"Z", "X"}
