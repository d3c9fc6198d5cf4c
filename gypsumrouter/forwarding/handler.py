"""The intake of callers' requests: their body, their route, their key, and their end."""

from __future__ import annotations

import asyncio
import logging
from typing import Final, Protocol

import xxhash
from aiohttp import web

from gypsumrouter.callers import (
    CallerConnection,
    HeldBytes,
    MemoryBudget,
    Rejection,
    abort_connection,
    async_read_body,
    count_head_bytes,
    make_error_response,
    reject_field,
    reject_head_size,
)
from gypsumrouter.const import MS_PER_S
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.answers import make_refusal, make_rejection
from gypsumrouter.forwarding.const import ANSWER_MARGIN_MS
from gypsumrouter.forwarding.leaving import Leaving, estimate_duration_ms
from gypsumrouter.forwarding.metrics import ForwardingMetrics
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.forwarding.relay import CallerGone
from gypsumrouter.forwarding.run import RequestRun, RunParts
from gypsumrouter.forwarding.story import RequestStory
from gypsumrouter.helpers.logs import set_request_id
from gypsumrouter.journal import RequestEnded, RequestRefused
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import InvalidKey, NoRoute, Route, RouteMatch, RoutingStore

_LOGGER = logging.getLogger(__name__)

# What the bodies of all running requests may take together: an eighth of the smallest instance.
MAX_BODIES_BYTES: Final = 24 * 1024 * 1024
DEFAULT_TIMEOUT_MS: Final = 15_000
# How long requests that arrive before configuration, list and cached prompts are known wait for
# them: it takes 10 to 50 ms where the store answers, and 50 ms more for the engines' lists.
START_WAIT_MS: Final = 300


class ReadRequest(Protocol):
    """Reads a request's head in the spelling of the deployment."""

    def __call__(self, *, request: web.BaseRequest, body: bytes) -> CallerRequest | None:
        """Return the request, or None where its head is malformed."""


class RequestHandler:
    """Serves every request of every caller."""

    __slots__ = (
        "_awaited",
        "_bodies",
        "_directory",
        "_inventory",
        "_leaving",
        "_metrics",
        "_minted",
        "_parts",
        "_read_request",
        "_routing",
        "_running",
    )

    def __init__(
        self,
        *,
        parts: RunParts,
        routing: RoutingStore,
        directory: Directory,
        read_request: ReadRequest,
        metrics: ForwardingMetrics,
        leaving: Leaving,
        inventory: asyncio.Event,
    ) -> None:
        self._parts = parts
        self._routing = routing
        self._directory = directory
        self._read_request = read_request
        self._metrics = metrics
        self._leaving = leaving
        self._bodies = MemoryBudget(limit=MAX_BODIES_BYTES)
        self._awaited = (routing.ready, directory.loaded)
        self._inventory = inventory
        self._running: dict[int, str] = {}
        self._minted = 0

    @property
    def running(self) -> list[str]:
        """Return the ids of the requests that run."""
        return list(self._running.values())

    def mint_request_id(self) -> str:
        """Return an id for a request that brought none."""
        self._minted += 1
        return f"{self._parts.app.incarnation:016x}-{self._minted:x}"

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request from its head to the end of its answer."""
        arrived_ms = self._parts.app.clock.now_ms()
        if isinstance(request.protocol, CallerConnection):
            request.protocol.note_request()
        held = HeldBytes(budget=self._bodies)
        self._minted += 1
        number = self._minted
        self._running[number] = "unread"
        try:
            response = await self._async_serve(request, held, arrived_ms, number)
        finally:
            held.release()
            del self._running[number]
            self._leaving.note_ended(number)
        if self._leaving.leaving and not response.prepared:
            response.force_close()
        return response

    async def _async_serve(
        self, request: web.BaseRequest, held: HeldBytes, arrived_ms: int, number: int
    ) -> web.StreamResponse:
        limits = self._routing.limits
        if count_head_bytes(request) > limits.max_head_bytes:
            return self._reject_unread(reject_head_size())
        body = await async_read_body(
            request=request,
            held=held,
            max_bytes=limits.max_body_bytes,
            idle_ms=limits.idle_timeout_ms,
        )
        if isinstance(body, Rejection):
            return self._reject_unread(body)
        read = self._read_request(request=request, body=body)
        if read is None:
            return self._reject_unread(reject_field("head", "The head is malformed"))
        self._running[number] = read.request_id
        set_request_id(read.request_id)
        return await self._async_route(request, read, arrived_ms, number)

    async def _async_route(
        self, request: web.BaseRequest, read: CallerRequest, arrived_ms: int, number: int
    ) -> web.StreamResponse:
        await self._async_wait_until_ready(read)
        table = self._routing.table
        if table is None or not self._directory.loaded.is_set():
            return self._refuse(read, Reason.NOT_READY, "The configuration is not known yet")
        match table.find(host=read.host, path=read.bare_path, key=read.key):
            case NoRoute():
                return self._reject(read, Reason.NOT_FOUND, "No route fits the host and the path")
            case InvalidKey():
                return self._reject(read, Reason.UNAUTHENTICATED, "The key is not known")
            case RouteMatch() as routed:
                duration_ms = estimate_duration_ms(read, routed.route)
                if not self._admits(duration_ms):
                    return self._refuse(read, Reason.LEAVING, "This router is stopping")
                self._leaving.note_started(number, duration_ms=duration_ms)
                return await self._async_run(request, read, routed, arrived_ms)

    async def _async_wait_until_ready(self, read: CallerRequest) -> None:
        """Wait a moment for what a starting process loads, which takes some ten milliseconds."""
        awaited = self._awaited if self._knows_prompt(read) else (*self._awaited, self._inventory)
        if all(event.is_set() for event in awaited):
            return
        patience_ms = min(START_WAIT_MS, (read.deadline_ms or DEFAULT_TIMEOUT_MS) // 3)
        try:
            async with asyncio.timeout(patience_ms / MS_PER_S):
                for event in awaited:
                    await event.wait()
        except TimeoutError:
            _LOGGER.debug("Request %s met a router that is not ready", read.request_id)

    def _admits(self, duration_ms: int) -> bool:
        if Mechanism.LEAVING_ADMISSION in self._parts.without:
            return True
        return self._leaving.admits(duration_ms=duration_ms)

    def _knows_prompt(self, read: CallerRequest) -> bool:
        """Return whether a request needs nothing that the inventory may bring."""
        return read.prompt is None or self._parts.placer.knows(read.prompt)

    async def _async_run(
        self, request: web.BaseRequest, read: CallerRequest, routed: RouteMatch, arrived_ms: int
    ) -> web.StreamResponse:
        route = routed.route
        progress = Progress(
            arrived_ms=arrived_ms, deadline_at_ms=arrived_ms + _get_time_ms(read, route)
        )
        service = choose_service(read, route)
        story = RequestStory(
            journal=self._parts.journal,
            request=read,
            routed=routed,
            service=service,
            configuration=self._routing.version,
            list_revision=self._directory.applied_revision,
        )
        run = RequestRun(
            parts=self._parts,
            request=read,
            routed=routed,
            service=service,
            web_request=request,
            progress=progress,
            closes=self._leaving.leaving,
            story=story,
        )
        status = 0
        try:
            response = await run.async_run()
            status = response.status
        except asyncio.CancelledError:
            progress.outcome = "caller_gone"
            abort_connection(request.transport)
            raise
        except CallerGone:
            progress.outcome = "caller_gone"
            abort_connection(request.transport)
            # The library ends a connection quietly for this, and as a fault for anything else.
            raise asyncio.CancelledError from None
        finally:
            self._note_end(read, routed, progress, status)
        return response

    def _refuse(self, read: CallerRequest, reason: Reason, message: str) -> web.Response:
        left_ms = read.deadline_ms or DEFAULT_TIMEOUT_MS
        response, retry_after_ms = make_refusal(
            reason=reason,
            message=message,
            request_id=read.request_id,
            left_ms=left_ms,
            dialect=self._parts.dialect,
        )
        self._note_refused(read.request_id, reason, response.status, retry_after_ms)
        return response

    def _reject(self, read: CallerRequest, reason: Reason, message: str) -> web.Response:
        response = make_rejection(reason=reason, message=message, request_id=read.request_id)
        self._note_refused(read.request_id, reason, response.status, -1)
        return response

    def _reject_unread(self, rejection: Rejection) -> web.Response:
        """Turn away what could not be read as a request; it gets an id of this router's own."""
        request_id = self.mint_request_id()
        response = make_error_response(rejection=rejection, request_id=request_id)
        self._note_refused(request_id, rejection.failure.reason, response.status, -1)
        return response

    def _note_refused(
        self, request_id: str, reason: Reason, status: int, retry_after_ms: int
    ) -> None:
        self._metrics.count_end(route="", outcome=reason.value, status=status)
        self._parts.journal.record(
            RequestRefused(
                request_id=request_id,
                route="",
                reason=reason.value,
                status=status,
                retry_after_ms=retry_after_ms,
                waited_ms=0,
                configuration=self._routing.version,
                list_revision=self._directory.applied_revision,
            )
        )

    def _note_end(
        self, read: CallerRequest, routed: RouteMatch, progress: Progress, status: int
    ) -> None:
        total_ms = self._parts.app.clock.now_ms() - progress.arrived_ms
        self._metrics.count_end(
            route=routed.route.kind.value, outcome=progress.outcome, status=status
        )
        self._metrics.observe(
            kind=routed.route.kind.value, first_byte_ms=progress.first_byte_ms, total_ms=total_ms
        )
        self._parts.journal.record(
            RequestEnded(
                request_id=read.request_id,
                route=routed.route.name,
                workspace=routed.workspace,
                outcome=progress.outcome,
                status=status,
                upstream=progress.upstream,
                attempts=progress.attempts,
                first_byte_ms=progress.first_byte_ms,
                total_ms=total_ms,
                bytes_out=progress.bytes_out,
            )
        )


def choose_service(read: CallerRequest, route: Route) -> str:
    """Return the service for a request; equal prompts of a split route go to the same one."""
    if len(route.targets) == 1:
        return route.targets[0].service
    if read.prompt is not None and read.prompt.shared:
        seed = read.prompt.shared[-1].part.to_bytes(8, "little")
    else:
        seed = read.request_id.encode()
    total = sum(target.weight for target in route.targets)
    point = xxhash.xxh3_64_intdigest(seed) / 2**64 * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service


def _get_time_ms(read: CallerRequest, route: Route) -> int:
    """Return how long the request may take: the caller's patience within the route's timeout."""
    if read.deadline_ms is None:
        return route.timeout_ms
    return min(read.deadline_ms, route.timeout_ms + ANSWER_MARGIN_MS)
