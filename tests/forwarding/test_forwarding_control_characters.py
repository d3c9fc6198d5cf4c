"""Response headers with control characters, which the HTTP library reads but refuses to write."""

from __future__ import annotations

import logging
from typing import Any

import aiohttp
import aiohttp.http_writer
import pytest
from forwarding_world import ForwardingWorld

PLACEHOLDER = "placeholder"


@pytest.mark.parametrize("character", ["\x01", "\x0b", "\x1b", "\x7f"])
async def test_control_character_in_a_header_of_an_upstream_does_not_end_a_whole_answer(
    world: ForwardingWorld,
    session: aiohttp.ClientSession,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
    character: str,
) -> None:
    """Guards against a connection that closes without an answer to a request that ran."""
    serialize: Any = aiohttp.http_writer._serialize_headers

    def serialize_odd(status: str, headers: Any) -> bytes:
        """Write the odd header of the upstream, which the library does not write."""
        data: bytes = serialize(status, headers)
        if "X-Server-Stamp" in headers:
            data = data.replace(PLACEHOLDER.encode(), f"a{character}b".encode())
        return data

    monkeypatch.setattr(aiohttp.http_writer, "_serialize_headers", serialize_odd)
    for runner in world.records:
        runner.more_headers = {"X-Note": PLACEHOLDER}
    status, body, _ = await world.async_call(session, "POST", "/reserve/a", "r1", body=b"x")
    assert (status, body.endswith(b" /reserve/a")) == (200, True)
    assert not [r for r in caplog.records if r.levelno >= logging.ERROR]
