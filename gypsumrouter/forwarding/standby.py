"""Replacement of a silent upstream: the next run is prepared while the present one goes on."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Awaitable, Coroutine
from typing import Any, Protocol, TypeVar

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.forwarding.run import Run
from gypsumrouter.forwarding.silence import Awaited, Replaced

_T = TypeVar("_T")


class PrepareRun(Protocol):
    """Prepares a run beside a silent one."""

    def __call__(self, awaited: Awaited) -> Coroutine[Any, Any, Run | None]:
        """Return a run that stands ready, None if there can't be one."""


class Standby:
    """Runs that are prepared in place of a silent one.

    Those that were sent are listed by `add`. `take` returns one of them, which stands ready or is
    adopted since the present run has failed; `drop` ends them if that one goes on.
    """

    __slots__ = ("_app", "_prepare", "_ready", "_task", "_wait", "patience_ms", "sent")

    def __init__(self, *, app: Application, prepare: PrepareRun) -> None:
        self._app = app
        self._prepare = prepare
        self._task: asyncio.Task[None] | None = None
        self._wait: asyncio.Timeout | None = None
        self._ready: Run | None = None
        self.sent: list[Run] = []
        # Silence after which a run is prepared now, in milliseconds.
        self.patience_ms = 0

    async def async_wait(
        self, awaited: Awaited, result: Awaitable[_T], *, patience_ms: int | None
    ) -> _T:
        """Return a result of the present run; raises Replaced once another one stands ready.

        Another one is looked for after `patience_ms`, never if that is None.
        """
        if patience_ms is None:
            return await result
        if self._ready is not None:
            if inspect.iscoroutine(result):
                result.close()
            raise Replaced
        self.patience_ms = patience_ms
        loop = asyncio.get_running_loop()
        handle = loop.call_later(patience_ms / MS_PER_S, self._begin, awaited)
        try:
            async with asyncio.timeout(None) as self._wait:
                return await result
        except TimeoutError:
            raise Replaced from None
        finally:
            handle.cancel()
            self._wait = None

    @property
    def has_sent(self) -> bool:
        """Return whether `take` would return a run."""
        return bool(self.sent)

    def add(self, run: Run) -> None:
        """List a run that was sent."""
        self.sent.append(run)

    def discard(self, run: Run) -> None:
        """Remove a run that has failed; its owner ends it."""
        self.sent.remove(run)

    def take(self) -> Run | None:
        """Return a run that stands ready or was sent, which the caller then owns."""
        run = self._ready
        if run is None and self.sent:
            # One that has its outcome goes first.
            run = max(self.sent, key=lambda sent: sent.pending is not None and sent.pending.done())
        if run in self.sent:
            self.sent.remove(run)
        self.drop()
        return run

    def drop(self) -> None:
        """End what is prepared: the present run goes on, or the request has ended."""
        if self._task is None:
            return
        self._cancel()
        while self.sent:
            self.sent.pop().end_unneeded()

    def _begin(self, awaited: Awaited) -> None:
        if self._task is None:
            self._task = self._app.async_create_task(self._async_run(awaited), "prepare a run")

    async def _async_run(self, awaited: Awaited) -> None:
        self._ready = await self._prepare(awaited)
        if self._ready is not None and self._wait is not None:
            self._wait.reschedule(asyncio.get_running_loop().time())

    def _cancel(self) -> None:
        task, self._task = self._task, None
        self._ready = None
        if task is not None:
            task.cancel()
