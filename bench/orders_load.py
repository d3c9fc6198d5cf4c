"""Open-loop requests for several models at fixed rates."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Final

from msgspec import Struct, field

from bench.accounts import Account
from bench.load import CallerContext, ChatCaller, ChatShape
from bench.orders_stage import OrdersStage
from bench.tally import Tally
from gypsumrouter.configuration.models import CallerClass
from gypsumrouter.util.clock import SystemClock

TOKENS: Final = 40
PROMPT_BYTES: Final = 200
TIMEOUT_S: Final = 30.0
SHAPE: Final = ChatShape(
    turns=1, first_bytes=PROMPT_BYTES, min_tokens=TOKENS, max_tokens=TOKENS, stream=True
)


class Traffic(Struct, kw_only=True):
    """Running requests, and the outcomes of those started in this phase."""

    caller_class: CallerClass
    tally: Tally = field(default_factory=Tally)
    tasks: set[asyncio.Task[bool]] = field(default_factory=set)

    @property
    def target_met(self) -> float:
        """Return the share of requests that were answered and had their first token in time."""
        times = self.tally.list_first_token_ms()
        met = sum(time_ms <= self.caller_class.first_token_ms for time_ms in times)
        return met / max(1, self.tally.requests)


@asynccontextmanager
async def open_traffic(
    stage: OrdersStage, *, rates: Mapping[str, float], seed: int
) -> AsyncIterator[Traffic]:
    """Send requests while the context is open, then wait for them.

    `rates` is requests per second by model.
    """
    traffic = Traffic(caller_class=stage.deployment.interactive[0])
    senders = [
        asyncio.create_task(
            _async_send(stage, traffic, model, rate, random.Random(f"{seed}/{model}"))
        )
        for model, rate in rates.items()
    ]
    try:
        yield traffic
    finally:
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        await asyncio.gather(*traffic.tasks)


async def _async_send(
    stage: OrdersStage, traffic: Traffic, model: str, rate: float, randomness: random.Random
) -> None:
    plan = stage.deployment.workspaces[0]
    account = Account(workspace=plan.name, key=plan.key, caller_class=traffic.caller_class.name)
    while True:
        await asyncio.sleep(randomness.expovariate(rate))
        caller = ChatCaller(
            context=CallerContext(
                session=stage.session,
                routers=stage.rig.list_callers(),
                tally=traffic.tally,
                clock=SystemClock(),
                timeout_s=TIMEOUT_S,
            ),
            account=account,
            seed=randomness.getrandbits(32),
            chat=f"{model}-{randomness.getrandbits(64):x}",
            model=model,
            shape=SHAPE,
        )
        traffic.tasks.add(asyncio.create_task(caller.async_turn()))
