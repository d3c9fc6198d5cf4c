"""Daemons that a rig starts and that do not announce their addresses."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from bench import processes
from gypsumrouter.const import Role


# Guards against daemons that run on behind a rig that gave up waiting for them.
async def test_daemon_that_does_not_announce_itself_in_time_is_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[asyncio.subprocess.Process] = []
    create = asyncio.create_subprocess_exec

    async def async_create(*args: str, **options: object) -> asyncio.subprocess.Process:
        started.append(await create(*args, **options))  # type: ignore[arg-type]
        return started[-1]

    monkeypatch.setattr(asyncio, "create_subprocess_exec", async_create)
    monkeypatch.setattr(processes, "ANNOUNCE_TIMEOUT_S", 0.0)
    with pytest.raises(TimeoutError):
        await processes.async_start_daemon(
            role=Role.FORWARDER, settings={"instance": {"name": "entry-0"}}, folder=tmp_path
        )
    assert [process.returncode is not None for process in started] == [True]
