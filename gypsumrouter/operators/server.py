"""HTTP server for operators: health, metrics and the state dump."""

from __future__ import annotations

import json
import logging
import ssl
from collections.abc import Callable

from aiohttp import web

from gypsumrouter.core import Application
from gypsumrouter.helpers.tls import TlsFiles, make_server_context
from gypsumrouter.instances import Address
from gypsumrouter.operators.access import (
    CONTENT_TYPE_METRICS,
    PATH_ALIVE,
    PATH_DUMP,
    PATH_METRICS,
    PATH_READY,
    Access,
)
from gypsumrouter.operators.diagnostics import make_dump
from gypsumrouter.settings import Operators

_LOGGER = logging.getLogger(__name__)

IsReady = Callable[[], bool]


class OperatorsServer:
    """Serves operators and the probes of load balancers."""

    __slots__ = ("_access", "_app", "_is_ready", "_runner", "_settings")

    def __init__(
        self, *, app: Application, settings: Operators, access: Access, is_ready: IsReady
    ) -> None:
        self._app = app
        self._settings = settings
        self._access = access
        self._is_ready = is_ready
        self._runner: web.AppRunner | None = None

    async def async_start(self) -> Address:
        """Bind the address and return it; raises OSError if it is in use."""
        routes = web.Application()
        routes.router.add_get(PATH_ALIVE, self._async_alive)
        routes.router.add_get(PATH_READY, self._async_ready)
        routes.router.add_get(PATH_METRICS, self._async_metrics)
        routes.router.add_get(PATH_DUMP, self._async_dump)
        self._runner = web.AppRunner(routes, access_log=None, handle_signals=False)
        await self._runner.setup()
        self._app.on_stop(self._runner.cleanup)
        site = web.TCPSite(
            self._runner,
            self._settings.host,
            self._settings.port,
            ssl_context=self._make_context(),
        )
        await site.start()
        host, port = self._runner.addresses[0][:2]
        return Address(host=host, port=port)

    def _make_context(self) -> ssl.SSLContext | None:
        tls = self._settings.tls
        if tls is None:
            return None
        context = make_server_context(tls)
        TlsFiles(app=self._app, tls=tls, context=context).async_start()
        return context

    async def _async_alive(self, request: web.Request) -> web.Response:
        return web.json_response({"alive": True})

    async def _async_ready(self, request: web.Request) -> web.Response:
        ready = self._is_ready()
        status = web.HTTPOk.status_code if ready else web.HTTPServiceUnavailable.status_code
        return web.json_response({"ready": ready}, status=status)

    async def _async_metrics(self, request: web.Request) -> web.Response:
        self._check(request)
        headers = {"Content-Type": CONTENT_TYPE_METRICS}
        return web.Response(body=self._app.metrics.render(), headers=headers)

    async def _async_dump(self, request: web.Request) -> web.Response:
        self._check(request)
        dump = make_dump(app=self._app, ready=self._is_ready())
        return web.json_response(dump, dumps=_format_dump)

    def _check(self, request: web.Request) -> None:
        if self._access.allows(request.headers.get("Authorization", "")):
            return
        _LOGGER.debug("Rejected a request for %s: bearer token missing or wrong", request.path)
        raise web.HTTPUnauthorized(headers={"WWW-Authenticate": "Bearer"})


def _format_dump(dump: object) -> str:
    return json.dumps(dump, indent=2, sort_keys=False)
