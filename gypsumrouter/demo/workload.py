"""The demo's workload: multi-turn chats and service calls of a deployment."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from bench.accounts import choose_accounts
from bench.load import CallerContext, ChatCaller, ServiceCaller
from gypsumrouter.demo.plan import (
    ARRIVAL_WINDOW_MS,
    CALL_PAUSE_MS,
    CALLS_PER_CALLER,
    CHAT_SHAPE,
    CHATS,
    FIRST_CALL_MS,
    SERVICE_CALLERS,
)
from gypsumrouter.standins import Deployment

Workload = Coroutine[Any, Any, None]


async def async_run_workload(
    *, deployment: Deployment, context: CallerContext, seed: int, until_ms: int
) -> None:
    """Run the chats and calls of one deployment; no request starts after `until_ms`.

    Concurrent workloads need different seeds, since idempotency keys are drawn from them.
    """
    arrivals = random.Random(seed)
    chats = _make_chat_workloads(deployment, context, seed, until_ms)
    calls = _make_call_workloads(deployment, context, seed, until_ms)
    await asyncio.gather(
        *(
            _async_start_after(chat, context, arrivals.randrange(ARRIVAL_WINDOW_MS))
            for chat in chats
        ),
        *(_async_start_after(call, context, FIRST_CALL_MS) for call in calls),
    )


def _make_chat_workloads(
    deployment: Deployment, context: CallerContext, seed: int, until_ms: int
) -> list[Workload]:
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


def _make_call_workloads(
    deployment: Deployment, context: CallerContext, seed: int, until_ms: int
) -> list[Workload]:
    accounts = choose_accounts(deployment, count=SERVICE_CALLERS, seed=seed + 1)
    return [
        ServiceCaller(
            context=context,
            account=account,
            seed=seed + CHATS + number,
            pool=deployment.service_pool,
            path=deployment.at_most_once[number % len(deployment.at_most_once)],
        ).async_run(calls=CALLS_PER_CALLER, think_ms=CALL_PAUSE_MS, until_ms=until_ms)
        for number, account in enumerate(accounts)
    ]


async def _async_start_after(workload: Workload, context: CallerContext, delay_ms: int) -> None:
    await context.clock.async_sleep(delay_ms)
    await workload
