from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from daemon_fleet import ENV_KEY, DaemonFleet
from small_deployment import make_small_deployment

from gypsumrouter.standins import EngineSettings, StandinPlatform
from gypsumrouter.util.clock import SystemClock

STEP_MS = 10.0


@pytest.fixture
def drain_ms() -> int:
    return 60_000


@pytest.fixture
async def daemons(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, drain_ms: int
) -> AsyncIterator[DaemonFleet]:
    monkeypatch.setenv(ENV_KEY, "0123456789abcdef0123456789abcdef")
    platform = StandinPlatform(
        clock=SystemClock(),
        deployments=(make_small_deployment(),),
        engine_settings=EngineSettings(step_ms=STEP_MS),
    )
    fleet = DaemonFleet(platform=platform, folder=tmp_path, drain_ms=drain_ms)
    try:
        await fleet.async_start()
        yield fleet
    finally:
        await fleet.async_stop()
