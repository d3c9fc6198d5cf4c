"""Replacement of a silent upstream: the next run is prepared while the present one goes on."""

from __future__ import annotations

import asyncio
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
    """At most one run that is prepared in place of a silent one.

    A run that `prepare` has sent is announced by `note_sent`. Until it stands ready, `take` adopts
    it if the present run has failed, and `drop` ends it if that one goes on.
    """

    __slots__ = ("_app", "_prepare", "_ready", "_sent", "_task", "_wait")

    def __init__(self, *, app: Application, prepare: PrepareRun) -> None:
        self._app = app
        self._prepare = prepare
        self._task: asyncio.Task[None] | None = None
        self._wait: asyncio.Timeout | None = None
        self._ready: Run | None = None
        self._sent: Run | None = None

    async def async_wait(
        self, awaited: Awaited, result: Awaitable[_T], *, patience_ms: int | None
    ) -> _T:
        """Return a result of the present run; raises Replaced once another one stands ready.

        Another one is looked for after `patience_ms`, never if that is None.
        """
        if patience_ms is None:
            return await result
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
        return self._ready is not None or self._sent is not None

    def note_sent(self, run: Run | None) -> None:
        """Set the run that is prepared and was sent; None if it has failed."""
        self._sent = run

    def take(self) -> Run | None:
        """Return the run that stands ready or was sent, which the caller then owns."""
        run = self._ready or self._sent
        self._ready = self._sent = None
        self._cancel()
        return run

    def drop(self) -> None:
        """End what is prepared: the present run goes on, or the request has ended."""
        if self._task is None and self._ready is None:
            return
        run = self.take()
        if run is not None:
            run.end_unneeded()

    def _begin(self, awaited: Awaited) -> None:
        if self._task is None:
            self._task = self._app.async_create_task(self._async_run(awaited), "prepare a run")

    async def _async_run(self, awaited: Awaited) -> None:
        self._ready = await self._prepare(awaited)
        self._sent = None
        if self._ready is not None and self._wait is not None:
            self._wait.reschedule(asyncio.get_running_loop().time())

    def _cancel(self) -> None:
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
