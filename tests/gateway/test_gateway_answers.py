"""Answers of the gateway: complete, streamed, interrupted and stalled ones."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import aiohttp
import openai
import pytest
from gateway_fakes import (
    AUTHORIZED,
    CHAT,
    ENGINES,
    HEAD_EVENTS,
    HEAD_JSON,
    KEY,
    MODEL,
    RECORDS,
    RouterHarness,
    complete_answer,
)
from openai.types.chat import ChatCompletionChunk
from yarl import URL

from gypsumrouter.link.models import AnswerEvent, Data, End, Head
from gypsumrouter.outcomes import Failed, Reason, Refused

COMPLETION = json.dumps(
    {
        "id": "c-1",
        "object": "chat.completion",
        "created": 1,
        "model": MODEL,
        "choices": [
            {
                "index": 0,
                "finish_reason": "stop",
                "message": {"role": "assistant", "content": "close it"},
            }
        ],
    }
).encode()
DONE = b"data: [DONE]\n\n"


def chunk(text: str) -> bytes:
    delta = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    event = {
        "id": "c-1",
        "object": "chat.completion.chunk",
        "created": 1,
        "model": MODEL,
        "choices": [delta],
    }
    return b"data: " + json.dumps(event).encode() + b"\n\n"


async def async_read_words(
    stream: openai.AsyncStream[ChatCompletionChunk], words: list[str | None]
) -> None:
    async for event in stream:
        words.append(event.choices[0].delta.content)


@pytest.fixture
async def client(router: RouterHarness) -> AsyncIterator[openai.AsyncOpenAI]:
    async with openai.AsyncOpenAI(
        base_url=f"{router.url}/v1", api_key=KEY, max_retries=0
    ) as client:
        yield client


async def test_openai_client_gets_a_complete_answer_with_placement_hint(
    router: RouterHarness, client: openai.AsyncOpenAI
) -> None:
    router.links.script(ENGINES[0], with_=complete_answer(COMPLETION))
    raw = await client.chat.completions.with_raw_response.create(**CHAT)
    assert raw.parse().choices[0].message.content == "close it"
    assert raw.headers["X-Gypsum-Placement"] == "hint-engine-1"
    assert raw.headers["X-Request-Id"] == router.links.opened[0][1].request_id
    assert "X-Gypsum-Executed" not in raw.headers


async def test_openai_client_gets_a_stream_whose_events_arrive_in_parts(
    router: RouterHarness, client: openai.AsyncOpenAI
) -> None:
    body = chunk("close ") + chunk("it") + DONE
    parts: list[AnswerEvent] = [
        Data(offset=at, body=body[at : at + 50]) for at in range(0, len(body), 50)
    ]
    router.links.script(ENGINES[0], with_=[HEAD_EVENTS, *parts, End(length=0, checksum=0)])
    stream = await client.chat.completions.create(**CHAT, stream=True)
    words = [event.choices[0].delta.content async for event in stream]
    assert words == ["close ", "it"]
    assert router.links.exchanges[0].confirmed == len(body)


async def test_openai_client_raises_on_a_stream_interrupted_inside_an_event(
    router: RouterHarness, client: openai.AsyncOpenAI
) -> None:
    body = chunk("close ") + chunk("it")[:20]
    failed = Failed(reason=Reason.LINK_LOST)
    router.links.script(ENGINES[0], with_=[HEAD_EVENTS, Data(offset=0, body=body), failed])
    stream = await client.chat.completions.create(**CHAT, stream=True)
    words: list[str | None] = []
    with pytest.raises(openai.APIError) as caught:
        await async_read_words(stream, words)
    assert words == ["close "]
    assert caught.value.code == "link_lost"


@pytest.mark.parametrize("length", [20, 100_000])
async def test_stream_that_ends_inside_an_event_never_looks_complete(
    router: RouterHarness, length: int
) -> None:
    # The longer event exceeds the buffer, so that parts of it reach the caller.
    body = chunk("a") + b"data: " + b"x" * length
    router.links.script(ENGINES[0], with_=complete_answer(body, HEAD_EVENTS))
    post = router.http.post(
        f"{router.url}/v1/chat/completions", json={**CHAT, "stream": True}, headers=AUTHORIZED
    )
    received = b""
    broken = False
    async with post as answer:
        try:
            while part := await answer.content.readany():
                received += part
        except aiohttp.ClientError:
            broken = True
    assert broken or b'"upstream_protocol"' in received.rpartition(b"data: ")[2]


async def test_interrupted_stream_has_no_done_event(router: RouterHarness) -> None:
    failed = Failed(reason=Reason.UPSTREAM_LOST)
    script: list[AnswerEvent] = [HEAD_EVENTS, Data(offset=0, body=chunk("a")), failed]
    router.links.script(ENGINES[0], with_=script)
    async with router.http.post(
        f"{router.url}/v1/chat/completions", json={**CHAT, "stream": True}, headers=AUTHORIZED
    ) as answer:
        text = await answer.text()
    assert "[DONE]" not in text
    assert json.loads(text.split("data: ")[-1])["error"]["executed"] == "unknown"
    assert router.links.tried == [ENGINES[0]]


async def test_openai_client_sees_status_and_code_of_a_refusal(
    router: RouterHarness, client: openai.AsyncOpenAI
) -> None:
    refused = Refused(reason=Reason.OVER_CAP, retry_after_ms=1_500, elsewhere=True)
    router.links.script(*ENGINES, with_=refused)
    with pytest.raises(openai.InternalServerError) as caught:
        await client.chat.completions.create(**CHAT)
    assert caught.value.status_code == 503
    assert caught.value.code == "over_cap"
    assert caught.value.response.headers["Retry-After"] == "2"
    assert caught.value.response.headers["X-Gypsum-Executed"] == "not_run"
    assert router.links.tried == list(ENGINES)


async def test_models_are_listed(client: openai.AsyncOpenAI) -> None:
    assert [model.id async for model in client.models.list()] == [MODEL]


async def test_service_call_forwards_path_and_headers_but_not_the_api_key(
    router: RouterHarness,
) -> None:
    head = Head(status=201, headers=(("X-Record", "7"), ("Connection", "close")), replayed=True)
    router.links.script(RECORDS[0], with_=complete_answer(b"stored", head))
    async with router.http.put(
        URL(f"{router.url}/services/records/vessels/a%20b?x=1&y=%2F", encoded=True),
        headers={**AUTHORIZED, "X-Plant": "Sisak", "X-Gypsum-Deadline-Ms": "700"},
        data=b"steam",
    ) as answer:
        assert (answer.status, await answer.read()) == (201, b"stored")
        assert answer.headers["X-Record"] == "7"
        assert answer.headers["X-Gypsum-Replayed"] == "true"
    _, request = router.links.opened[0]
    assert (request.method, request.path) == ("PUT", "/vessels/a%20b?x=1&y=%2F")
    assert (request.body, request.deadline_ms) == (b"steam", 700)
    names = {name.lower() for name, _ in request.headers}
    assert "x-plant" in names
    assert not names & {"authorization", "host", "content-length", "x-gypsum-deadline-ms"}


async def test_interrupted_large_answer_resets_the_connection(router: RouterHarness) -> None:
    parts: list[AnswerEvent] = [
        Data(offset=at, body=b"x" * 100_000) for at in range(0, 400_000, 100_000)
    ]
    script: list[AnswerEvent] = [HEAD_JSON, *parts, Failed(reason=Reason.LINK_LOST)]
    router.links.script(RECORDS[0], with_=script)
    with pytest.raises(aiohttp.ClientError):
        async with router.http.get(
            f"{router.url}/services/records/report", headers=AUTHORIZED
        ) as answer:
            await answer.read()
    assert router.links.tried == [RECORDS[0]]


async def test_missing_answer_ends_at_the_deadline_with_unknown_outcome(
    router: RouterHarness,
) -> None:
    router.links.script(ENGINES[0], with_=[])
    request_task = asyncio.create_task(router.async_chat(headers={"X-Gypsum-Deadline-Ms": "900"}))
    await router.links.was_opened.wait()
    await router.async_wait_until(request_task.done, step_ms=100)
    answer, body = await request_task
    assert (answer.status, body["error"]["code"]) == (504, "deadline_exceeded")
    assert body["error"]["executed"] == "unknown"
    assert router.links.exchanges[0].cancelled.is_set()


async def test_exchange_is_cancelled_when_the_caller_disconnects(router: RouterHarness) -> None:
    router.links.script(ENGINES[0], with_=[])
    request_task = asyncio.create_task(router.async_chat())
    await router.links.was_opened.wait()
    request_task.cancel()
    await asyncio.wait_for(router.links.exchanges[0].cancelled.wait(), timeout=5)
    await router.async_wait_until(lambda: not router.gateway.running)


async def test_stalled_caller_is_disconnected_and_uses_bounded_memory(
    router: RouterHarness,
) -> None:
    router.links.script(ENGINES[0], with_=[HEAD_EVENTS])
    reader, writer = await asyncio.open_connection(
        router.address.host, router.address.port, limit=1
    )
    body = json.dumps({**CHAT, "stream": True}).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    await router.links.was_opened.wait()
    exchange = router.links.exchanges[0]
    event = b"data: " + b"x" * 65_000 + b"\n\n"
    exchange.play(Data(offset=at * len(event), body=event) for at in range(1_000))
    await router.async_wait_until(exchange.cancelled.is_set, step_ms=100)
    assert exchange.confirmed < 500 * len(event)
    await router.async_wait_until(lambda: not router.gateway.running)
    writer.close()
    del reader


async def test_interrupted_stream_sends_complete_events_and_then_an_error_event(
    router: RouterHarness,
) -> None:
    router.links.script(ENGINES[0], with_=[HEAD_EVENTS, Data(offset=0, body=chunk("a"))])
    answer = await router.http.post(
        f"{router.url}/v1/chat/completions", json={**CHAT, "stream": True}, headers=AUTHORIZED
    )
    exchange = router.links.exchanges[0]
    await router.async_wait_until(lambda: exchange.awaited and exchange.confirmed > 0)
    words = [chunk(text) for text in "bcdefg"]
    exchange.play([Data(offset=0, body=word) for word in words])
    assert exchange.delivered == len(words)
    # An incomplete event and the data after it are sent through the buffer, in order.
    half = len(words[0]) // 2
    exchange.play([Data(offset=0, body=words[0][:half]), Data(offset=0, body=words[0][half:])])
    exchange.play([Data(offset=0, body=words[1][:half]), Failed(reason=Reason.LINK_LOST)])
    body = await answer.read()
    complete_events = b"".join([chunk("a"), *words, words[0]])
    assert body.startswith(complete_events)
    assert body[len(complete_events) :].startswith((b"data: {", b"event: error"))
    assert exchange.delivered == len(words)


async def test_caller_that_stalls_during_a_stream_is_sent_no_more_than_its_buffers_hold(
    router: RouterHarness,
) -> None:
    router.links.script(ENGINES[0], with_=[HEAD_EVENTS, Data(offset=0, body=chunk("a"))])
    reader, writer = await asyncio.open_connection(
        router.address.host, router.address.port, limit=1
    )
    body = json.dumps({**CHAT, "stream": True}).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    await router.links.was_opened.wait()
    exchange = router.links.exchanges[0]
    await router.async_wait_until(lambda: exchange.awaited and exchange.confirmed > 0)
    event = b"data: " + b"x" * 1_000 + b"\n\n"
    first = exchange.confirmed
    exchange.play(Data(offset=first + at * len(event), body=event) for at in range(20_000))
    # Limited by the buffers of the socket and the connection, out of 20 MB available.
    assert 0 < exchange.delivered < 5_000
    await router.async_wait_until(exchange.cancelled.is_set, step_ms=100)
    assert exchange.confirmed < 5_000 * len(event)
    writer.close()
    del reader


async def test_drain_finishes_running_answers_and_rejects_new_requests(
    router: RouterHarness,
) -> None:
    router.links.script(ENGINES[0], with_=[HEAD_EVENTS, Data(offset=0, body=chunk("a"))])
    answer = await router.http.post(
        f"{router.url}/v1/chat/completions", json={**CHAT, "stream": True}, headers=AUTHORIZED
    )
    drain_task = asyncio.create_task(router.app.async_drain())
    await asyncio.sleep(0)
    assert not router.gateway.ready
    router.clock.advance(2_000)
    await asyncio.sleep(0)
    refused, body = await router.async_chat()
    assert (refused.status, body["error"]["code"]) == (503, "leaving")
    assert refused.headers["Connection"] == "close"
    assert not drain_task.done()
    router.links.exchanges[0].play([Data(offset=0, body=DONE), End(length=0, checksum=0)])
    assert (await answer.read()).endswith(DONE)
    await asyncio.wait_for(drain_task, timeout=5)


async def test_router_without_instance_list_rejects_as_not_ready(router: RouterHarness) -> None:
    router.fleet.age_ms = None
    assert not router.gateway.ready
    answer, body = await router.async_chat()
    assert (answer.status, body["error"]["code"]) == (503, "not_ready")
    assert answer.headers["Retry-After"] == "1"
