"""Test environment: forwarder processes that are stopped, and callers that see how answers end."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, Self

from forwarding_world import make_configuration, make_route

from bench.processes import DaemonProcess, async_start_daemon, is_running
from bench.raw_caller import CLOCK, DEADLINE_MS, Answer, End, RawCaller
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.standins import FaultProxy, PlatformRunner, PublishedStoreStandin

ENV_KEY = "GYPSUMROUTER_LINK_KEY"
KEY = "a key of the links between routers"
RUNNERS = 3
POLL_MS = 10
STOPPED_SOON_S = 0.3


class StoppingWorld:
    """Runs a store and engines in the test's process, and forwarders as processes of their own.

    A process is killed that outlasts its `stop_ms`. With a `pause_s`, that is the engines' pause
    between tokens once they are ready.
    """

    def __init__(self, *, folder: Path, stop_ms: int, pause_s: float | None = None) -> None:
        self.folder = folder
        self.stop_ms = stop_ms
        self.pause_s = pause_s
        self.store = PublishedStoreStandin()
        self.store_proxy: FaultProxy | None = None
        self.runners = [
            PlatformRunner(name=f"i-models-{n}", events_per_token=True) for n in range(RUNNERS)
        ]
        self.processes: list[DaemonProcess] = []
        self._journals: list[asyncio.Task[list[str]]] = []
        self.killed: list[int] = []

    async def __aenter__(self) -> Self:
        await self.async_start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.async_close()

    async def async_start(self, *, forwarders: int = 1) -> None:
        os.environ[ENV_KEY] = KEY
        self.store_proxy = FaultProxy(target=await self.store.async_start())
        store = await self.store_proxy.async_start()
        for runner in self.runners:
            address = await runner.async_start()
            await self.store.async_put_runner(
                runner.name, service="models", address=address, state="ready", slots=64
            )
        route = make_route(
            "draft", "streaming", "models", max_attempts=1, timeout_ms=DEADLINE_MS,
            target_latency_ms=5_000, target_gap_ms=2_000,
        )  # fmt: skip
        await self.store.async_put_configuration(make_configuration(routes=[route]))
        starts = (self._async_start_forwarder(n, str(store)) for n in range(forwarders))
        self.processes = list(await asyncio.gather(*starts))
        for process in self.processes:
            await self._async_until_served(process)
        if self.pause_s is not None:
            for runner in self.runners:
                runner.pause_s = self.pause_s

    async def _async_start_forwarder(self, number: int, store: str) -> DaemonProcess:
        settings = {
            "instance": {"name": f"entry-{number}", "data_centre": "dc-a", "region": "r"},
            "callers": "127.0.0.1:0",
            "link_address": "127.0.0.1:0",
            "link": {"key_env": ENV_KEY},
            "store": store,
            "bounds": {"stop_ms": self.stop_ms},
            "contention": {},
            "without": ["engine_speed", "engine_memory", "prompt_spread"],
            "log": {"format": "json"},
        }
        process = await async_start_daemon(
            role=Role.FORWARDER, settings=settings, folder=self.folder
        )
        self._journals.append(asyncio.create_task(_async_read_all(process)))
        return process

    async def _async_until_served(self, process: DaemonProcess) -> None:
        async with asyncio.timeout(20):
            while (await self.async_ask_once(process, "probe", tokens=1)).status != 200:
                pass

    async def async_ask_once(
        self, process: DaemonProcess, request_id: str, **options: Any
    ) -> Answer:
        """Return the answer to one request on a connection of its own."""
        caller = self.caller(process)
        try:
            await caller.async_open()
        except OSError:
            return Answer(request_id=request_id)
        try:
            return await caller.async_ask(request_id, **options)
        finally:
            caller.close()

    def caller(self, process: DaemonProcess, *, buffer_bytes: int | None = None) -> RawCaller:
        return RawCaller(process.addresses["callers"], buffer_bytes=buffer_bytes)

    async def async_stop(
        self, process: DaemonProcess, signals: Sequence[tuple[float, signal.Signals]]
    ) -> tuple[int, float]:
        """Send signals at times in seconds, kill the process after its time for a stop.

        Return its exit code and the seconds from the first signal to its end.
        """
        begun_s = time.monotonic()
        for at_s, number in signals:
            await CLOCK.async_sleep(round(1_000 * max(0, begun_s + at_s - time.monotonic())))
            process.send_signal(number)
        # `wait` of the library waits for the output too, which nobody may read.
        while process.process.returncode is None:
            if time.monotonic() > begun_s + self.stop_ms / MS_PER_S and is_running(process.pid):
                self.killed.append(process.pid)
                # `send_signal` of the library collects a process that has just ended.
                os.kill(process.pid, signal.SIGKILL)
            await CLOCK.async_sleep(POLL_MS)
        return process.process.returncode, time.monotonic() - begun_s

    def stop_soon(self) -> asyncio.Task[tuple[int, float]]:
        """Stop the first process a moment later, see `async_stop`."""
        signals = [(STOPPED_SOON_S, signal.SIGTERM)]
        return asyncio.create_task(self.async_stop(self.processes[0], signals))

    async def async_read_journal(self, number: int = 0) -> list[dict[str, Any]]:
        """Return the lines of a forwarder that has ended."""
        lines = await self._journals[number]
        return [json.loads(line) for line in lines if line.startswith("{")]

    def ran(self, request_id: str) -> bool:
        """Return whether a request ran at an engine."""
        return any(request_id in runner.ran for runner in self.runners)

    def stop_reading(self, process: DaemonProcess) -> None:
        """Let the output of a process fill its pipe."""
        self._journals[self.processes.index(process)].cancel()

    async def async_wait_running(self, count: int) -> None:
        """Wait until so many requests run at the engines."""
        async with asyncio.timeout(20):
            while sum(len(runner.ran) for runner in self.runners) < count:
                await CLOCK.async_sleep(10)

    async def async_wait_ran(self, request_id: str) -> None:
        """Wait until a request runs at an engine."""
        async with asyncio.timeout(20):
            while not self.ran(request_id):
                await CLOCK.async_sleep(POLL_MS)

    def list_reset(self, answers: Iterable[Answer]) -> list[Answer]:
        """Return the answers that ran and whose connection was reset behind status 200."""
        return [
            answer
            for answer in answers
            if answer.end is not End.WHOLE and answer.status == 200 and self.ran(answer.request_id)
        ]

    async def async_close(self) -> None:
        for process in self.processes:
            await process.async_kill()
        await asyncio.gather(*self._journals, return_exceptions=True)
        for process in self.processes:
            if process.process.stdout is not None:
                # What was not read keeps the pipe open.
                await process.process.stdout.read()
        for runner in self.runners:
            await runner.async_stop()
        if self.store_proxy is not None:
            await self.store_proxy.async_stop()
        await self.store.async_stop()


async def _async_read_all(process: DaemonProcess) -> list[str]:
    assert process.process.stdout is not None
    return [line.decode() async for line in process.process.stdout]
