"""The application object: it owns every task and listener, and their clean-up."""

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
    """Where a process stands in its life."""

    NOT_RUNNING = "not_running"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    FINAL = "final"


class Application:
    """One process of the system.

    `incarnation` is a random number of 63 bits that no other process ever has. Hooks run in
    three steps: drain hooks (first to last) finish work while everything still runs, then stop
    hooks run last to first, then the tasks that are left are cancelled.
    """

    __slots__ = (
        "_drain_hooks",
        "_dump_sections",
        "_fatal",
        "_stop_hooks",
        "_tasks",
        "clock",
        "data_centre",
        "incarnation",
        "metrics",
        "name",
        "region",
        "role",
        "started_wall_ms",
        "state",
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
        self.metrics = MetricRegistry()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._drain_hooks: list[StopHook] = []
        self._stop_hooks: list[StopHook] = []
        self._dump_sections: dict[str, DumpSection] = {}
        self._fatal: BaseException | None = None

    @property
    def fatal(self) -> BaseException | None:
        """Return the broken invariant that makes the process stop, if there is one."""
        return self._fatal

    def async_create_task(self, target: Coroutine[Any, Any, _T], name: str) -> asyncio.Task[_T]:
        """Start a task that the application owns and cancels at its end.

        A broken invariant in a task stops the process; any other exception is logged.
        """
        task = asyncio.get_running_loop().create_task(target, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def on_drain(self, hook: StopHook) -> Remove:
        """Register a hook that finishes work when a planned stop begins."""
        self._drain_hooks.append(hook)
        return lambda: _discard(self._drain_hooks, hook)

    def on_stop(self, hook: StopHook) -> Remove:
        """Register a clean-up hook; hooks run in reverse order."""
        self._stop_hooks.append(hook)
        return lambda: _discard(self._stop_hooks, hook)

    def add_dump_section(self, name: str, section: DumpSection) -> Remove:
        """Register what an aggregate adds to the state dump; values must be plain JSON data."""
        if name in self._dump_sections:
            raise InvariantBroken(f"dump section {name} registered twice")
        self._dump_sections[name] = section

        def remove() -> None:
            self._dump_sections.pop(name, None)

        return remove

    def dump(self) -> dict[str, object]:
        """Return the state of every aggregate as plain JSON data."""
        return {name: section() for name, section in sorted(self._dump_sections.items())}

    def async_start(self) -> None:
        """Mark the set-up as begun."""
        self.state = ApplicationState.STARTING

    def async_started(self) -> None:
        """Mark the set-up as done."""
        self.state = ApplicationState.RUNNING

    async def async_drain(self) -> None:
        """Begin a planned stop: refuse new work and wait for all that was accepted."""
        self.state = ApplicationState.STOPPING
        self.stopping.set()
        for hook in tuple(self._drain_hooks):
            await hook()

    async def async_stop(self) -> None:
        """Release everything; safe to call more than once."""
        if self.state is ApplicationState.FINAL:
            return
        self.state = ApplicationState.STOPPING
        self.stopping.set()
        while self._stop_hooks:
            hook = self._stop_hooks.pop()
            try:
                await hook()
            except Exception:
                _LOGGER.exception("A stop hook failed")
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
