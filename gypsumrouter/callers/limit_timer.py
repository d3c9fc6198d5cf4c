"""Timer for a limit of the configuration, which may grow while the timer runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumrouter.const import MS_PER_S


class LimitTimer:
    """Calls `on_end` once the limit that is in force then has passed since the last start."""

    __slots__ = ("_get_limit_ms", "_handle", "_on_end")

    def __init__(self, *, get_limit_ms: Callable[[], int], on_end: Callable[[], object]) -> None:
        self._get_limit_ms = get_limit_ms
        self._on_end = on_end
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start anew."""
        self.stop()
        self._wait(asyncio.get_running_loop().time())

    def stop(self) -> None:
        """Stop; `on_end` is not called."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _wait(self, began_s: float) -> None:
        ends_s = began_s + self._get_limit_ms() / MS_PER_S
        loop = asyncio.get_running_loop()
        self._handle = loop.call_at(ends_s, self._check, began_s, ends_s)

    def _check(self, began_s: float, ended_s: float) -> None:
        self._handle = None
        if began_s + self._get_limit_ms() / MS_PER_S > ended_s:
            self._wait(began_s)
        else:
            self._on_end()
