"""Faults caused by callers: a surge of one workspace, and requests that crash their upstream."""

from __future__ import annotations

import asyncio
import random
from typing import Final

import aiohttp

from bench.faults_callers import FaultAccount, FaultChatCaller
from bench.faults_stage import Stage
from bench.load import ChatShape, NoAnswer, parse_error
from gypsumrouter.const import PATH_CHAT
from gypsumrouter.outcomes import Executed
from gypsumrouter.standins import Deployment

SURGE_CHATS: Final = 60
SURGE_ARRIVAL_MS: Final = 500
SURGE_SHAPE: Final = ChatShape(turns=1, first_bytes=400, min_tokens=16, max_tokens=48)

CRASH_MARKER: Final = "crash-the-engine"
CRASHER_TRIES: Final = 6
CRASHER_PAUSE_MS: Final = (200, 900)
CRASHER_TIMEOUT_S: Final = 9.0
SETTLE_MS: Final = 1_500


async def async_surge(stage: Stage, randomness: random.Random) -> None:
    """Open many chats of one workspace within a short time."""
    deployment = randomness.choice(stage.rig.platform.deployments)
    plan = randomness.choice(deployment.workspaces)
    account = FaultAccount(
        workspace=plan.name, key=plan.key, caller_class=deployment.interactive[0].name
    )
    await asyncio.gather(
        *(
            _async_open_chat(stage, deployment, account, randomness.getrandbits(32))
            for _ in range(SURGE_CHATS)
        )
    )


async def async_send_crashing_requests(stage: Stage, randomness: random.Random) -> None:
    """Send a request that crashes its engine repeatedly through random routers."""
    deployment = randomness.choice(stage.rig.platform.deployments)
    content = f"{CRASH_MARKER} {randomness.getrandbits(64):x}"
    before = stage.count_crashes()
    code = ""
    for _ in range(CRASHER_TRIES):
        code = (await _async_try_crasher(stage, randomness, deployment, content)).code
        await stage.async_pause(randomness, *CRASHER_PAUSE_MS)
    await stage.clock.async_sleep(SETTLE_MS)
    stage.journal.crashes_per_request.append(stage.count_crashes() - before)
    stage.journal.crasher_codes[code] += 1


async def _async_open_chat(
    stage: Stage, deployment: Deployment, account: FaultAccount, seed: int
) -> None:
    await stage.clock.async_sleep(seed % SURGE_ARRIVAL_MS)
    caller = FaultChatCaller(
        context=stage.context,
        account=account,
        seed=seed,
        chat=f"surge-{seed}",
        model=deployment.model,
        shape=SURGE_SHAPE,
    )
    await caller.async_run()


async def _async_try_crasher(
    stage: Stage, randomness: random.Random, deployment: Deployment, content: str
) -> NoAnswer:
    plan = deployment.workspaces[0]
    account = FaultAccount(
        workspace=plan.name, key=plan.key, caller_class=deployment.interactive[0].name
    )
    payload = {
        "model": deployment.model,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": 32,
    }
    url = f"http://{randomness.choice(stage.routers)}{PATH_CHAT}"
    timeout = aiohttp.ClientTimeout(total=CRASHER_TIMEOUT_S)
    try:
        async with stage.context.session.post(
            url, json=payload, headers=account.make_headers(), timeout=timeout
        ) as response:
            return parse_error(await response.read(), status=response.status)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return NoAnswer(code=type(error).__name__, executed=Executed.UNKNOWN)
