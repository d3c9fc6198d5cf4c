"""Callers that take a stream up after an event whose id is no number."""

from __future__ import annotations

import logging

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld

Session = aiohttp.ClientSession
LONG = "9" * 6_000


@pytest.mark.parametrize("path", ["/quote/a", "/draft/a"])
@pytest.mark.parametrize("event_id", [LONG, "²", "-1", "x", ""])
async def test_odd_last_event_id_is_no_500(
    world: ForwardingWorld,
    session: Session,
    caplog: pytest.LogCaptureFixture,
    path: str,
    event_id: str,
) -> None:
    extra = PROMPT | {"Last-Event-Id": event_id, "Resumes": "r0"}
    status, _, _ = await world.async_call(session, "POST", path, "r1", extra=extra)
    assert status in {200, 503}
    assert not [r for r in caplog.records if r.levelno >= logging.ERROR]
