"""Exceptions behind the handler, while an answer is written to its caller."""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest
from forwarding_world import ForwardingWorld

from bench.raw_caller import Answer, End, RawCaller
from gypsumrouter.callers.writer import CallerWriter
from gypsumrouter.forwarding.metrics import RequestRecords


def list_cut(caplog: pytest.LogCaptureFixture) -> list[dict[str, Any]]:
    return [vars(r)["event"] for r in caplog.records if r.getMessage() == "request_cut"]


async def async_ask(world: ForwardingWorld, path: str, *requests: str) -> list[Answer]:
    """Return the answers to requests that are sent behind each other on one connection."""
    caller = await RawCaller(world.product.addresses["callers"]).async_open()
    answers = [await caller.async_ask(r, path=path, tokens=None) for r in requests]
    caller.close()
    return answers


@pytest.fixture
def full_journal(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> pytest.LogCaptureFixture:
    """Leave no room for lines under the bound."""
    caplog.set_level(logging.INFO)
    monkeypatch.setattr("gypsumrouter.journal.journal.BURST_LINES", 0)
    return caplog


# Guards against a connection that closes without an answer to a request that ran, and without
# a line, as the head of the answer could not be written.
async def test_exception_before_the_first_byte_closes_the_connection_without_an_answer(
    world: ForwardingWorld,
    full_journal: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    write_headers = CallerWriter.write_headers
    failing = ["r2"]

    async def async_fail_once(self: CallerWriter, *args: Any) -> None:
        if world.arrivals("r2") and failing:
            raise RuntimeError(failing.pop())
        await write_headers(self, *args)

    monkeypatch.setattr(CallerWriter, "write_headers", async_fail_once)
    first, second = await async_ask(world, "/reserve/a", "r1", "r2")
    assert (first.status, first.end) == (200, End.WHOLE)
    assert len(world.arrivals("r2")) == 1
    assert (second.status, second.end, second.announces_close) == (500, End.WHOLE, True)
    error = json.loads(second.body)["error"]
    assert (error["executed"], error["request_id"]) == ("unknown", "r2")
    (cut,) = list_cut(full_journal)
    assert (cut["request_id"], cut["reason"]) == ("r2", "error: RuntimeError")
    assert (cut["status"], cut["bytes_out"]) == (0, 0)
    assert cut["upstream"] == "i-records-1" or cut["upstream"] == "i-records-2"


# Guards against an answer that ends in the middle, in order and without a line.
async def test_exception_behind_the_first_byte_has_no_line(
    world: ForwardingWorld,
    full_journal: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def async_fail(self: CallerWriter, chunk: bytes = b"") -> None:
        await self.write(chunk[:1])
        raise RuntimeError("a fault of the router")

    monkeypatch.setattr(CallerWriter, "write_eof", async_fail)
    (answer,) = await async_ask(world, "/reserve/a", "r1")
    assert answer.end is End.RESET
    (cut,) = list_cut(full_journal)
    assert (cut["request_id"], cut["reason"], cut["status"]) == ("r1", "error: RuntimeError", 200)


# Guards against the head of an error response behind a stream, as the answer to the next request.
async def test_exception_as_a_stream_is_recorded_writes_a_second_head(
    world: ForwardingWorld,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: Any) -> None:
        raise RuntimeError("a fault of the router")

    monkeypatch.setattr(RequestRecords, "record_end", fail)
    caller = await RawCaller(world.product.addresses["callers"]).async_open()
    answer = await caller.async_ask("r1", path="/draft/a")
    second = await caller.async_ask("r2", path="/draft/a")
    caller.close()
    assert (answer.status, answer.end, second.status) == (200, End.WHOLE, 0)


# Guards against a failed answer to a request that ran of which no line survives the bound.
async def test_exception_without_a_stream_has_no_line(
    world: ForwardingWorld,
    full_journal: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: Any, **__: Any) -> None:
        raise RuntimeError("a fault of the router")

    monkeypatch.setattr("gypsumrouter.forwarding.endings.make_upstream_response", fail)
    (answer,) = await async_ask(world, "/reserve/a", "r1")
    assert (answer.status, answer.end, answer.announces_close) == (500, End.WHOLE, True)
    (cut,) = list_cut(full_journal)
    assert (cut["request_id"], cut["reason"]) == ("r1", "error: RuntimeError")
