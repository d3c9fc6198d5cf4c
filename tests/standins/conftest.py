"""Fixtures of the stand-in tests: a manual clock and an HTTP session."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp
import pytest

from gypsumrouter.util.clock import ManualClock


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as opened:
        yield opened
