"""A process with the faults that its arguments name; it gets SIGTERM when it has started."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import threading
from unittest.mock import Mock

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.daemon import run_daemon
from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import ForwarderSettings, Identity, Link, Log, LogFormat

BLOCKED = "blocked"
JOBS = "jobs"
LISTING = "listing"
SETUP = "setup"
TASK = "task"

AT_ONCE = "most jobs at once: "
RELEASED = "released"

JOB_COUNT = 9
JOB_S = 0.2

_app = Application(name="entry-1", role=Role.FORWARDER, data_centre="here", region="r")


async def async_fail() -> None:
    """Fail as an unexpected error does."""
    raise ValueError("a fault of the code")


async def async_run_jobs() -> None:
    """Run more jobs than there are worker threads, and print how many ran at once at most."""
    running: list[int] = []
    most = 0

    def run(job: int) -> None:
        nonlocal most
        running.append(job)
        most = max(most, len(running))
        threading.Event().wait(JOB_S)
        running.remove(job)

    await asyncio.gather(*(asyncio.to_thread(run, job) for job in range(JOB_COUNT)))
    print(f"{AT_ONCE}{most}", flush=True)


async def async_release() -> None:
    """Print that the resources are released."""
    print(RELEASED, flush=True)


async def async_setup() -> RunningProcess:
    """Start with the faults that the arguments name."""
    loop = asyncio.get_running_loop()
    _app.on_stop(async_release)
    faults = sys.argv[1:]
    if BLOCKED in faults:
        loop.run_in_executor(None, threading.Event().wait)
    if SETUP in faults:
        await async_fail()
    if JOBS in faults:
        await async_run_jobs()
    if TASK in faults:
        # A task that nobody owns; the loop reports its error when the task is freed.
        loop.call_soon(asyncio.ensure_future, async_fail())
    loop.call_later(JOB_S, os.kill, os.getpid(), signal.SIGTERM)

    def list_running() -> list[str]:
        if LISTING in faults:
            raise InvariantBroken("a fault of the list")
        return []

    return RunningProcess(
        app=_app,
        store=Mock(ready=asyncio.Event()),
        addresses={},
        is_ready=lambda: True,
        list_running=list_running,
        get_drain_limit_ms=lambda: 1_000,
    )


if __name__ == "__main__":
    run_daemon(
        settings=ForwarderSettings(
            instance=Identity(name="entry-1", data_centre="here", region="r"),
            link=Link(key_env="UNUSED"),
            store="127.0.0.1:1",
            log=Log(format=LogFormat.JSON),
        ),
        announce=False,
        setup=async_setup,
    )
