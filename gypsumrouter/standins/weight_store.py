"""Stand-in of the weight store, which engines load models from at a limited rate."""

from __future__ import annotations

from collections import deque
from typing import Final

from aiohttp import web

from gypsumrouter.instances import Address
from gypsumrouter.standins.faults import Gate, Outage, OutageKind
from gypsumrouter.standins.json_responses import make_error_response, make_json_response
from gypsumrouter.standins.listener import StandinListener
from gypsumrouter.standins.token_bucket import TokenBucket
from gypsumrouter.util.clock import Clock

DEFAULT_FETCHES_PER_S: Final = 0.5
DEFAULT_BURST: Final = 2
DEFAULT_FETCH_MS: Final = 2_000
MAX_FETCHES: Final = 10_000


class WeightStore:
    """Serves `GET /v1/weights/{model}?version=V` in `fetch_ms`, or responds 429 above the rate.

    `fetched_ms` is the wall time at the start of each accepted fetch.
    """

    __slots__ = ("_bucket", "_clock", "_fetch_ms", "_listener", "_outage", "fetched_ms", "rejected")

    def __init__(
        self,
        *,
        clock: Clock,
        host: str = "127.0.0.1",
        port: int = 0,
        fetches_per_s: float = DEFAULT_FETCHES_PER_S,
        burst: int = DEFAULT_BURST,
        fetch_ms: int = DEFAULT_FETCH_MS,
    ) -> None:
        self._clock = clock
        self._fetch_ms = fetch_ms
        self._bucket = TokenBucket(clock=clock, rate_per_s=fetches_per_s, burst=burst)
        self.fetched_ms: deque[int] = deque(maxlen=MAX_FETCHES)
        self.rejected = 0
        gate = Gate()
        app = web.Application(middlewares=[gate.async_middleware])
        self._listener = StandinListener(app=app, host=host, port=port)
        self._outage = Outage(listener=self._listener, gate=gate, on_change=lambda: None)
        app.router.add_get("/v1/weights/{model}", self._async_get)
        app.router.add_post("/standin/outage", self._outage.async_post)

    @property
    def address(self) -> Address:
        """Return the address of the listener."""
        return self._listener.address

    async def async_start(self) -> Address:
        """Start listening and return the address."""
        return await self._listener.async_start()

    async def async_stop(self) -> None:
        """Stop the service and reset its connections."""
        await self._listener.async_stop()

    def set_rate(self, fetches_per_s: float) -> None:
        """Change the limit of fetches per second."""
        self._bucket.rate_per_s = fetches_per_s

    async def async_set_outage(self, kind: OutageKind) -> None:
        """Start, change or end (NONE) an outage."""
        await self._outage.async_set(kind)

    async def _async_get(self, request: web.Request) -> web.Response:
        if self._outage.kind is OutageKind.ERROR:
            return make_error_response(status=503, code="outage")
        if not self._bucket.try_acquire():
            self.rejected += 1
            return make_error_response(status=429, code="weight_store_rate")
        self.fetched_ms.append(self._clock.wall_ms())
        await self._clock.async_sleep(self._fetch_ms)
        version = request.query.get("version", "")
        return make_json_response({"model": request.match_info["model"], "version": version})
