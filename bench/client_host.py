"""Process that runs many streaming callers and measures tokens and times to first token."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from typing import Final

import aiohttp
from msgspec import Struct, field, to_builtins

from gypsumrouter.const import ENV_IO_URING, HEADER_CHAT, IO_URING_OFF, MS_PER_S, PATH_CHAT

TOKEN_MARKER: Final = b'"content"'
DONE_MARKER: Final = b"[DONE]"
HTTP_OK: Final = 200


class ClientPlan(Struct, frozen=True, kw_only=True):
    """Load of one caller process; callers use `origins` round-robin, times are seconds."""

    origins: tuple[str, ...]
    key: str
    model: str
    streams: int
    tokens: int
    warm_s: float
    measure_s: float
    seed: int = 0
    prompt_bytes: int = 400


class ClientResult(Struct, kw_only=True):
    """Results of one caller process in the measured period; times in milliseconds."""

    tokens: int = 0
    whole: int = 0
    broken: int = 0
    first_ms: list[float] = field(default_factory=list)
    gap_ms: list[float] = field(default_factory=list)


async def async_run_clients(plan: ClientPlan) -> ClientResult:
    """Run callers in a separate process and return their result."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.client_host",
        json.dumps(to_builtins(plan)),
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, ENV_IO_URING: IO_URING_OFF},
    )
    output, _ = await process.communicate()
    return ClientResult(**json.loads(output))


class StreamCallers:
    """Callers that each send the next request when their stream ends."""

    def __init__(self, *, plan: ClientPlan, session: aiohttp.ClientSession) -> None:
        self.plan = plan
        self.session = session
        self.result = ClientResult()
        began_s = time.monotonic()
        self.measure_from_s = began_s + plan.warm_s
        self.until_s = self.measure_from_s + plan.measure_s

    async def async_call_repeatedly(self, number: int) -> None:
        """Run one caller until the end of the measurement."""
        request_number = 0
        # Stagger the starts, so that the callers do not run in lockstep.
        await asyncio.sleep((number % 97) / 97 * min(self.plan.warm_s, 1.0))
        while time.monotonic() < self.until_s:
            await self._async_call(number, request_number)
            request_number += 1

    async def _async_call(self, number: int, request_number: int) -> None:
        origin = self.plan.origins[number % len(self.plan.origins)]
        chat = f"chat-{self.plan.seed}-{number}-{request_number}"
        payload = {
            "model": self.plan.model,
            "stream": True,
            "max_tokens": self.plan.tokens,
            "messages": [{"role": "user", "content": chat + " " + "x" * self.plan.prompt_bytes}],
        }
        headers = {"Authorization": f"Bearer {self.plan.key}", HEADER_CHAT: chat}
        began_s = time.monotonic()
        async with self.session.post(origin + PATH_CHAT, json=payload, headers=headers) as answer:
            if answer.status != HTTP_OK:
                self.result.broken += 1
                await answer.read()
                return
            await self._async_count(answer, began_s)

    async def _async_count(self, answer: aiohttp.ClientResponse, began_s: float) -> None:
        last_s = 0.0
        last_chunk = b""
        async for chunk in answer.content.iter_any():
            now_s = time.monotonic()
            tokens = chunk.count(TOKEN_MARKER)
            last_chunk = chunk
            if tokens == 0:
                continue
            if self.measure_from_s <= now_s < self.until_s:
                self._record(tokens, now_s, began_s, last_s)
            last_s = now_s
        if DONE_MARKER in last_chunk:
            self.result.whole += 1
        else:
            self.result.broken += 1

    def _record(self, tokens: int, now_s: float, began_s: float, last_s: float) -> None:
        self.result.tokens += tokens
        if last_s == 0.0:
            self.result.first_ms.append((now_s - began_s) * MS_PER_S)
        else:
            self.result.gap_ms.append((now_s - last_s) * MS_PER_S)


async def async_host(plan: ClientPlan) -> None:
    """Run all callers of the plan and print the result."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = StreamCallers(plan=plan, session=session)
        await asyncio.gather(
            *(callers.async_call_repeatedly(number) for number in range(plan.streams))
        )
    print(json.dumps(to_builtins(callers.result)))


if __name__ == "__main__":
    import uvloop

    arguments = json.loads(sys.argv[1])
    arguments["origins"] = tuple(arguments["origins"])
    uvloop.run(async_host(ClientPlan(**arguments)))
