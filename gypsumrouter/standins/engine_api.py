"""HTTP API of the stand-in engine; docs/PROTOCOLS.md describes the protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from aiohttp import web
from msgspec.structs import asdict

from gypsumrouter.const import HEADER_CHAT, HEADER_REQUEST_ID, PATH_CHAT, PATH_MODELS
from gypsumrouter.standins.chat import ChatRequest, InvalidRequest, parse_chat
from gypsumrouter.standins.faults import Gate
from gypsumrouter.standins.json_responses import (
    MAX_BODY_BYTES,
    async_read_json_object,
    get_query_int,
    make_error_response,
    make_json_response,
)
from gypsumrouter.standins.listener import reset_transport
from gypsumrouter.standins.orders import OrderState, format_record, parse_order
from gypsumrouter.standins.streams import ResponseStream, StreamState
from gypsumrouter.standins.tokens import TOKENS_PER_BLOCK
from gypsumrouter.util.clock import Clock

if TYPE_CHECKING:
    from gypsumrouter.standins.engine import Engine

HEADER_PRIORITY: Final = "X-Priority"
HEADER_START_ID: Final = "X-Start-Id"
HEX_BLOCK: Final = "016x"
WEIGHT_COPY_MS: Final = 500


class EngineApi:
    """Handles the HTTP requests to an engine."""

    __slots__ = ("_clock", "_engine", "_requests_without_id")

    def __init__(self, *, engine: Engine, clock: Clock) -> None:
        self._engine = engine
        self._clock = clock
        self._requests_without_id = 0

    def make_app(self, gate: Gate) -> web.Application:
        """Return the web application with all routes."""
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[gate.async_middleware])
        router = app.router
        router.add_post(PATH_CHAT, self._async_chat)
        router.add_get(PATH_MODELS, self._async_get_models)
        router.add_post("/v1/streams/{request_id}/resume", self._async_resume)
        router.add_delete("/v1/streams/{request_id}", self._async_cancel)
        router.add_get("/v1/load", self._async_get_load)
        router.add_get("/v1/cache/events", self._async_get_cache_events)
        router.add_post("/v1/cache/export", self._async_export)
        router.add_post("/v1/cache/import", self._async_import)
        router.add_get("/v1/weights/{model}", self._async_get_weights)
        router.add_post("/v1/orders", self._async_post_order)
        router.add_get("/v1/orders", self._async_get_orders)
        router.add_delete("/v1/orders/{model}", self._async_cancel_order)
        router.add_get("/standin/counts", self._async_get_counts)
        router.add_get("/standin/executions", self._async_get_executions)
        router.add_post("/standin/{command:crash|freeze|thaw}", self._async_post_command)
        return app

    async def _async_chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        chat = parse_chat(body, self._engine.settings)
        if isinstance(chat, InvalidRequest):
            return make_error_response(
                status=400, code=f"bad_request:{chat.param}", message=chat.message
            )
        rejection = self._check_admission(chat)
        if rejection is not None:
            self._engine.rejected += 1
            return rejection
        marker = self._engine.settings.crash_marker.encode()
        stream = self._engine.submit(
            request=chat,
            request_id=self._get_request_id(request),
            chat=_get_chat_id(request, chat),
            priority=_get_priority(request),
            crashes=bool(marker) and marker in body,
        )
        return await self._async_stream_body(request, stream, offset=0)

    def _check_admission(self, chat: ChatRequest) -> web.Response | None:
        if not self._engine.orders.has_model(chat.model, ""):
            return make_error_response(status=404, code="model_not_found")
        if self._engine.batch.waiting >= self._engine.settings.waiting_max:
            return make_error_response(status=429, code="queue_full")
        return None

    def _get_request_id(self, request: web.Request) -> str:
        self._requests_without_id += 1
        return request.headers.get(HEADER_REQUEST_ID) or f"unnamed-{self._requests_without_id}"

    async def _async_resume(self, request: web.Request) -> web.StreamResponse:
        stream = self._engine.streams.get(request.match_info["request_id"])
        offset = get_query_int(request, "offset", 0)
        if stream is None or stream.state is StreamState.CANCELLED:
            return make_error_response(status=404, code="stream_not_found")
        if not 0 <= offset <= len(stream.body):
            return make_error_response(status=416, code="offset_out_of_range")
        return await self._async_stream_body(request, stream, offset=offset)

    async def _async_stream_body(
        self, request: web.Request, stream: ResponseStream, *, offset: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": stream.content_type})
        response.headers[HEADER_REQUEST_ID] = stream.request_id
        response.headers[HEADER_START_ID] = str(self._engine.start_id)
        stream.attach()
        try:
            await response.prepare(request)
            while True:
                await stream.async_wait_for_data(offset)
                if len(stream.body) > offset:
                    part = bytes(stream.body[offset:])
                    offset += len(part)
                    await response.write(part)
                elif stream.state is StreamState.COMPLETE:
                    await response.write_eof()
                    return response
                else:
                    return _reset_response(request, response)
        finally:
            stream.detach()

    async def _async_cancel(self, request: web.Request) -> web.Response:
        if not self._engine.cancel(request.match_info["request_id"]):
            return make_error_response(status=404, code="stream_not_found")
        return make_json_response({})

    async def _async_get_models(self, _request: web.Request) -> web.Response:
        orders = self._engine.orders
        models = [
            {"id": model, "object": "model", "version": version}
            for model, version in sorted(orders.models.items())
        ]
        return make_json_response({"object": "list", "data": models, "role": orders.role})

    async def _async_get_load(self, _request: web.Request) -> web.Response:
        settings = self._engine.settings
        sample = self._engine.history.get_lagged(settings.load_lag_ms)
        return make_json_response(
            {
                "running": sample.running,
                "waiting": sample.waiting,
                "slots": settings.slots,
                "cached_tokens": self._engine.cache.tokens,
                "as_of_ms": self._clock.wall_ms() - settings.load_lag_ms,
                "start_id": self._engine.start_id,
            }
        )

    async def _async_get_cache_events(self, request: web.Request) -> web.Response:
        after = get_query_int(request, "after", 0)
        events = self._engine.events.list_after(after)
        listed = [
            {"seq": event.seq, "kind": event.kind, "chat": event.chat, "tokens": event.tokens}
            for event in events
        ]
        return make_json_response({"events": listed, "next": events[-1].seq if events else after})

    async def _async_export(self, request: web.Request) -> web.Response:
        payload = await async_read_json_object(request)
        blocks = self._engine.cache.export(str(payload.get("chat")))
        if not blocks:
            return make_error_response(status=404, code="chat_not_cached")
        await self._async_wait_transfer(len(blocks))
        tokens = len(blocks) * TOKENS_PER_BLOCK
        return make_json_response(
            {"tokens": tokens, "blocks": [format(block, HEX_BLOCK) for block in blocks]}
        )

    async def _async_import(self, request: web.Request) -> web.Response:
        payload = await async_read_json_object(request)
        try:
            blocks = tuple(int(block, 16) for block in payload["blocks"])
            chat = str(payload["chat"])
        except (KeyError, TypeError, ValueError):
            return make_error_response(status=400, code="bad_request:blocks")
        await self._async_wait_transfer(len(blocks))
        self._engine.cache.store(chat=chat, blocks=blocks)
        return make_json_response({"tokens": len(blocks) * TOKENS_PER_BLOCK})

    async def _async_wait_transfer(self, blocks: int) -> None:
        cost_ms = blocks * TOKENS_PER_BLOCK * self._engine.settings.transfer_ms_per_token
        if cost_ms >= 1:
            await self._clock.async_sleep(round(cost_ms))

    async def _async_get_weights(self, request: web.Request) -> web.Response:
        model = request.match_info["model"]
        version = request.query.get("version", "")
        if not self._engine.settings.gives_weights or not self._engine.orders.has_model(
            model, version
        ):
            return make_error_response(status=404, code="weights_not_held")
        await self._clock.async_sleep(WEIGHT_COPY_MS)
        return make_json_response({"model": model, "version": version})

    async def _async_post_order(self, request: web.Request) -> web.Response:
        order = parse_order(await async_read_json_object(request))
        if order is None:
            return make_error_response(status=400, code="bad_request:order")
        record = self._engine.orders.handle(order)
        status = {OrderState.REFUSED: 409, OrderState.PENDING: 202}.get(record.state, 200)
        return make_json_response(
            {
                "state": record.state,
                "reason": record.reason,
                "fence": self._engine.orders.highest_fence,
            },
            status=status,
        )

    async def _async_get_orders(self, _request: web.Request) -> web.Response:
        orders = self._engine.orders
        return make_json_response(
            {
                "fence": orders.highest_fence,
                "orders": [format_record(record) for record in orders.records],
            }
        )

    async def _async_cancel_order(self, request: web.Request) -> web.Response:
        if not self._engine.orders.cancel(request.match_info["model"]):
            return make_error_response(status=404, code="order_not_pending")
        return make_json_response({})

    async def _async_get_counts(self, _request: web.Request) -> web.Response:
        return make_json_response(
            {**asdict(self._engine.counts), "start_id": self._engine.start_id}
        )

    async def _async_get_executions(self, _request: web.Request) -> web.Response:
        return make_json_response({"executions": dict(self._engine.executions)})

    async def _async_post_command(self, request: web.Request) -> web.Response:
        commands: dict[str, Callable[[], None]] = {
            "crash": self._engine.crash,
            "freeze": self._engine.freeze,
            "thaw": self._engine.thaw,
        }
        asyncio.get_running_loop().call_soon(commands[request.match_info["command"]])
        return make_json_response({})


def _reset_response(request: web.Request, response: web.StreamResponse) -> web.StreamResponse:
    if request.transport is not None:
        reset_transport(request.transport)
    return response


def _get_chat_id(request: web.Request, chat: ChatRequest) -> str:
    """Return the id of the chat in cache events and exports."""
    return request.headers.get(HEADER_CHAT) or chat.cache_key or chat.digest


def _get_priority(request: web.Request) -> int:
    try:
        return int(request.headers.get(HEADER_PRIORITY, "0"))
    except ValueError:
        return 0
