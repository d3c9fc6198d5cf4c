"""Unexpected errors of a process, and what its event loop runs beside the service."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import pytest
from faulty_daemon import AT_ONCE, BLOCKED, JOBS, LISTING, RELEASED, SETUP, TASK

from gypsumrouter.const import EXIT_FAILED, EXIT_OK
from gypsumrouter.daemon import WORKER_THREADS

HANG_S = 30
TRACEBACK = "Traceback (most recent call last):"


async def async_run_faulty(*faults: str) -> tuple[int, str, str]:
    """Run a process with faults to its end, and return its exit code and its two outputs."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, str(Path(__file__).parent / "faulty_daemon.py"), *faults),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(HANG_S):
            output, errors = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    assert process.returncode is not None
    return process.returncode, output.decode(), errors.decode()


# Guards against a failed start that is not reported, or is held up by a thread.
@pytest.mark.parametrize("faults", [(SETUP,), (SETUP, BLOCKED)])
async def test_unexpected_error_of_the_start_is_printed_and_exits_with_1(
    faults: tuple[str, ...],
) -> None:
    code, _, errors = await async_run_faulty(*faults)
    assert code == EXIT_FAILED
    assert errors.startswith(TRACEBACK)
    assert errors.splitlines()[-1] == "ValueError: a fault of the code"


# Guards against resources that are kept, and a process that stays, after an error of the stop.
@pytest.mark.parametrize("faults", [(LISTING,), (LISTING, BLOCKED)])
async def test_unexpected_error_of_the_stop_releases_the_resources_and_exits_with_1(
    faults: tuple[str, ...],
) -> None:
    code, output, errors = await async_run_faulty(*faults)
    assert code == EXIT_FAILED
    assert output.splitlines() == [RELEASED]
    assert TRACEBACK in errors
    assert errors.splitlines()[-1].endswith("InvariantBroken: a fault of the list")


# Guards against errors of tasks that are lost, or written as something else than JSON lines.
async def test_error_of_a_task_without_an_owner_is_a_line_of_the_log() -> None:
    code, _, errors = await async_run_faulty(TASK)
    assert code == EXIT_OK
    (line,) = (line for line in map(json.loads, errors.splitlines()) if line["logger"] == "asyncio")
    assert line["level"] == "error"
    assert line["instance"] == "entry-1"
    assert line["message"].startswith("Task exception was never retrieved")
    assert "ValueError: a fault of the code" in line["exception"]


# Guards against threads without a bound, each of which takes memory of a small router.
async def test_worker_threads_are_bounded() -> None:
    code, output, _ = await async_run_faulty(JOBS)
    assert code == EXIT_OK
    assert f"{AT_ONCE}{WORKER_THREADS}" in output.splitlines()
