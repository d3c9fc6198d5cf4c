"""HTTP API of the stand-in engine: responses, resume, cancel, faults, KV cache and load."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable
from typing import Any

import aiohttp
import pytest
from driven_clock import T, async_drive, async_until

from gypsumrouter.standins import Engine, EngineSettings
from gypsumrouter.standins.tokens import Message, digest_prompt, make_text, render_prompt
from gypsumrouter.util.clock import ManualClock

MODEL = "gypsum-chat"
MARKER = "crash-the-engine"
CHAT = "/v1/chat/completions"


class EngineHarness:
    """An engine, and a client that advances its clock while it waits."""

    def __init__(self, clock: ManualClock, session: aiohttp.ClientSession) -> None:
        self.clock = clock
        self.session = session
        self.engine = Engine(
            clock=clock, settings=EngineSettings(crash_marker=MARKER, cache_event_loss=0.0)
        )

    async def async_drive(self, work: Awaitable[T]) -> T:
        return await async_drive(self.clock, work)

    async def async_call(
        self, method: str, path: str, **options: Any
    ) -> tuple[int, bytes, dict[str, str]]:
        url = f"http://{self.engine.address}{path}"
        async with self.session.request(method, url, **options) as response:
            return response.status, await response.read(), dict(response.headers)

    async def async_chat(
        self, request_id: str, *, content: str = "hello", **more: Any
    ) -> tuple[int, bytes]:
        body = {"model": MODEL, "messages": make_messages(content), **more}
        headers = {"X-Request-Id": request_id}
        call = self.async_call("POST", CHAT, json=body, headers=headers)
        status, answer, _ = await self.async_drive(call)
        return status, answer


def make_messages(content: str) -> list[dict[str, str]]:
    return [{"role": "user", "content": content}]


def make_expected(content: str, tokens: int) -> str:
    prompt = render_prompt((Message(role="user", content=content),))
    return make_text(digest_prompt(prompt, model=MODEL), tokens)


def parse_events(body: bytes) -> list[dict[str, Any]]:
    lines = [line for line in body.split(b"\n") if line]
    assert lines[-1] == b"data: [DONE]"
    return [json.loads(line.removeprefix(b"data: ")) for line in lines[:-1]]


@pytest.fixture
async def harness(
    clock: ManualClock, session: aiohttp.ClientSession
) -> AsyncIterator[EngineHarness]:
    harness = EngineHarness(clock, session)
    await harness.engine.async_start()
    yield harness
    await harness.engine.async_stop()


async def test_response_starts_with_the_digest_of_its_request(
    harness: EngineHarness,
) -> None:
    status, body = await harness.async_chat("r1", content="where is my sweater", max_tokens=5)
    answer = json.loads(body)
    assert status == 200
    assert answer["choices"][0]["message"]["content"] == make_expected("where is my sweater", 5)
    assert answer["choices"][0]["finish_reason"] == "length"
    assert answer["usage"]["completion_tokens"] == 5


async def test_stream_has_the_same_text_and_ends_with_usage_and_done(
    harness: EngineHarness,
) -> None:
    _, body = await harness.async_chat("r1", max_tokens=5, stream=True)
    events = parse_events(body)
    text = "".join(event["choices"][0]["delta"].get("content", "") for event in events)
    assert text == make_expected("hello", 5)
    assert events[0]["choices"][0]["delta"]["role"] == "assistant"
    assert events[-1]["choices"][0]["finish_reason"] == "length"
    assert events[-1]["usage"]["prompt_tokens_details"] == {"cached_tokens": 0}


async def test_usage_is_a_separate_event_with_include_usage(
    harness: EngineHarness,
) -> None:
    options = {"include_usage": True}
    _, body = await harness.async_chat("r1", max_tokens=2, stream=True, stream_options=options)
    events = parse_events(body)
    assert "usage" not in events[-2]
    assert events[-1]["choices"] == []
    assert events[-1]["usage"]["completion_tokens"] == 2


async def test_next_turn_reuses_cached_prompt_and_completion(harness: EngineHarness) -> None:
    _, body = await harness.async_chat("r1", content="a" * 600, max_tokens=40)
    text = json.loads(body)["choices"][0]["message"]["content"]
    turns = [*make_messages("a" * 600), {"role": "assistant", "content": text}]
    _, body = await harness.async_chat("r2", messages=[*turns, *make_messages("more")])
    usage = json.loads(body)["usage"]
    assert usage["prompt_tokens_details"]["cached_tokens"] >= usage["prompt_tokens"] - 32
    assert harness.engine.counts.cached_tokens == usage["prompt_tokens_details"]["cached_tokens"]


async def test_resume_returns_the_same_bytes_from_every_offset(harness: EngineHarness) -> None:
    _, body = await harness.async_chat("r1", max_tokens=4, stream=True)
    for offset in (0, 1, 17, len(body) // 2, len(body) - 1, len(body)):
        path = f"/v1/streams/r1/resume?offset={offset}"
        status, rest, _ = await harness.async_drive(harness.async_call("POST", path))
        assert (status, rest) == (200, body[offset:])
    beyond = harness.async_call("POST", f"/v1/streams/r1/resume?offset={len(body) + 1}")
    assert (await harness.async_drive(beyond))[0] == 416
    assert harness.engine.executions["r1"] == 1


async def test_stream_continues_without_reader_and_resumes_completely(
    harness: EngineHarness,
) -> None:
    body = {"model": MODEL, "messages": make_messages("x"), "max_tokens": 30, "stream": True}
    url = f"http://{harness.engine.address}{CHAT}"
    headers = {"X-Request-Id": "r1"}
    post = harness.session.post(url, json=body, headers=headers)
    response = await harness.async_drive(asyncio.ensure_future(post.__aenter__()))
    got = await harness.async_drive(response.content.readany())
    response.close()
    path = f"/v1/streams/r1/resume?offset={len(got)}"
    _, rest, _ = await harness.async_drive(harness.async_call("POST", path))
    events = parse_events(got + rest)
    text = "".join(event["choices"][0]["delta"].get("content", "") for event in events)
    assert text == make_expected("x", 30)
    assert harness.engine.executions["r1"] == 1


async def test_ended_stream_is_evicted_after_its_retention(harness: EngineHarness) -> None:
    await harness.async_chat("r1", max_tokens=2, stream=True)
    harness.clock.advance(harness.engine.settings.stream_keep_ms)
    status, _, _ = await harness.async_call("POST", "/v1/streams/r1/resume?offset=0")
    assert status == 404


async def test_cancelled_stream_is_reset_without_done(harness: EngineHarness) -> None:
    chat = asyncio.ensure_future(harness.async_chat("r1", max_tokens=8_000, stream=True))
    await async_until(lambda: harness.engine.load == 1)
    status, _, _ = await harness.async_call("DELETE", "/v1/streams/r1")
    assert status == 200
    with pytest.raises(aiohttp.ClientError):
        await chat
    assert harness.engine.load == 0
    assert harness.engine.counts.cancelled == 1
    again, _, _ = await harness.async_call("DELETE", "/v1/streams/r1")
    assert again == 404


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"{", 400),
        (b"[]", 400),
        (b'{"model": "gypsum-chat"}', 400),
        (b'{"model": "gypsum-chat", "messages": [{"role": "user"}]}', 400),
        (b'{"model": "other", "messages": [{"role": "user", "content": "x"}]}', 404),
    ],
)
async def test_invalid_requests_and_unknown_models_are_not_executed(
    harness: EngineHarness, body: bytes, status: int
) -> None:
    answered, error, _ = await harness.async_call("POST", CHAT, data=body)
    assert answered == status
    assert "code" in json.loads(error)["error"]
    assert not harness.engine.executions


async def test_marked_request_crashes_the_engine_and_fails_all_requests(
    harness: EngineHarness,
) -> None:
    await harness.async_chat("warm", content="a" * 600)
    address = harness.engine.address
    bystander = asyncio.ensure_future(harness.async_chat("r1", max_tokens=8_000, stream=True))
    await async_until(lambda: harness.engine.load == 1)
    marked = asyncio.ensure_future(harness.async_chat("r2", content=f"please {MARKER}"))
    for call in (bystander, marked):
        with pytest.raises(aiohttp.ClientError):
            await call
    assert harness.engine.counts.crashes == 1
    assert harness.engine.load == 0
    with pytest.raises(aiohttp.ClientConnectorError):
        await harness.async_call("GET", "/v1/load")
    crashed_ms = harness.clock.now_ms()
    await harness.async_drive(async_until(lambda: harness.engine.start_id == 2))
    assert harness.clock.now_ms() > crashed_ms
    status, body = await harness.async_chat("r3", content="a" * 600)
    assert harness.engine.address == address
    assert status == 200
    assert json.loads(body)["usage"]["prompt_tokens_details"]["cached_tokens"] == 0


async def test_stream_cannot_be_resumed_after_a_restart(harness: EngineHarness) -> None:
    await harness.async_chat("r1", max_tokens=2, stream=True)
    harness.engine.crash()
    await harness.async_drive(async_until(lambda: harness.engine.start_id == 2))
    status, _, _ = await harness.async_drive(
        harness.async_call("POST", "/v1/streams/r1/resume?offset=0")
    )
    assert status == 404


async def test_frozen_engine_accepts_connections_and_does_not_respond(
    harness: EngineHarness,
) -> None:
    harness.engine.freeze()
    call = asyncio.ensure_future(harness.async_chat("r1"))
    await async_until(lambda: harness.clock.now_ms() > 1_000)
    assert not call.done()
    assert not harness.engine.executions
    harness.engine.thaw()
    status, _ = await call
    assert status == 200


async def test_load_is_reported_with_a_lag(harness: EngineHarness) -> None:
    call = asyncio.ensure_future(harness.async_chat("r1", max_tokens=8_000))
    await async_until(lambda: harness.engine.batch.running == 1)
    _, body, _ = await harness.async_call("GET", "/v1/load")
    answer = json.loads(body)
    assert (answer["running"], answer["slots"]) == (0, 16)
    assert answer["as_of_ms"] <= harness.clock.wall_ms() - 500
    began_ms = harness.clock.now_ms()
    await async_until(lambda: harness.clock.now_ms() > began_ms + 1_000)
    _, body, _ = await harness.async_call("GET", "/v1/load")
    assert json.loads(body)["running"] == 1
    harness.engine.cancel("r1")
    with pytest.raises(aiohttp.ClientError):
        await call


async def test_kv_cache_is_exported_and_imported(
    harness: EngineHarness, clock: ManualClock
) -> None:
    headers = {"X-Gypsum-Chat": "chat-1"}
    body = {"model": MODEL, "messages": make_messages("a" * 600)}
    await harness.async_drive(harness.async_call("POST", CHAT, json=body, headers=headers))
    export = harness.async_call("POST", "/v1/cache/export", json={"chat": "chat-1"})
    _, held, _ = await harness.async_drive(export)
    other = EngineHarness(clock, harness.session)
    await other.engine.async_start()
    payload = {"chat": "chat-1", **json.loads(held)}
    await other.async_drive(other.async_call("POST", "/v1/cache/import", json=payload))
    _, answer = await other.async_chat("r1", content="a" * 600)
    usage = json.loads(answer)["usage"]
    assert usage["prompt_tokens_details"]["cached_tokens"] == 144
    missing = other.async_call("POST", "/v1/cache/export", json={"chat": "unknown"})
    status, _, _ = await other.async_drive(missing)
    assert status == 404
    await other.engine.async_stop()


async def test_cache_events_are_paged_by_sequence_number(harness: EngineHarness) -> None:
    await harness.async_chat("r1", content="a" * 600)
    _, body, _ = await harness.async_call("GET", "/v1/cache/events?after=0")
    assert json.loads(body) == {"events": [], "next": 0}
    harness.clock.advance(500)
    _, body, _ = await harness.async_call("GET", "/v1/cache/events?after=0")
    answer = json.loads(body)
    assert [event["kind"] for event in answer["events"]] == ["stored", "stored"]
    _, body, _ = await harness.async_call("GET", f"/v1/cache/events?after={answer['next']}")
    assert json.loads(body)["events"] == []


async def test_engine_control_endpoints(harness: EngineHarness) -> None:
    await harness.async_chat("r1")
    _, body, _ = await harness.async_call("GET", "/standin/executions")
    assert json.loads(body) == {"executions": {"r1": 1}}
    await harness.async_call("POST", "/standin/crash")
    await async_until(lambda: harness.engine.counts.crashes == 1)
