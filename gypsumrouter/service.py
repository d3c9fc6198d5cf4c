"""Lifecycle of a process as a service: start-up, signals, draining and exit code."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
from collections.abc import Awaitable, Callable
from typing import Any, Final

import aiomisc
import click

from gypsumrouter.const import EXIT_FAILED, EXIT_OK
from gypsumrouter.exceptions import ErrorCode, GypsumError
from gypsumrouter.helpers.heap import freeze_heap
from gypsumrouter.journal import DrainEnded
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import ForwarderSettings, Settings

_LOGGER = logging.getLogger(__name__)

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

# Time reserved at the end of a forwarder's stop to abort the remaining requests and exit.
EXIT_MARGIN_MS: Final = 500

Setup = Callable[[], Awaitable[RunningProcess]]


class DaemonService(aiomisc.Service):
    """Runs the components of a process until a signal or an invariant violation."""

    def __init__(
        self,
        *,
        settings: Settings,
        announce: bool,
        setup: Setup,
        reload_requested: bool = False,
    ) -> None:
        """Create the service; with `reload_requested` the settings are reloaded once it runs."""
        super().__init__()
        self._reload_requested = reload_requested
        self._setup = setup
        self._settings = settings
        self._announce = announce
        self._process: RunningProcess | None = None
        self._stop_requested = asyncio.Event()
        self._stop_settled = asyncio.Event()
        self._stop_forced = asyncio.Event()
        self._exit_code = EXIT_OK

    async def start(self) -> None:
        """Set up the process; a failure is logged with its error code."""
        for number in STOP_SIGNALS:
            self.loop.add_signal_handler(number, self.handle_stop_signal, number)
        self.loop.add_signal_handler(signal.SIGHUP, self._handle_reload_signal)
        try:
            self._process = await self._setup()
        except GypsumError as error:
            self._fail(error.code, str(error))
            return
        except OSError as error:
            self._fail(ErrorCode.NOT_READY, str(error))
            return
        freeze_heap_when_configured(self._process)
        self._report_addresses(self._process)
        if self._reload_requested:
            self._handle_reload_signal()

    async def async_wait(self) -> int:
        """Wait for a stop, drain the running requests, and return the exit code."""
        process = self._process
        if process is None:
            return self._exit_code
        await self._wait_for_stop(process)
        if process.app.fatal is None:
            await self._drain(process)
        if process.app.fatal is not None:
            code = getattr(process.app.fatal, "code", ErrorCode.INVARIANT_BROKEN)
            self._fail(code, str(process.app.fatal))
        return self._exit_code

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the application and release its resources."""
        if self._process is not None:
            await self._process.app.async_stop()
            _LOGGER.info("Stopped with exit code %d", self._exit_code)

    async def _wait_for_stop(self, process: RunningProcess) -> None:
        waits = (
            asyncio.ensure_future(self._stop_requested.wait()),
            asyncio.ensure_future(process.app.stopping.wait()),
        )
        await _wait_for_first(*waits)

    async def _drain(self, process: RunningProcess) -> None:
        running = process.list_running()
        _LOGGER.info("Draining: waiting for %d running requests", len(running))
        begun_ms = process.app.clock.now_ms()
        limit_ms = get_drain_timeout_ms(self._settings)
        drained = asyncio.ensure_future(process.app.async_drain())
        await _wait_for_first(
            drained,
            asyncio.ensure_future(self._stop_forced.wait()),
            asyncio.ensure_future(process.app.clock.async_sleep(limit_ms)),
        )
        is_done = not drained.cancelled() and drained.exception() is None
        process.app.end_reason = "done" if is_done else self._describe_unfinished()
        cut = [] if is_done else process.list_running()
        if process.journal is not None:
            process.journal.record(
                DrainEnded(
                    reason=process.app.end_reason,
                    lasted_ms=process.app.clock.now_ms() - begun_ms,
                    running=len(running),
                    cut=len(cut),
                )
            )
        if is_done:
            return
        self._exit_code = EXIT_FAILED
        _LOGGER.error(
            "Drain did not finish; aborting %d running requests: %s", len(cut), ", ".join(cut)
        )

    def _describe_unfinished(self) -> str:
        return "forced" if self._stop_forced.is_set() else "out_of_time"

    @property
    def stop_forced(self) -> bool:
        """Return whether a second stop signal has ended the drain."""
        return self._stop_forced.is_set()

    def handle_stop_signal(self, number: int) -> None:
        """Start to drain at the first stop signal, and stop at once at a later one."""
        if self._stop_requested.is_set():
            if not self._stop_settled.is_set():
                return
            _LOGGER.warning(
                "Second stop signal (%s): aborting the running requests",
                signal.Signals(number).name,
            )
            self._stop_forced.set()
            return
        _LOGGER.info("Received stop signal %s; starting to drain", signal.Signals(number).name)
        self._stop_requested.set()
        # A signal that arrives between two runs of the event loop is reported twice, at once.
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._stop_settled.set)

    def _handle_reload_signal(self) -> None:
        if self._process is None:
            self._reload_requested = True
        elif self._process.reload is not None:
            self._process.reload()

    def _report_addresses(self, process: RunningProcess) -> None:
        addresses = {name: str(address) for name, address in process.addresses.items()}
        _LOGGER.info("Started as %s, listening on %s", process.app.role.value, addresses)
        if not self._announce:
            return
        announcement = {
            "instance": process.app.name,
            "role": process.app.role.value,
            "incarnation": process.app.incarnation,
            "pid": os.getpid(),
            "addresses": addresses,
        }
        click.echo(json.dumps(announcement))

    def _fail(self, code: ErrorCode, message: str) -> None:
        self._exit_code = EXIT_FAILED
        _LOGGER.error("Stopped with %s: %s", code.value, message)


def get_drain_timeout_ms(settings: Settings) -> int:
    """Return the time limit for draining at a planned stop."""
    match settings:
        case ForwarderSettings():
            return settings.bounds.stop_ms - EXIT_MARGIN_MS
        case _:
            return settings.limits.drain_ms


async def _wait_for_first(*waits: asyncio.Future[Any]) -> None:
    """Wait until one future is done and cancel the others."""
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    await asyncio.gather(*waits, return_exceptions=True)


def freeze_heap_when_configured(process: RunningProcess) -> None:
    """Freeze the heap now and again after the first configuration was loaded.

    The process accepts no requests before that. Later configuration versions share the unchanged
    objects of the first one.
    """
    freeze_heap()
    if process.store.ready.is_set():
        return

    def freeze(_configuration: object) -> None:
        remove()
        freeze_heap()

    remove = process.store.on_change(freeze)
