"""A process that gets SIGTERM when it has started, while a thread of its pool is blocked."""

from __future__ import annotations

import asyncio
import os
import signal
import threading
from unittest.mock import Mock

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.daemon import run_daemon
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import ForwarderSettings, Identity, Link


async def async_setup() -> RunningProcess:
    """Block a thread and let the process stop."""
    loop = asyncio.get_running_loop()
    loop.run_in_executor(None, threading.Event().wait)
    loop.call_soon(os.kill, os.getpid(), signal.SIGTERM)
    return RunningProcess(
        app=Application(name="entry-1", role=Role.FORWARDER, data_centre="here", region="r"),
        store=Mock(ready=asyncio.Event()),
        addresses={},
        is_ready=lambda: True,
        list_running=list,
        get_drain_limit_ms=lambda: 1_000,
    )


if __name__ == "__main__":
    run_daemon(
        settings=ForwarderSettings(
            instance=Identity(name="entry-1", data_centre="here", region="r"),
            link=Link(key_env="UNUSED"),
            store="127.0.0.1:1",
        ),
        announce=False,
        setup=async_setup,
    )
