"""Stand-in of the configuration service, which routers read and watch but never write."""

from __future__ import annotations

import json
from collections import OrderedDict
from typing import Final

from aiohttp import web

from gypsumrouter.standins.faults import OutageKind
from gypsumrouter.standins.json_responses import (
    async_read_json_object,
    get_query_int,
    make_error_response,
    make_json_response,
)
from gypsumrouter.standins.platform_service import PlatformService
from gypsumrouter.standins.token_bucket import TokenBucket
from gypsumrouter.util.clock import Clock

HEADER_VERSION: Final = "X-Version"
DEFAULT_READS_PER_S: Final = 2_000
DEFAULT_WATCH_MS: Final = 30_000
MAX_VERSIONS: Final = 32


class ConfigurationService(PlatformService):
    """Serves the newest published document and counts reads and watches.

    `reads_per_s` limits the reads of all clients together; a waiting watch counts as one read per
    second. `watch_ms_total` is the total waiting time of all watches.
    """

    __slots__ = (
        "_bucket",
        "_documents",
        "_stale_share",
        "_stale_version",
        "max_waiting",
        "reads",
        "rejected",
        "version",
        "watch_ms_total",
        "watches",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        host: str = "127.0.0.1",
        port: int = 0,
        reads_per_s: float = DEFAULT_READS_PER_S,
        seed: int = 0,
    ) -> None:
        super().__init__(clock=clock, host=host, port=port, seed=seed)
        self._bucket = TokenBucket(clock=clock, rate_per_s=reads_per_s, burst=reads_per_s)
        self._documents: OrderedDict[int, bytes] = OrderedDict()
        self._stale_version: int | None = None
        self._stale_share = 1.0
        self.version = 0
        self.reads = 0
        self.watches = 0
        self.rejected = 0
        self.max_waiting = 0
        self.watch_ms_total = 0

    def publish(self, document: bytes | str) -> int:
        """Publish a JSON document with a `version` and return the version.

        Nothing else is validated, so that invalid documents can be published too.
        """
        body = document.encode() if isinstance(document, str) else document
        self.version = int(json.loads(body)["version"])
        self._documents[self.version] = body
        while len(self._documents) > MAX_VERSIONS:
            self._documents.popitem(last=False)
        self._changes.notify()
        return self.version

    def serve_stale(self, version: int | None, *, share: float = 1.0) -> None:
        """Serve an older version to a share of all calls; None ends it."""
        self._stale_version = version
        self._stale_share = share
        self._changes.notify()

    def _add_routes(self, app: web.Application) -> None:
        app.router.add_get("/v1/configuration", self._async_get)
        app.router.add_put("/standin/configuration", self._async_put)
        app.router.add_get("/standin/counts", self._async_get_counts)
        app.router.add_post("/standin/stale", self._async_post_stale)

    async def _async_get(self, request: web.Request) -> web.StreamResponse:
        if self._outage.kind is OutageKind.ERROR:
            return make_error_response(status=503, code="outage")
        if not self._bucket.try_acquire(reserved_per_s=self.waiting):
            self.rejected += 1
            return make_error_response(status=429, code="read_limit")
        if "watch" not in request.query:
            self.reads += 1
            return self._make_response(self._choose_version())
        self.watches += 1
        return await self._async_watch(
            after_version=get_query_int(request, "watch", 0),
            timeout_ms=get_query_int(request, "timeout_ms", DEFAULT_WATCH_MS),
        )

    async def _async_watch(self, *, after_version: int, timeout_ms: int) -> web.StreamResponse:
        started_ms = self._clock.now_ms()
        try:
            while True:
                if self._outage.kind is OutageKind.ERROR:
                    return make_error_response(status=503, code="outage")
                await self._gate.async_wait_open()
                version = self._choose_version()
                if version > after_version:
                    return self._make_response(version)
                remaining_ms = started_ms + timeout_ms - self._clock.now_ms()
                if remaining_ms <= 0:
                    return web.Response(status=204, headers={HEADER_VERSION: str(version)})
                self.max_waiting = max(self.max_waiting, self.waiting + 1)
                await self._changes.async_wait(remaining_ms)
        finally:
            self.watch_ms_total += self._clock.now_ms() - started_ms

    def _choose_version(self) -> int:
        stale = self._stale_version
        if stale is None or stale not in self._documents:
            return self.version
        return stale if self._random.random() < self._stale_share else self.version

    def _make_response(self, version: int) -> web.Response:
        document = self._documents.get(version)
        if document is None:
            return make_error_response(status=404, code="nothing_published")
        return web.Response(
            body=document,
            content_type="application/json",
            headers={HEADER_VERSION: str(version)},
        )

    async def _async_put(self, request: web.Request) -> web.Response:
        try:
            version = self.publish(await request.read())
        except (ValueError, KeyError, TypeError):
            raise web.HTTPBadRequest(text="a JSON object with a version is needed") from None
        return make_json_response({"version": version})

    async def _async_get_counts(self, _request: web.Request) -> web.Response:
        return make_json_response(
            {
                "version": self.version,
                "reads": self.reads,
                "watches": self.watches,
                "refused": self.rejected,
                "waiting": self.waiting,
                "max_waiting": self.max_waiting,
                "watch_ms_total": self.watch_ms_total,
            }
        )

    async def _async_post_stale(self, request: web.Request) -> web.Response:
        payload = await async_read_json_object(request)
        version = payload.get("version")
        self.serve_stale(
            None if version is None else int(version), share=float(payload.get("share", 1.0))
        )
        return make_json_response({})
