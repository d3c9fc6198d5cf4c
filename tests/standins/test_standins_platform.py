"""Stand-in platform as a whole, and the load generators that check its responses."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import uuid
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import pytest
from aiohttp import web
from driven_clock import async_drive

from bench.accounts import Account, choose_accounts
from bench.load import (
    CallerContext,
    ChatCaller,
    ChatShape,
    ServiceCaller,
    make_uuid7,
    parse_error,
)
from bench.tally import Tally
from gypsumrouter.configuration import check_configuration
from gypsumrouter.const import PATH_CHAT, Role
from gypsumrouter.instances import Address
from gypsumrouter.outcomes import Executed
from gypsumrouter.settings import check_router_settings, check_side_settings
from gypsumrouter.standins import Deployment, StandinPlatform, chapin, kotlovnica
from gypsumrouter.standins.deployments import make_configuration
from gypsumrouter.standins.listener import StandinListener
from gypsumrouter.standins.tokens import Message, digest_prompt, make_text, render_prompt
from gypsumrouter.util.clock import ManualClock, SystemClock

ACCOUNT = Account(workspace="utility-1", key="k", caller_class="inspector")
SHAPE = ChatShape(turns=3, think_ms=0, max_tokens=16)


@pytest.fixture
async def platform() -> AsyncIterator[StandinPlatform]:
    platform = StandinPlatform(clock=SystemClock(), deployments=(kotlovnica(),))
    await platform.async_start()
    yield platform
    await platform.async_stop()


def make_chat_caller(
    context: CallerContext, *, seed: int = 1, shape: ChatShape = SHAPE
) -> ChatCaller:
    return ChatCaller(
        context=context,
        account=ACCOUNT,
        seed=seed,
        chat=f"chat-{seed}",
        model=kotlovnica().model,
        shape=shape,
    )


@pytest.mark.parametrize("deployment", [chapin(), kotlovnica()])
def test_configuration_of_each_deployment_is_valid(deployment: Deployment) -> None:
    document = msgspec.json.encode(make_configuration(deployment, version=4))
    configuration = check_configuration(document)
    assert configuration.version == 4
    assert len(configuration.workspaces) == 10
    first = deployment.workspaces[0]
    digest = hashlib.sha256(first.key.encode()).hexdigest()
    assert configuration.workspaces[0].key_digests == (digest,)
    assert first.key.encode() not in document
    assert configuration.pools[1].at_most_once is not None


def test_configuration_of_both_deployments_is_valid() -> None:
    configuration = make_configuration(chapin(), kotlovnica(), version=1)
    document = msgspec.json.encode(configuration)
    assert len(check_configuration(document).pools) == 4


async def test_platform_matches_the_deployment(platform: StandinPlatform) -> None:
    assert (len(platform.engines), len(platform.services)) == (9, 3)
    assert {plan.data_centre for plan in platform.plans} == set(kotlovnica().data_centres)
    link = {"key_env": "LINK_KEY"}
    for plan in platform.plans:
        document = json.dumps(platform.make_side_settings(plan.name, link=link))
        assert check_side_settings(document).upstream.port == plan.upstream.port
    router = platform.make_router_settings(
        "router-1", data_centre="hr-zagreb-a", region="hr-zagreb", link=link
    )
    assert check_router_settings(json.dumps(router)).instance.name == "router-1"


async def test_sides_and_routers_are_registered_with_their_link_addresses(
    platform: StandinPlatform,
) -> None:
    address = Address(host="127.0.0.1", port=7_000)
    platform.register_side("records-2", address)
    platform.register_router("router-1", address, data_centre="hr-zagreb-b", region="hr-zagreb")
    side, router = platform.instances.get("records-2"), platform.instances.get("router-1")
    assert side is not None
    assert router is not None
    assert (side.role, side.pool, side.data_centre) == (Role.SIDE, "records", "hr-zagreb-b")
    assert (router.role, router.pool) == (Role.ROUTER, "")


@pytest.mark.parametrize("stream", [True, False])
async def test_chat_gets_complete_responses_and_reuses_the_cache(
    platform: StandinPlatform, session: aiohttp.ClientSession, stream: bool
) -> None:
    tally = Tally()
    engine = platform.engines["kotlovnica-models-1"]
    context = CallerContext(
        session=session, routers=[engine.address], tally=tally, clock=SystemClock()
    )
    shape = ChatShape(turns=3, think_ms=0, max_tokens=16, stream=stream)
    chats = [make_chat_caller(context, seed=seed, shape=shape) for seed in range(4)]
    await asyncio.gather(*(chat.async_run() for chat in chats))
    assert (tally.requests, tally.tries, tally.whole) == (12, 12, 12)
    assert (tally.lost, tally.doubled, tally.crossed, tally.truncated) == (0, 0, 0, 0)
    assert 0.4 < tally.reuse < 1
    assert len(tally.first_token_ms["inspector"]) == 12


class ScriptedEngine:
    """Responds to chats with the given statuses and bodies, in order."""

    def __init__(self, *bodies: tuple[int, bytes]) -> None:
        self.bodies = list(bodies)
        app = web.Application()
        app.router.add_post(PATH_CHAT, self._async_chat)
        self.listener = StandinListener(app=app, host="127.0.0.1", port=0)

    async def _async_chat(self, request: web.Request) -> web.Response:
        await request.read()
        status, body = self.bodies.pop(0)
        return web.Response(status=status, body=body)


async def async_run_against(session: aiohttp.ClientSession, *bodies: tuple[int, bytes]) -> Tally:
    clock = ManualClock()
    tally = Tally()
    engine = ScriptedEngine(*bodies)
    routers = [await engine.listener.async_start()]
    context = CallerContext(
        session=session, routers=routers, tally=tally, clock=clock, tries=len(bodies)
    )
    await async_drive(clock, make_chat_caller(context).async_turn(), step_ms=50)
    await engine.listener.async_stop()
    return tally


def make_stream(text: str, *, tokens: int, done: bool = True) -> bytes:
    event = {
        "choices": [{"index": 0, "delta": {"content": text}}],
        "usage": {"completion_tokens": tokens},
    }
    return b"data: " + json.dumps(event).encode() + (b"\n\ndata: [DONE]\n\n" if done else b"\n\n")


async def async_get_expected_answer(session: aiohttp.ClientSession) -> tuple[str, int]:
    """Return the expected response text of the first turn of `make_chat_caller`, and its tokens."""
    context = CallerContext(
        session=session, routers=[], tally=Tally(), clock=ManualClock(), tries=0
    )
    chat = make_chat_caller(context)
    await chat.async_turn()
    twin = make_chat_caller(context)
    twin._make_words(SHAPE.first_bytes)
    tokens = twin.random.randint(SHAPE.min_tokens, SHAPE.max_tokens)
    prompt = render_prompt([Message(role="user", content=chat.messages[0].content)])
    return make_text(digest_prompt(prompt, model=chat.model), tokens), tokens


async def test_expected_response_counts_as_whole(session: aiohttp.ClientSession) -> None:
    text, tokens = await async_get_expected_answer(session)
    tally = await async_run_against(session, (200, make_stream(text, tokens=tokens)))
    assert tally.whole == 1


async def test_response_to_another_request_counts_as_crossed(
    session: aiohttp.ClientSession,
) -> None:
    _, tokens = await async_get_expected_answer(session)
    other = make_text("0" * 16, tokens)
    tally = await async_run_against(session, (200, make_stream(other, tokens=tokens)))
    assert (tally.crossed, tally.whole) == (1, 0)


async def test_extra_text_counts_as_doubled_and_missing_text_as_truncated(
    session: aiohttp.ClientSession,
) -> None:
    text, tokens = await async_get_expected_answer(session)
    doubled = await async_run_against(session, (200, make_stream(text + " w1", tokens=tokens)))
    cut = await async_run_against(session, (200, make_stream(text[:-1], tokens=tokens)))
    assert (doubled.doubled, cut.truncated) == (1, 1)
    assert (doubled.whole, cut.whole) == (0, 0)


async def test_incomplete_stream_is_retried_and_then_counts_as_lost(
    session: aiohttp.ClientSession,
) -> None:
    text, tokens = await async_get_expected_answer(session)
    open_end = (200, make_stream(text, tokens=tokens, done=False))
    tally = await async_run_against(session, open_end, open_end)
    assert (tally.tries, tally.lost, tally.not_run) == (2, 1, 0)


async def test_refusals_are_counted_by_code_and_retried(
    session: aiohttp.ClientSession,
) -> None:
    error = {"code": "over_cap", "executed": "not_run", "retry_after_ms": 100}
    refusal = (429, json.dumps({"error": error}).encode())
    text, tokens = await async_get_expected_answer(session)
    tally = await async_run_against(session, refusal, (200, make_stream(text, tokens=tokens)))
    assert (tally.refused, tally.whole, tally.requests) == ({"over_cap": 1}, 1, 1)
    tally = await async_run_against(session, refusal, refusal)
    assert (tally.not_run, tally.lost) == (1, 0)


def test_malformed_error_has_an_unknown_outcome() -> None:
    assert parse_error(b"oops", status=502).executed is Executed.UNKNOWN
    assert parse_error(b'{"error": {"code": "x"}}', status=500).code == "status_500"


async def test_service_responses_are_checked_against_key_and_body(
    platform: StandinPlatform, session: aiohttp.ClientSession
) -> None:
    tally = Tally()
    service = platform.services["records-1"]
    context = CallerContext(
        session=session, routers=[service.address], tally=tally, clock=SystemClock()
    )
    caller = ServiceCaller(
        context=context, account=ACCOUNT, seed=5, pool="records", path="/defects"
    )
    await caller.async_run(calls=5)
    assert (tally.requests, tally.whole) == (5, 5)
    assert set(service.executions_by_key) == set(caller.keys)


async def test_platform_counts_calls_that_were_executed_twice(
    platform: StandinPlatform, session: aiohttp.ClientSession
) -> None:
    for name, path in (("records-1", "/signoffs"), ("records-2", "/signoffs?x=1")):
        url = f"http://{platform.services[name].address}{path}"
        await session.post(url, headers={"Idempotency-Key": "twice"})
    url = f"http://{platform.services['records-1'].address}/reports"
    for _ in range(2):
        await session.post(url, headers={"Idempotency-Key": "may-repeat"})
    assert platform.count_repeated_calls() == 1
    assert platform.count_executions() == {"twice": 2}


def test_accounts_follow_workspace_traffic_and_depend_only_on_the_seed() -> None:
    accounts = choose_accounts(kotlovnica(), count=1_000, seed=3)
    largest = sum(account.workspace == "utility-1" for account in accounts)
    assert 400 < largest < 650
    assert accounts == choose_accounts(kotlovnica(), count=1_000, seed=3)


def test_idempotency_keys_are_uuid7_with_their_time() -> None:
    key = uuid.UUID(make_uuid7(wall_ms=1_700_000_000_123, randomness=random.Random(1)))
    assert (key.version, key.variant) == (7, uuid.RFC_4122)
    assert key.int >> 80 == 1_700_000_000_123
