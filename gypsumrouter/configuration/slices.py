"""Long computations split into slices, so that they do not block the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from typing import TypeVar

_T = TypeVar("_T")

Sliced = Generator[None, None, _T]


def run_sliced(work: Sliced[_T]) -> _T:
    """Run the work to completion without yielding, for commands and tests."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            result: _T = stop.value
            return result


async def async_run_sliced(work: Sliced[_T]) -> _T:
    """Run the work, yielding to the event loop after each slice."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            result: _T = stop.value
            return result
        await asyncio.sleep(0)
