"""Readiness probe, metrics and state dump of a forwarder."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from gypsumrouter.core import Application
from gypsumrouter.instances import Address, parse_address
from gypsumrouter.operators.access import CONTENT_TYPE_METRICS, PATH_DUMP, PATH_METRICS
from gypsumrouter.operators.diagnostics import make_dump
from gypsumrouter.settings import Probes


class ProbesServer:
    """Serves the readiness probe on one address, metrics and the state dump on another."""

    __slots__ = ("_app", "_is_ready", "_settings")

    def __init__(self, *, app: Application, settings: Probes, is_ready: Callable[[], bool]) -> None:
        self._app = app
        self._settings = settings
        self._is_ready = is_ready

    async def async_start(self) -> dict[str, Address]:
        """Bind both addresses and return them; raises OSError if one is in use."""
        ready = web.Application()
        ready.router.add_get(self._settings.ready_path, self._async_ready)
        metrics = web.Application()
        metrics.router.add_get(PATH_METRICS, self._async_metrics)
        metrics.router.add_get(PATH_DUMP, self._async_dump)
        return {
            "ready": await self._async_listen(ready, self._settings.ready),
            "metrics": await self._async_listen(metrics, self._settings.metrics),
        }

    async def _async_listen(self, routes: web.Application, endpoint: str) -> Address:
        runner = web.AppRunner(routes, access_log=None, handle_signals=False)
        await runner.setup()
        self._app.on_stop(runner.cleanup)
        requested = parse_address(endpoint)
        site = web.TCPSite(runner, requested.host, requested.port)
        await site.start()
        host, port = runner.addresses[0][:2]
        return Address(host=host, port=port)

    async def _async_ready(self, request: web.Request) -> web.Response:
        ready = self._is_ready()
        status = web.HTTPOk.status_code if ready else web.HTTPServiceUnavailable.status_code
        return web.json_response({"ready": ready}, status=status)

    async def _async_metrics(self, request: web.Request) -> web.Response:
        headers = {"Content-Type": CONTENT_TYPE_METRICS}
        return web.Response(body=self._app.metrics.render(), headers=headers)

    async def _async_dump(self, request: web.Request) -> web.Response:
        return web.json_response(make_dump(app=self._app, ready=self._is_ready()))
