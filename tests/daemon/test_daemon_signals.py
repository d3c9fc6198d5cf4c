"""Signals that arrive while a process starts, and repeated ones."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
import sys
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.helpers.logs import NO_VALUE, ContextFilter, set_request_id
from gypsumrouter.instances import Address
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.service import DaemonService, Setup
from gypsumrouter.settings import ForwarderSettings, Identity, Link
from gypsumrouter.standins.listener import PortReservation

ENV_KEY = "GYPSUMROUTER_TEST_LINK_KEY"
HANG_S = 30
FIRST_MS = 1_000
SETTINGS: dict[str, Any] = {
    "instance": {"name": "entry-1", "data_centre": "here", "region": "r"},
    "callers": "127.0.0.1:0",
    "link_address": "127.0.0.1:0",
    "link": {"key_env": ENV_KEY},
    "store": "127.0.0.1:1",
    "bounds": {"stop_ms": 4_000},
}


async def async_never_set_up() -> RunningProcess:
    raise AssertionError


def make_service(async_setup: Setup = async_never_set_up) -> DaemonService:
    settings = ForwarderSettings(
        instance=Identity(name="entry-1", data_centre="here", region="r"),
        link=Link(key_env=ENV_KEY),
        store="127.0.0.1:1",
    )
    return DaemonService(settings=settings, announce=False, setup=async_setup)


# Guards against a planned stop that a later signal begins anew or ends.
@pytest.mark.parametrize("rounds", [0, 3])
@pytest.mark.parametrize("later", [signal.SIGTERM, signal.SIGINT])
async def test_only_the_first_stop_signal_counts(rounds: int, later: signal.Signals) -> None:
    service = make_service()
    service.handle_signal(signal.SIGTERM, FIRST_MS)
    for _ in range(rounds):
        await asyncio.sleep(0)
    service.handle_signal(later, FIRST_MS + 1)
    assert service.stop_at_ms == FIRST_MS


# Guards against lines about a stop that name the request which the signal interrupted.
async def test_line_of_a_signal_names_the_request_that_it_interrupts(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    caplog.handler.addFilter(ContextFilter())
    service = make_service()

    async def async_be_interrupted() -> None:
        set_request_id("r-1")
        loop = asyncio.get_running_loop()
        loop.call_soon_threadsafe(service.handle_signal, signal.SIGTERM, FIRST_MS)

    await asyncio.create_task(async_be_interrupted())
    await asyncio.sleep(0)
    (record,) = (record for record in caplog.records if "SIGTERM" in record.getMessage())
    assert vars(record)["request_id"] == NO_VALUE


# Guards against requests that are cut at once, since a part of the drain failed.
async def test_drain_whose_hook_fails_waits_for_the_running_requests() -> None:
    running = ["r-1"]
    app = Application(name="entry-1", role=Role.FORWARDER, data_centre="here", region="r")
    store = Mock(ready=asyncio.Event())
    store.ready.set()

    async def async_fail() -> None:
        asyncio.get_running_loop().call_later(0.2, running.clear)
        raise ValueError("a fault of the hook")

    async def async_setup() -> RunningProcess:
        app.on_drain(async_fail)
        return RunningProcess(
            app=app,
            store=store,
            addresses={},
            is_ready=lambda: True,
            list_running=lambda: list(running),
            get_drain_limit_ms=lambda: HANG_S * 1_000,
        )

    service = make_service(async_setup)
    await service.async_start()
    service.handle_signal(signal.SIGTERM, app.clock.now_ms())
    assert await service.async_wait() == 0
    assert (running, app.end_reason) == ([], "done")
    await service.async_stop()


# Guards against an exit that waits for threads, and is late on a starved machine.
async def test_stopped_process_ends_while_a_thread_is_blocked() -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).parent / "blocked_thread_daemon.py"),
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    lines = b""
    try:
        async with asyncio.timeout(HANG_S):
            lines = await process.stderr.read()
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
    # A wait for the thread that is given up would add a warning.
    assert lines.splitlines()[-1].endswith(b"Stopped with exit code 0")


# Guards against a signal that ends a process which is starting, with callers in its backlog.
@pytest.mark.parametrize("early", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
async def test_signal_during_the_imports_does_not_end_the_process_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, early: signal.Signals
) -> None:
    monkeypatch.setenv(ENV_KEY, "0123456789abcdef0123456789abcdef")
    holder = PortReservation(host="127.0.0.1", port=0)
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(SETTINGS | {"callers": str(holder.address)}))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "gypsumrouter.daemon", "forwarder", "--settings", str(file)),
        "--announce",
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        async with asyncio.timeout(HANG_S):
            # It listens before it imports most of its modules.
            await async_wait_listening(holder.address)
            process.send_signal(early)
            while b'"addresses"' not in (line := await process.stdout.readline()):
                assert line, "the process ended"
            process.send_signal(signal.SIGTERM)
            await process.stdout.read()
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
        holder.close()


async def async_wait_listening(address: Address) -> None:
    """Wait until a process accepts connections at an address."""
    while True:
        try:
            _, writer = await asyncio.open_connection(address.host, address.port)
        except OSError:
            continue
        writer.close()
        return
