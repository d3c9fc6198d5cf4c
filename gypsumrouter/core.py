"""Application object of one process: owns its tasks, shutdown hooks, metrics and state dump."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Awaitable, Callable, Coroutine
from enum import StrEnum
from typing import Any, TypeVar

from gypsumrouter.const import Role
from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.helpers.metrics import MetricRegistry
from gypsumrouter.util.clock import Clock, SystemClock

_LOGGER = logging.getLogger(__name__)
_T = TypeVar("_T")

Remove = Callable[[], None]
StopHook = Callable[[], Awaitable[None]]
DumpSection = Callable[[], object]


class ApplicationState(StrEnum):
    """Lifecycle state of a process."""

    NOT_RUNNING = "not_running"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    FINAL = "final"


class Application:
    """One process of the system.

    `incarnation` is a random 63-bit number that identifies this start of the process. Shutdown has
    three steps: drain hooks complete accepted work, in order of registration; stop hooks release
    resources, in reverse order; the remaining tasks are cancelled.
    """

    __slots__ = (
        "_drain_hooks",
        "_dump_sections",
        "_fatal",
        "_stop_hooks",
        "_tasks",
        "clock",
        "data_centre",
        "end_reason",
        "incarnation",
        "metrics",
        "name",
        "region",
        "role",
        "started_wall_ms",
        "state",
        "stop_at_ms",
        "stopping",
    )

    def __init__(
        self,
        *,
        name: str,
        role: Role,
        data_centre: str,
        region: str,
        clock: Clock | None = None,
        incarnation: int | None = None,
    ) -> None:
        self.name = name
        self.role = role
        self.data_centre = data_centre
        self.region = region
        self.clock: Clock = clock or SystemClock()
        self.incarnation = secrets.randbits(63) if incarnation is None else incarnation
        self.state = ApplicationState.NOT_RUNNING
        self.started_wall_ms = self.clock.wall_ms()
        self.stopping = asyncio.Event()
        # When a planned stop was asked for (monotonic milliseconds), None before that.
        self.stop_at_ms: int | None = None
        # Why requests that are under way at the end of the process are cut.
        self.end_reason = ""
        self.metrics = MetricRegistry()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._drain_hooks: list[StopHook] = []
        self._stop_hooks: list[StopHook] = []
        self._dump_sections: dict[str, DumpSection] = {}
        self._fatal: BaseException | None = None

    @property
    def fatal(self) -> BaseException | None:
        """Return the `InvariantBroken` error that stops the process, or None."""
        return self._fatal

    def async_create_task(self, target: Coroutine[Any, Any, _T], name: str) -> asyncio.Task[_T]:
        """Start a task that is cancelled when the application stops.

        `InvariantBroken` raised in a task stops the process; other exceptions are only logged.
        """
        task = asyncio.get_running_loop().create_task(target, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def on_drain(self, hook: StopHook) -> Remove:
        """Register a hook that completes accepted work at the start of a planned stop."""
        self._drain_hooks.append(hook)
        return lambda: _discard(self._drain_hooks, hook)

    def on_stop(self, hook: StopHook) -> Remove:
        """Register a hook that releases resources; hooks run in reverse order of registration."""
        self._stop_hooks.append(hook)
        return lambda: _discard(self._stop_hooks, hook)

    def add_dump_section(self, name: str, section: DumpSection) -> Remove:
        """Register a section of the state dump; `section` must return plain JSON data."""
        if name in self._dump_sections:
            raise InvariantBroken(f"dump section {name} registered twice")
        self._dump_sections[name] = section

        def remove() -> None:
            self._dump_sections.pop(name, None)

        return remove

    def dump(self) -> dict[str, object]:
        """Return all sections of the state dump as plain JSON data."""
        return {name: section() for name, section in sorted(self._dump_sections.items())}

    def async_start(self) -> None:
        """Set the state to STARTING."""
        self.state = ApplicationState.STARTING

    def async_started(self) -> None:
        """Set the state to RUNNING."""
        self.state = ApplicationState.RUNNING

    async def async_drain(self) -> None:
        """Begin a planned stop: run the drain hooks and wait for them."""
        self.state = ApplicationState.STOPPING
        self.stopping.set()
        for hook in tuple(self._drain_hooks):
            await hook()

    async def async_stop(self) -> None:
        """Run the stop hooks and cancel the remaining tasks; safe to call more than once."""
        if self.state is ApplicationState.FINAL:
            return
        self.state = ApplicationState.STOPPING
        self.stopping.set()
        while self._stop_hooks:
            hook = self._stop_hooks.pop()
            try:
                await hook()
            except Exception:
                _LOGGER.exception("A stop hook failed; continuing with the remaining hooks")
        await self._cancel_tasks()
        self.state = ApplicationState.FINAL

    async def _cancel_tasks(self) -> None:
        current = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            return
        if isinstance(error, InvariantBroken):
            self._fatal = error
            self.stopping.set()
        _LOGGER.error("Task %s failed", task.get_name(), exc_info=error)


def _discard(hooks: list[StopHook], hook: StopHook) -> None:
    if hook in hooks:
        hooks.remove(hook)
