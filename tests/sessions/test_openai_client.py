"""The router is compatible with the OpenAI client library."""

from __future__ import annotations

from collections.abc import AsyncIterator

import openai
import pytest
from openai.types.chat import ChatCompletionChunk
from small_deployment import StartLocalFleet

from gypsumrouter.const import HEADER_EXECUTED
from gypsumrouter.demo.local_fleet import LocalFleet
from gypsumrouter.standins import EngineSettings

MODEL = "chat-model"
QUESTION = "May vessel 7 be closed?"


def make_client(fleet: LocalFleet) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        base_url=f"http://{fleet.list_caller_addresses()[0]}/v1",
        api_key=fleet.platform.deployments[0].workspaces[0].key,
        max_retries=0,
    )


@pytest.fixture
async def client(local_fleet: LocalFleet) -> AsyncIterator[openai.AsyncOpenAI]:
    async with make_client(local_fleet) as client:
        yield client


async def test_non_streamed_answer(client: openai.AsyncOpenAI) -> None:
    answer = await client.chat.completions.create(
        model=MODEL, messages=[{"role": "user", "content": QUESTION}], max_tokens=5
    )
    assert answer.choices[0].message.content
    assert answer.usage is not None
    assert answer.usage.completion_tokens == 5


async def test_streamed_answer_equals_the_non_streamed_one(client: openai.AsyncOpenAI) -> None:
    complete = await client.chat.completions.create(
        model=MODEL, messages=[{"role": "user", "content": QUESTION}], max_tokens=5
    )
    stream = await client.chat.completions.create(
        model=MODEL, messages=[{"role": "user", "content": QUESTION}], max_tokens=5, stream=True
    )
    parts = [chunk.choices[0].delta.content or "" async for chunk in stream if chunk.choices]
    assert "".join(parts) == complete.choices[0].message.content


async def test_refusal_is_marked_as_not_run(client: openai.AsyncOpenAI) -> None:
    with pytest.raises(openai.NotFoundError) as raised:
        await client.chat.completions.create(
            model="no-such-model", messages=[{"role": "user", "content": QUESTION}]
        )
    assert raised.value.code == "not_found"
    assert raised.value.response.headers[HEADER_EXECUTED] == "not_run"


async def test_models_are_listed(client: openai.AsyncOpenAI) -> None:
    listed = await client.models.list()
    assert [model.id for model in listed.data] == [MODEL]


async def test_interrupted_stream_ends_with_an_error(
    start_local_fleet: StartLocalFleet,
) -> None:
    fleet = await start_local_fleet(engine_settings=EngineSettings(step_ms=20.0))
    async with make_client(fleet) as client:
        stream = await client.chat.completions.create(
            model=MODEL,
            messages=[{"role": "user", "content": QUESTION}],
            max_tokens=1_000,
            stream=True,
        )
        first = await anext(aiter(stream))
        assert first.choices[0].delta.content
        crash_busy_engine(fleet)
        with pytest.raises(openai.APIError) as raised:
            await async_read_to_end(stream)
    assert raised.value.code == "upstream_lost"


async def async_read_to_end(stream: openai.AsyncStream[ChatCompletionChunk]) -> None:
    async for _ in stream:
        pass


def crash_busy_engine(fleet: LocalFleet) -> None:
    for engine in fleet.platform.engines.values():
        if engine.load:
            engine.crash()
