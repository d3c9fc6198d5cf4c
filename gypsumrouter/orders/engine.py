"""HTTP client for the order API of the local engine."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPMethod
from typing import Any, Final
from urllib.parse import quote

import aiohttp
from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.helpers.numbers import read_json_number
from gypsumrouter.orders.const import (
    CALL_TIMEOUT_MS,
    HTTP_ACCEPTED,
    HTTP_CONFLICT,
    HTTP_NOT_FOUND,
    HTTP_OK,
    PATH_MODELS,
    PATH_ORDERS,
)
from gypsumrouter.orders.models import (
    Accepted,
    Done,
    EngineState,
    Indeterminate,
    NotSent,
    Order,
    StaleFence,
    Submission,
)
from gypsumrouter.settings import Upstream
from gypsumrouter.upstream import ConnectFailed, ConnectionBroken, Transport, async_read_body

_JSON: Final = [("Content-Type", "application/json")]
_PENDING: Final = "pending"
_REFUSED: Final = "refused"
_FAILED: Final = frozenset({"failed", "cancelled"})

FindBlockReason = Callable[[], str]


class _Answer(Struct, frozen=True, kw_only=True):
    status: int
    body: bytes


class OrderDenied(Exception):
    """Raised immediately before an order is sent if it may no longer be sent."""


class OrderClient:
    """Read the state of one engine, submit orders and cancel loads; each call has a timeout.

    `find_block_reason` is called once the connection is established, immediately before the first
    byte is written, so that a process that was paused in between does not send a stale order.
    """

    __slots__ = ("_app", "_transport")

    def __init__(self, *, app: Application, settings: Upstream) -> None:
        self._app = app
        self._transport = Transport(app=app, settings=settings)

    async def async_start(self) -> None:
        """Open the session."""
        self._transport.open_session()
        self._app.on_stop(self._transport.async_close)

    async def async_read(self) -> EngineState | None:
        """Return the state of the engine, or None without a valid response."""
        try:
            models = await self._transport.async_fetch_json(PATH_MODELS)
            orders = await self._transport.async_fetch_json(PATH_ORDERS)
            return _parse_state(models, orders)
        except (ConnectFailed, ConnectionBroken, TimeoutError, ValueError, KeyError, TypeError):
            return None

    async def async_submit(
        self, order: Order, *, fence: int, find_block_reason: FindBlockReason
    ) -> Submission:
        """Submit an order and return its result."""
        payload = {
            "order": order.kind.value,
            "model": order.name,
            "version": order.version,
            "role": order.role,
            "fence": fence,
            "source": order.source,
        }
        answer = await self._async_call(
            HTTPMethod.POST, PATH_ORDERS, json.dumps(payload).encode(), find_block_reason
        )
        return _parse_submission(answer) if isinstance(answer, _Answer) else answer

    async def async_cancel(self, name: str, *, find_block_reason: FindBlockReason) -> Submission:
        """Cancel the pending load of a model."""
        path = f"{PATH_ORDERS}/{quote(name, safe='')}"
        answer = await self._async_call(HTTPMethod.DELETE, path, b"", find_block_reason)
        if not isinstance(answer, _Answer):
            return answer
        if answer.status in (HTTP_OK, HTTP_NOT_FOUND):
            return Done()
        return Indeterminate(reason=f"status {answer.status}")

    async def _async_call(
        self, method: HTTPMethod, path: str, body: bytes, find_block_reason: FindBlockReason
    ) -> _Answer | NotSent | Indeterminate:
        def check() -> None:
            block_reason = find_block_reason()
            if block_reason:
                raise OrderDenied(block_reason)

        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_S):
                response = await self._transport.async_open(
                    method=method.value, path=path, headers=_JSON, body=body, hand_over=check
                )
                try:
                    return _Answer(status=response.status, body=await async_read_body(response))
                finally:
                    response.close()
        except OrderDenied as denied:
            return NotSent(reason=str(denied))
        except ConnectFailed:
            return NotSent(reason="the engine takes no connection")
        except TimeoutError:
            return Indeterminate(reason=f"no answer within {CALL_TIMEOUT_MS} ms")
        except (ConnectionBroken, aiohttp.ClientError, OSError) as error:
            return Indeterminate(reason=f"the connection broke: {type(error).__name__}")


def _parse_submission(answer: _Answer) -> Submission:
    if answer.status == HTTP_OK:
        return Done()
    if answer.status == HTTP_ACCEPTED:
        return Accepted()
    if answer.status == HTTP_CONFLICT:
        return StaleFence(highest=_parse_fence(answer.body))
    return Indeterminate(reason=f"status {answer.status}")


def _parse_fence(body: bytes) -> int:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return 0
    fence = document.get("fence") if isinstance(document, dict) else None
    return read_json_number(fence) or 0


def _parse_state(models: Any, orders: Any) -> EngineState:
    held = {str(entry["id"]): str(entry.get("version") or "") for entry in models["data"]}
    pending: dict[str, str] = {}
    failures: dict[str, str] = {}
    for record in orders["orders"]:
        name, state = str(record["model"]), record["state"]
        if state == _REFUSED:
            continue
        pending.pop(name, None)
        failures.pop(name, None)
        if state == _PENDING and held.get(name) != str(record["version"]):
            pending[name] = str(record["version"])
        elif state in _FAILED:
            failures[name] = str(record.get("reason") or state)
    return EngineState(
        models=held, role=str(models.get("role") or ""), pending=pending, failures=failures
    )
