"""Runs of one call, each of which serves all that asked for it before it began."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Generic, TypeVar

T = TypeVar("T")

StartTask = Callable[[Coroutine[Any, Any, Any], str], asyncio.Task[Any]]


class SharedCall(Generic[T]):
    """Runs a call, one run at a time.

    What a run finds out holds for all that came before it began, and not for those that came later:
    these wait for the next run. `pause` is awaited before each run.
    """

    __slots__ = ("_call", "_last", "_name", "_next", "_pause", "_start")

    def __init__(
        self,
        *,
        start: StartTask,
        call: Callable[[], Awaitable[T]],
        name: str,
        pause: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._start = start
        self._call = call
        self._name = name
        self._pause = pause
        self._last: asyncio.Task[T] | None = None
        self._next: asyncio.Task[T] | None = None

    @property
    def is_wanted(self) -> bool:
        """Return whether a further run follows the present one."""
        return self._next is not None

    async def async_join(self) -> T:
        """Return what a run found out that began after this call."""
        if self._next is None:
            self._next = self._start(self._async_run(self._last), self._name)
        return await asyncio.shield(self._next)

    async def _async_run(self, previous: asyncio.Task[T] | None) -> T:
        if previous is not None and not previous.done():
            await asyncio.wait((previous,))
        if self._pause is not None:
            await self._pause()
        self._last, self._next = self._next, None
        return await self._call()
