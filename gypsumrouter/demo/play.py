"""Returning chats and service calls of a deployment, played against the routers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from bench.accounts import choose_accounts
from bench.load import CallerContext, ChatCaller, ServiceCaller
from gypsumrouter.demo.plan import (
    ARRIVAL_MS,
    CALL_PAUSE_MS,
    CALLERS_OF_SERVICES,
    CALLS,
    CALLS_BEGIN_MS,
    CHAT_SHAPE,
    CHATS,
)
from gypsumrouter.standins import Deployment

Play = Coroutine[Any, Any, None]


async def async_play(
    *, deployment: Deployment, context: CallerContext, seed: int, until_ms: int
) -> None:
    """Play one deployment; no request begins after `until_ms` of the clock.

    Deployments that are played at once need seeds of their own: keys are drawn from them.
    """
    arrivals = random.Random(seed)
    chats = _list_chats(deployment, context, seed, until_ms)
    calls = _list_calls(deployment, context, seed, until_ms)
    await asyncio.gather(
        *(_async_arrive(chat, context, arrivals.randrange(ARRIVAL_MS)) for chat in chats),
        *(_async_arrive(call, context, CALLS_BEGIN_MS) for call in calls),
    )


def _list_chats(
    deployment: Deployment, context: CallerContext, seed: int, until_ms: int
) -> list[Play]:
    return [
        ChatCaller(
            context=context,
            account=account,
            seed=seed + number,
            chat=f"{deployment.name}-chat-{number}",
            model=deployment.model,
            shape=CHAT_SHAPE,
        ).async_run(until_ms=until_ms)
        for number, account in enumerate(choose_accounts(deployment, count=CHATS, seed=seed))
    ]


def _list_calls(
    deployment: Deployment, context: CallerContext, seed: int, until_ms: int
) -> list[Play]:
    accounts = choose_accounts(deployment, count=CALLERS_OF_SERVICES, seed=seed + 1)
    return [
        ServiceCaller(
            context=context,
            account=account,
            seed=seed + CHATS + number,
            pool=deployment.service_pool,
            path=deployment.at_most_once[number % len(deployment.at_most_once)],
        ).async_run(calls=CALLS, think_ms=CALL_PAUSE_MS, until_ms=until_ms)
        for number, account in enumerate(accounts)
    ]


async def _async_arrive(play: Play, context: CallerContext, delay_ms: int) -> None:
    await context.clock.async_sleep(delay_ms)
    await play
