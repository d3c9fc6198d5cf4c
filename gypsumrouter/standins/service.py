"""Stand-in of a plain service that counts executions by idempotency key and request id."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter, deque
from typing import Final

from aiohttp import web
from msgspec import Struct
from msgspec.structs import asdict

from gypsumrouter.const import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID
from gypsumrouter.instances import Address
from gypsumrouter.standins.faults import Gate
from gypsumrouter.standins.json_responses import MAX_BODY_BYTES, make_json_response
from gypsumrouter.standins.listener import StandinListener
from gypsumrouter.standins.load_history import LoadHistory
from gypsumrouter.util.clock import Clock

HEADER_DELAY: Final = "X-Standin-Delay-Ms"
DEFAULT_RESTART_MS: Final = 1_000
DEFAULT_LOAD_LAG_MS: Final = 500
MAX_EXECUTIONS: Final = 1_000_000


class Execution(Struct, frozen=True, kw_only=True):
    """One execution of a call; `number` counts the executions with the same key."""

    number: int
    key: str
    request_id: str
    method: str
    path: str
    body_digest: str
    wall_ms: int


def digest_body(body: bytes) -> str:
    """Return the digest of a request body, which the response contains."""
    return hashlib.sha256(body).hexdigest()


class Service:
    """Accepts any method and path; a call counts as executed once its body has been received.

    Times are in milliseconds. A body that contains `crash_marker` crashes the service: all
    connections are reset, and it listens again after `restart_ms`. Counters are kept.
    """

    __slots__ = (
        "_clock",
        "_crash_marker",
        "_gate",
        "_listener",
        "_load_lag_ms",
        "_restart_ms",
        "_restart_task",
        "_running",
        "crashes",
        "delay_ms",
        "executions",
        "executions_by_key",
        "executions_by_request",
        "history",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        host: str = "127.0.0.1",
        port: int = 0,
        delay_ms: int = 0,
        crash_marker: str = "",
        restart_ms: int = DEFAULT_RESTART_MS,
        load_lag_ms: int = DEFAULT_LOAD_LAG_MS,
    ) -> None:
        self._clock = clock
        self.delay_ms = delay_ms
        self._crash_marker = crash_marker.encode()
        self._restart_ms = restart_ms
        self._load_lag_ms = load_lag_ms
        self._running = 0
        self._restart_task: asyncio.Task[None] | None = None
        self.crashes = 0
        self.executions: deque[Execution] = deque(maxlen=MAX_EXECUTIONS)
        self.executions_by_key: Counter[str] = Counter()
        self.executions_by_request: Counter[str] = Counter()
        self.history = LoadHistory(clock=clock)
        self._gate = Gate()
        self._listener = StandinListener(app=self._make_app(), host=host, port=port)

    @property
    def address(self) -> Address:
        """Return the address of the listener."""
        return self._listener.address

    async def async_start(self) -> Address:
        """Start listening and return the address."""
        return await self._listener.async_start()

    async def async_stop(self) -> None:
        """Stop the service and reset its connections."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self._listener.async_stop()

    def crash(self) -> None:
        """Reset all connections and listen again after the restart time."""
        self.crashes += 1
        self._listener.close()
        if self._restart_task is None or self._restart_task.done():
            self._restart_task = asyncio.get_running_loop().create_task(self._async_restart())

    def freeze(self) -> None:
        """Keep accepting connections, but send no responses."""
        self._gate.close()

    def thaw(self) -> None:
        """Send responses again, including those held while frozen."""
        self._gate.open()

    async def _async_restart(self) -> None:
        await self._clock.async_sleep(self._restart_ms)
        await self._listener.async_open()

    def _make_app(self) -> web.Application:
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._gate.async_middleware]
        )
        app.router.add_get("/load", self._async_get_load)
        app.router.add_get("/standin/executions", self._async_get_executions)
        app.router.add_post("/standin/{command:crash|freeze|thaw}", self._async_post_command)
        app.router.add_route("*", "/{path:.*}", self._async_execute)
        return app

    async def _async_execute(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        execution = self._record_execution(request, body)
        if self._crash_marker and self._crash_marker in body:
            self.crash()
        self._record_running(1)
        try:
            await self._async_delay(request)
            await self._gate.async_wait_open()
        finally:
            self._record_running(-1)
        return make_json_response(
            {
                "method": execution.method,
                "path": execution.path,
                "key": execution.key,
                "execution": execution.number,
                "body_digest": execution.body_digest,
            }
        )

    def _record_execution(self, request: web.Request, body: bytes) -> Execution:
        key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        self.executions_by_key[key] += 1
        self.executions_by_request[request_id] += 1
        execution = Execution(
            number=self.executions_by_key[key],
            key=key,
            request_id=request_id,
            method=request.method,
            path=request.path_qs,
            body_digest=digest_body(body),
            wall_ms=self._clock.wall_ms(),
        )
        self.executions.append(execution)
        return execution

    async def _async_delay(self, request: web.Request) -> None:
        text = request.headers.get(HEADER_DELAY, "")
        delay_ms = int(text) if text.isdecimal() else self.delay_ms
        if delay_ms > 0:
            await self._clock.async_sleep(delay_ms)

    def _record_running(self, change: int) -> None:
        self._running += change
        self.history.record(running=self._running, waiting=0)

    async def _async_get_load(self, _request: web.Request) -> web.Response:
        sample = self.history.get_lagged(self._load_lag_ms)
        as_of_ms = self._clock.wall_ms() - self._load_lag_ms
        return make_json_response({"running": sample.running, "as_of_ms": as_of_ms})

    async def _async_get_executions(self, _request: web.Request) -> web.Response:
        return make_json_response(
            {"executions": [asdict(execution) for execution in self.executions]}
        )

    async def _async_post_command(self, request: web.Request) -> web.Response:
        match request.match_info["command"]:
            case "crash":
                asyncio.get_running_loop().call_soon(self.crash)
            case "freeze":
                self.freeze()
            case _:
                self.thaw()
        return make_json_response({})
