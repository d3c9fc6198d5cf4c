"""A lightweight engine with the response times of the target scale."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Final

from aiohttp import web

from bench.target_scale import ANSWER_MS
from gypsumrouter.const import MS_PER_S
from gypsumrouter.instances import Address
from gypsumrouter.standins.listener import StandinListener

QUICK_TOKENS: Final = 1
QUICK_GAP_MS: Final = 10
HOLD_TOKENS: Final = 8
HOLD_GAP_MS: Final = 2_000
DONE: Final = b"data: [DONE]\n\n"
START_ID: Final = "paced"


def get_gap_ms(tokens: int) -> float:
    """Return the time before each token: short for a single one, long for a few."""
    if tokens <= QUICK_TOKENS:
        return QUICK_GAP_MS
    return HOLD_GAP_MS if tokens <= HOLD_TOKENS else ANSWER_MS / tokens


def make_event(number: int) -> bytes:
    """Return one token as a server-sent event of typical size."""
    choice = {"index": 0, "delta": {"content": f" word-{number}"}, "finish_reason": None}
    event = {"id": "chatcmpl-paced", "object": "chat.completion.chunk", "choices": [choice]}
    return f"data: {json.dumps(event)}\n\n".encode()


class PacedEngine:
    """Serves the subset of the engine API that sides use, to any number of sides."""

    def __init__(self, *, model: str) -> None:
        self.running = 0
        self._model = model
        routes = web.Application()
        routes.router.add_post("/v1/chat/completions", self._async_complete)
        routes.router.add_delete("/v1/streams/{name}", self._async_cancel)
        routes.router.add_get("/v1/models", self._async_models)
        routes.router.add_get("/v1/load", self._async_load)
        self._listener = StandinListener(app=routes, host="127.0.0.1", port=0)

    async def async_start(self) -> Address:
        """Start listening and return the address."""
        return await self._listener.async_start()

    async def async_stop(self) -> None:
        """Stop listening."""
        await self._listener.async_stop()

    async def _async_complete(self, request: web.Request) -> web.StreamResponse:
        payload: dict[str, Any] = await request.json()
        tokens = int(payload["max_tokens"])
        gap_s = get_gap_ms(tokens) / MS_PER_S
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Start-Id": START_ID}
        )
        self.running += 1
        try:
            await response.prepare(request)
            for number in range(tokens):
                await asyncio.sleep(gap_s)
                await response.write(make_event(number))
            await response.write(DONE)
        finally:
            self.running -= 1
        return response

    async def _async_cancel(self, _request: web.Request) -> web.Response:
        return web.Response(status=web.HTTPNotFound.status_code)

    async def _async_models(self, _request: web.Request) -> web.Response:
        return web.json_response({"data": [{"id": self._model, "version": "1"}], "role": "both"})

    async def _async_load(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                "running": self.running,
                "waiting": 0,
                "slots": 4_096,
                "cached_tokens": 0,
                "as_of_ms": 0,
                "start_id": START_ID,
            }
        )
