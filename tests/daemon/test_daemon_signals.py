"""Signals that arrive while a process starts, and repeated ones."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import pytest

from gypsumrouter.running_process import RunningProcess
from gypsumrouter.service import DaemonService
from gypsumrouter.settings import ForwarderSettings, Identity, Link

ENV_KEY = "GYPSUMROUTER_TEST_LINK_KEY"
HANG_S = 30
SETTINGS: dict[str, Any] = {
    "instance": {"name": "entry-1", "data_centre": "here", "region": "r"},
    "callers": "127.0.0.1:0",
    "link_address": "127.0.0.1:0",
    "link": {"key_env": ENV_KEY},
    "store": "127.0.0.1:1",
    "bounds": {"stop_ms": 4_000},
}


def make_service() -> DaemonService:
    async def async_setup() -> RunningProcess:
        raise NotImplementedError

    settings = ForwarderSettings(
        instance=Identity(name="entry-1", data_centre="here", region="r"),
        link=Link(key_env=ENV_KEY),
        store="127.0.0.1:1",
    )
    return DaemonService(settings=settings, announce=False, setup=async_setup)


# Guards against a planned stop that aborts its requests since one signal was reported twice.
@pytest.mark.parametrize(("rounds", "forced"), [(0, False), (3, True)])
async def test_only_a_later_second_stop_signal_aborts_the_drain(rounds: int, forced: bool) -> None:
    service = make_service()
    service.handle_stop_signal(signal.SIGTERM)
    for _ in range(rounds):
        await asyncio.sleep(0)
    service.handle_stop_signal(signal.SIGTERM)
    assert service.stop_forced == forced
