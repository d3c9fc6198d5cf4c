"""Instance list service with a constant list that is encoded once, for many readers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable
from typing import Final

from aiohttp import web

from gypsumrouter.const import MS_PER_S
from gypsumrouter.instances import Address, Instance
from gypsumrouter.standins.listener import StandinListener

REVISION: Final = 1


class StaticList:
    """Serves a constant list; a watch ends at its timeout with 204 and a current timestamp."""

    def __init__(self, *, instances: Iterable[Instance]) -> None:
        self.reads = 0
        self._entries = json.dumps([_format(instance) for instance in instances])
        routes = web.Application()
        routes.router.add_get("/v1/instances", self._async_get)
        self._listener = StandinListener(app=routes, host="127.0.0.1", port=0)

    async def async_start(self) -> Address:
        """Start listening and return the address."""
        return await self._listener.async_start()

    async def async_stop(self) -> None:
        """Stop listening."""
        await self._listener.async_stop()

    async def _async_get(self, request: web.Request) -> web.Response:
        self.reads += 1
        if "after" in request.query:
            await asyncio.sleep(int(request.query["timeout_ms"]) / MS_PER_S)
            return web.Response(status=204, headers={"X-As-Of-Ms": str(_read_wall_ms())})
        head = f'{{"revision": {REVISION}, "as_of_ms": {_read_wall_ms()}, "instances": '
        body = f"{head}{self._entries}}}"
        return web.Response(body=body.encode(), content_type="application/json")


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000


def _format(instance: Instance) -> dict[str, object]:
    return {
        "name": instance.name,
        "role": instance.role,
        "host": instance.address.host,
        "port": instance.address.port,
        "data_centre": instance.data_centre,
        "region": instance.region,
        "pool": instance.pool,
        "weight": instance.weight,
        "state": instance.state,
    }
