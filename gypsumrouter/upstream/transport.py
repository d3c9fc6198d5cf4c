"""Connections to one upstream: a new one for each request, with a callback before the first byte.

Connections are not reused. The upstream is local, so a new connection is cheap, and a request
is never written on a connection that the upstream has already closed.
"""

from __future__ import annotations

import asyncio
import json
import socket
import ssl
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any, Final

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from yarl import URL

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.helpers.connector import ShieldedConnector
from gypsumrouter.helpers.http_response import MAX_ANSWER_BYTES
from gypsumrouter.helpers.tls import TlsFiles, make_client_context
from gypsumrouter.instances import Address
from gypsumrouter.settings import Tls, Upstream
from gypsumrouter.upstream.const import (
    HTTP_OK,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    PROBE_TIMEOUT_MS,
)
from gypsumrouter.upstream.models import ConnectionBroken, HandOverDenied, Liveness

HandOver = Callable[[], None]

_HAND_OVER: ContextVar[HandOver | None] = ContextVar("hand_over", default=None)
_SKIPPED_HEADERS: Final = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
_BODILESS_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "DELETE", "TRACE"})


class ConnectFailed(Exception):
    """No connection could be established, so nothing was sent."""


class _HandOverConnector(ShieldedConnector):
    """Call the request's hand-over callback after the connect, before the first byte is written."""

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a new connection; nothing is sent if the callback raises."""
        connection = await super().connect(req, traces, timeout)
        hand_over = _HAND_OVER.get()
        if hand_over is None:
            return connection
        try:
            hand_over()
        except BaseException:
            connection.close()
            raise
        return connection


class Transport:
    """Open HTTP requests to one upstream."""

    __slots__ = ("_app", "_origin", "_session", "_settings")

    def __init__(self, *, app: Application, settings: Upstream) -> None:
        self._app = app
        self._settings = settings
        scheme = "https" if settings.tls is not None else "http"
        self._origin = f"{scheme}://{Address(host=settings.host, port=settings.port)}"
        self._session: aiohttp.ClientSession | None = None

    def open_session(self) -> None:
        """Create the session; raises SettingsInvalid for invalid TLS files.

        The caller must close it with `async_close`.
        """
        tls = self._settings.tls
        connector = _HandOverConnector(
            limit=0,
            force_close=True,
            ssl=True if tls is None else self._make_ssl_context(tls),
            socket_factory=_make_socket,
            happy_eyeballs_delay=None,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trust_env=False,
            middlewares=(_prevent_resend,),
            skip_auto_headers=_SKIPPED_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._settings.connect_ms / MS_PER_S
            ),
        )

    def _make_ssl_context(self, tls: Tls) -> ssl.SSLContext:
        """Return a context that follows changes of the TLS files.

        With a configured CA file the host name is not checked.
        """
        context = make_client_context(tls, check_hostname=tls.ca_file is None)
        TlsFiles(app=self._app, tls=tls, context=context).async_start()
        return context

    async def async_close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()

    async def async_open(
        self,
        *,
        method: str,
        path: str,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
        hand_over: HandOver | None = None,
    ) -> aiohttp.ClientResponse:
        """Send a request and return its response once the head has been received.

        Raises ConnectFailed if no connection was established and ConnectionBroken if the exchange
        failed after that. Exceptions of `hand_over` are propagated.
        """
        if self._session is None or self._session.closed:
            raise ConnectFailed("the HTTP session is not open")
        data = None if not body and method in _BODILESS_METHODS else body
        token = _HAND_OVER.set(hand_over)
        try:
            return await self._session.request(
                method,
                URL(self._origin + path, encoded=True),
                headers=headers or [],
                data=data,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ConnectFailed(_describe(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise ConnectionBroken(_describe(error)) from error
        finally:
            _HAND_OVER.reset(token)

    async def async_fetch_json(self, path: str) -> Any:
        """Return a JSON document of the upstream.

        Raises ConnectFailed, ConnectionBroken, TimeoutError, or ValueError for any other response.
        """
        async with asyncio.timeout(PROBE_TIMEOUT_MS / MS_PER_S):
            response = await self.async_open(method="GET", path=path)
            try:
                if response.status != HTTP_OK:
                    raise ValueError(f"{path}: expected status 200, got {response.status}")
                return _read_json(path, await async_read_body(response))
            except (aiohttp.ClientError, OSError) as error:
                raise ConnectionBroken(_describe(error)) from error
            finally:
                response.close()

    async def async_probe(self, path: str) -> Liveness:
        """Probe the upstream on a new connection; any response counts as alive."""
        try:
            await self.async_fetch_json(path)
        except ConnectFailed:
            return Liveness.UNREACHABLE
        except ConnectionBroken:
            return Liveness.BROKEN
        except TimeoutError:
            return Liveness.SILENT
        except ValueError:
            return Liveness.ANSWERS
        return Liveness.ANSWERS


async def async_read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the whole body of an answer; raises ConnectionBroken if it exceeds the limit."""
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            raise ConnectionBroken(f"the answer has more than {MAX_ANSWER_BYTES} bytes")
    return bytes(body)


async def _prevent_resend(
    request: ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from resending a request by itself when its connection breaks."""
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError, HandOverDenied):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBroken(_describe(error)) from error


def _make_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket with TCP keepalive, which detects a lost network path."""
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return made


def _read_json(path: str, body: bytes) -> Any:
    """Decode a document; raises ValueError, also for nesting that is too deep."""
    try:
        return json.loads(body)
    except RecursionError:
        raise ValueError(f"{path}: expected JSON, got nesting that is too deep") from None


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
