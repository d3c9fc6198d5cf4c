"""One run of a shared call serves those that came before it began, and no others."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from gypsumrouter.util.shared_call import SharedCall


def _start(target: Coroutine[Any, Any, Any], _name: str) -> asyncio.Task[Any]:
    return asyncio.create_task(target)


async def _async_run_ready() -> None:
    for _ in range(6):
        await asyncio.sleep(0)


async def test_caller_gets_what_was_found_out_before_it_came() -> None:
    begun: list[asyncio.Future[int]] = []

    async def async_call() -> int:
        begun.append(asyncio.get_running_loop().create_future())
        return await begun[-1]

    shared = SharedCall(start=_start, call=async_call, name="call")
    first = [asyncio.create_task(shared.async_join()) for _ in range(3)]
    await _async_run_ready()
    later = [asyncio.create_task(shared.async_join()) for _ in range(3)]
    await _async_run_ready()
    assert (len(begun), shared.is_wanted) == (1, True)
    begun[0].set_result(1)
    await _async_run_ready()
    assert [task.result() for task in first] == [1, 1, 1]
    assert not any(task.done() for task in later)
    begun[1].set_result(2)
    assert await asyncio.gather(*later) == [2, 2, 2]
    assert not shared.is_wanted


async def test_caller_that_leaves_ends_the_run_of_others() -> None:
    gate = asyncio.Event()

    async def async_call() -> bool:
        return await gate.wait()

    shared = SharedCall(start=_start, call=async_call, name="call")
    leaving, staying = (asyncio.create_task(shared.async_join()) for _ in range(2))
    await _async_run_ready()
    leaving.cancel()
    await _async_run_ready()
    gate.set()
    assert await staying


async def test_failed_run_fails_the_next_one() -> None:
    results = iter((ValueError("broken"), 7))

    async def async_call() -> int:
        result = next(results)
        if isinstance(result, ValueError):
            raise result
        return result

    shared = SharedCall(start=_start, call=async_call, name="call")
    (failed,) = await asyncio.gather(shared.async_join(), return_exceptions=True)
    assert isinstance(failed, ValueError)
    assert await shared.async_join() == 7
