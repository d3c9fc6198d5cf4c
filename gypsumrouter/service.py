"""Lifecycle of a process as a service: start-up, signals, draining and exit code."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
from collections.abc import Awaitable, Callable
from typing import Any, Final

import click

from gypsumrouter.const import EXIT_FAILED, EXIT_OK
from gypsumrouter.exceptions import ErrorCode, GypsumError
from gypsumrouter.helpers import process_signals
from gypsumrouter.helpers.heap import freeze_heap
from gypsumrouter.helpers.logs import NO_VALUE, set_request_id
from gypsumrouter.journal import DrainEnded, StopSignalRepeated
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import ForwarderSettings, Settings

_LOGGER = logging.getLogger(__name__)

IDLE_POLL_MS: Final = 20

Setup = Callable[[], Awaitable[RunningProcess]]


class DaemonService:
    """Runs the components of a process until a signal or an invariant violation."""

    __slots__ = (
        "_announce",
        "_end_listening",
        "_exit_code",
        "_process",
        "_reload_requested",
        "_settings",
        "_setup",
        "_stop_at_ms",
        "_stop_requested",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        announce: bool,
        setup: Setup,
    ) -> None:
        self._reload_requested = False
        self._setup = setup
        self._settings = settings
        self._announce = announce
        self._process: RunningProcess | None = None
        self._stop_requested = asyncio.Event()
        # When the first stop signal came (monotonic milliseconds).
        self._stop_at_ms: int | None = None
        self._end_listening: Callable[[], None] = lambda: None
        self._exit_code = EXIT_OK

    async def async_start(self) -> None:
        """Set up the process; a failure is logged with its error code."""
        loop = asyncio.get_running_loop()
        self._end_listening = process_signals.listen(
            lambda number, at_ms: loop.call_soon_threadsafe(self.handle_signal, number, at_ms)
        )
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

    async def async_run(self) -> int:
        """Start, wait for a stop, release all resources, and return the exit code."""
        await self.async_start()
        try:
            return await self.async_wait()
        finally:
            await self.async_stop()

    async def async_wait(self) -> int:
        """Wait for a stop, drain the running requests, and return the exit code."""
        process = self._process
        if process is None:
            return self._exit_code
        await self._wait_for_stop(process)
        if process.app.fatal is None:
            await self._drain(process)
        if process.app.fatal is not None:
            process.app.end_reason = process.app.end_reason or "fatal"
            code = getattr(process.app.fatal, "code", ErrorCode.INVARIANT_BROKEN)
            self._fail(code, str(process.app.fatal))
        return self._exit_code

    async def async_stop(self) -> None:
        """Stop the application and release its resources."""
        if self._process is not None:
            await self._process.app.async_stop()
            _LOGGER.info("Stopped with exit code %d", self._exit_code)
        # The loop is about to be closed.
        self._end_listening()

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
        if self._stop_at_ms is not None:
            begun_ms = process.app.stop_at_ms = self._stop_at_ms
        ends_ms = begun_ms + get_drain_timeout_ms(self._settings, process)
        drained = asyncio.ensure_future(process.app.async_drain())
        left_ms = max(0, ends_ms - process.app.clock.now_ms())
        limit = asyncio.ensure_future(process.app.clock.async_sleep(left_ms))
        await _wait_for_first(drained, limit)
        is_done = not drained.cancelled()
        if is_done and (error := drained.exception()) is not None:
            _LOGGER.error("A drain hook failed; waiting for the running requests", exc_info=error)
            is_done = await self._wait_until_idle(process, ends_ms)
        process.app.end_reason = "done" if is_done else "out_of_time"
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
        _LOGGER.warning(
            "Drain did not finish; aborting %d running requests: %s", len(cut), ", ".join(cut)
        )

    async def _wait_until_idle(self, process: RunningProcess, ends_ms: int) -> bool:
        """Wait until no request is running, at most until `ends_ms`; return whether none is."""
        while process.list_running() and process.app.clock.now_ms() < ends_ms:
            await process.app.clock.async_sleep(IDLE_POLL_MS)
        return not process.list_running()

    @property
    def stop_at_ms(self) -> int | None:
        """Return when the first stop signal came (monotonic milliseconds), None before."""
        return self._stop_at_ms

    def handle_signal(self, number: signal.Signals, at_ms: int) -> None:
        """Stop at the first stop signal, reload at a reload signal; a stop is not shortened."""
        # A signal interrupts any task, and is handled in a copy of that task's context.
        set_request_id(NO_VALUE)
        if number not in process_signals.STOP_SIGNALS:
            self._handle_reload_signal()
        elif self._stop_at_ms is None:
            _LOGGER.info("Received stop signal %s; starting to drain", number.name)
            self._stop_at_ms = at_ms
            self._stop_requested.set()
        elif self._process is not None and self._process.journal is not None:
            after_ms = at_ms - self._stop_at_ms
            self._process.journal.record(StopSignalRepeated(signal=number.name, after_ms=after_ms))

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


def get_drain_timeout_ms(settings: Settings, process: RunningProcess) -> int:
    """Return the time limit for draining at a planned stop."""
    if process.get_drain_limit_ms is not None:
        return process.get_drain_limit_ms()
    assert not isinstance(settings, ForwarderSettings)
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
