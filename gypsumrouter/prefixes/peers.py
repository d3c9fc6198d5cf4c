"""Requests for prefixes to other sides, over the same links as callers' requests."""

from __future__ import annotations

import asyncio
from typing import Protocol

from msgspec import Struct

from gypsumrouter.const import UpstreamKind
from gypsumrouter.fleet import Instance
from gypsumrouter.link import Exchange
from gypsumrouter.link.models import Data, End, Head, Notice, Open
from gypsumrouter.outcomes import Failed, Refused
from gypsumrouter.prefixes.const import CALL_TIMEOUT_MS, HEADER_LOCATION, HTTP_NOT_FOUND


class Links(Protocol):
    """The links to other processes."""

    async def async_open(self, *, instance: Instance, request: Open) -> Exchange | Refused:
        """Send a request; return `Refused` if it was not sent."""

    async def async_send(self, *, instance: Instance, notice: Notice) -> bool:
        """Send a notice; return False if the instance cannot be reached."""


class Reply(Struct, frozen=True, kw_only=True):
    """The response of another side; `location` names the side to which it redirects."""

    status: int
    body: bytes = b""
    location: str = ""


async def async_request(
    *, links: Links, instance: Instance, path: str, chat: str, body: bytes = b""
) -> Reply | None:
    """Send a request to the side of `instance`; return None without a complete response."""
    request = _make_request(instance, path, chat, body)
    exchange = await links.async_open(instance=instance, request=request)
    if isinstance(exchange, Refused):
        return None
    try:
        return await _async_read(exchange)
    except asyncio.CancelledError:
        exchange.cancel()
        raise


async def _async_read(exchange: Exchange) -> Reply | None:
    parts: list[bytes] = []
    last_head = Head(status=HTTP_NOT_FOUND, headers=())
    while True:
        match await exchange.async_next():
            case Head() as head:
                last_head = head
            case Data(offset=offset, body=body):
                parts.append(body)
                exchange.confirm(offset + len(body))
            case End():
                location = dict(last_head.headers).get(HEADER_LOCATION, "")
                return Reply(status=last_head.status, body=b"".join(parts), location=location)
            case Refused() | Failed():
                return None


def _make_request(instance: Instance, path: str, chat: str, body: bytes) -> Open:
    return Open(
        sequence=0,
        request_id=f"prefix-{chat}",
        kind=UpstreamKind.ENGINE,
        pool=instance.pool,
        workspace="",
        caller_class="",
        method="POST",
        path=path,
        headers=(),
        body=body,
        stream=False,
        deadline_ms=CALL_TIMEOUT_MS,
        waited_ms=0,
        digest=0,
        chat=chat,
    )
