"""Handling of callers' requests: reading, routing, admission and journalling."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from typing import Final, Protocol

from aiohttp import web

from gypsumrouter.callers import (
    BrokenAnswer,
    CallerConnection,
    MemoryBudget,
    MemoryReservation,
    Rejection,
    abort_connection,
    async_read_body,
    count_head_bytes,
    reject_field,
    reject_head_size,
)
from gypsumrouter.const import HEADER_REQUEST_ID, MS_PER_S
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.const import (
    MAX_BUFFERED_BYTES,
    MAX_LATE_BUFFERED_BYTES,
    RETRY_AT_ONCE_MS,
)
from gypsumrouter.forwarding.context import ForwardingContext
from gypsumrouter.forwarding.drain import DrainAdmission, RequestAdmission
from gypsumrouter.forwarding.ends.relay import CallerDisconnected
from gypsumrouter.forwarding.execution import RequestExecution
from gypsumrouter.forwarding.metrics import ForwardingMetrics, RequestRecords, RunningRequest
from gypsumrouter.forwarding.models import CallerRequest, MalformedHead
from gypsumrouter.forwarding.progress import (
    OUTCOME_ANSWERED,
    OUTCOME_ERROR,
    Progress,
    get_time_limit_ms,
)
from gypsumrouter.forwarding.refusals import DEFAULT_TIMEOUT_MS, Refusals
from gypsumrouter.forwarding.request_journal import RequestJournal
from gypsumrouter.forwarding.stream_pin import async_find_origin
from gypsumrouter.helpers.logs import set_request_id
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import InvalidKey, NoRoute, Route, RouteMatch, RoutingStore

_LOGGER = logging.getLogger(__name__)

# Limit on the buffered bodies of all running requests together.
# It is an eighth of the memory of the smallest instance.
MAX_BUFFERED_BODY_BYTES: Final = 24 * 1024 * 1024
# How long requests wait at startup until the configuration, the upstream list and the inventory of
# cached prompts have been loaded.
# That takes 10 to 50 ms where the store responds, and 50 ms more for the listings of the engines.
STARTUP_WAIT_MS: Final = 300
# Outcomes of requests: the caller has left, or the end of the process has cut them.
OUTCOME_CALLER_GONE: Final = "caller_gone"
OUTCOME_CUT: Final = "cut_by_stop"
# Responses with these outcomes are complete, or are not left incomplete by their handler.
ENDED_BY_OTHERS: Final = frozenset({OUTCOME_ANSWERED, OUTCOME_CALLER_GONE, OUTCOME_CUT})


class RequestParser(Protocol):
    """Parses a request in the HTTP representation of the deployment."""

    def __call__(self, *, request: web.BaseRequest, body: bytes) -> CallerRequest | MalformedHead:
        """Return the request, or what is malformed in its head."""


class RequestHandler:
    """Handles the requests of all callers."""

    __slots__ = (
        "_bodies",
        "_context",
        "_directory",
        "_drain",
        "_inventory_loaded",
        "_parse_request",
        "_records",
        "_refusals",
        "_request_count",
        "_routing",
        "_running",
        "_startup_events",
        "cut",
    )

    def __init__(
        self,
        *,
        context: ForwardingContext,
        routing: RoutingStore,
        directory: Directory,
        parse_request: RequestParser,
        metrics: ForwardingMetrics,
        drain: DrainAdmission,
        inventory_loaded: asyncio.Event,
    ) -> None:
        self._context = context
        self._routing = routing
        self._directory = directory
        self._parse_request = parse_request
        self._records = RequestRecords(
            clock=context.app.clock,
            journal=context.journal,
            metrics=metrics,
            routing=routing,
            directory=directory,
        )
        self._refusals = Refusals(
            dialect=context.dialect,
            records=self._records,
            return_order=context.contention.return_order,
            generate_request_id=self.generate_request_id,
        )
        self._drain = drain
        self._bodies = MemoryBudget(limit=MAX_BUFFERED_BODY_BYTES)
        self._startup_events = (routing.ready, directory.loaded)
        self._inventory_loaded = inventory_loaded
        self._running: dict[int, RunningRequest] = {}
        self._request_count = 0
        # How many requests were under way when the process ended.
        self.cut = 0

    @property
    def running(self) -> list[str]:
        """Return the ids of the running requests; those whose body is incomplete say so."""
        return [str(running) for running in self._running.values()]

    def end_unanswered(self) -> None:
        """End the requests of whose answers no byte is written; each gets a response."""
        for running in self._running.values():
            if running.execution is not None and not running.execution.progress.status:
                running.execution.limit.end_for_stop()

    def record_cut(self, connections: Iterable[CallerConnection], *, reason: str) -> None:
        """Record what is under way on the connections as the process ends, and why it does."""
        self.cut = len(self._running)
        draining = self._drain.draining
        for running in self._running.values():
            self._records.record_cut(running, reason=reason, draining=draining)
        ids = {running.request_id for running in self._running.values()}
        for connection in connections:
            if connection.request_id not in ids:
                self._records.record_left(connection, reason=reason, draining=draining)

    def record_broken(self, answer: BrokenAnswer) -> None:
        """Record an answer that an exception kept from being written."""
        self._records.record_broken(answer, draining=self._drain.draining)

    def generate_request_id(self) -> str:
        """Return a new id for a request without one."""
        self._request_count += 1
        return f"{self._context.app.incarnation:016x}-{self._request_count:x}"

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request until its response has ended."""
        arrived_ms = self._context.app.clock.now_ms()
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        if isinstance(request.protocol, CallerConnection):
            request.protocol.stop_head_timer()
            request.protocol.request_id = request_id
            request.protocol.upstream = ""
        reservation = MemoryReservation(budget=self._bodies)
        self._request_count += 1
        number = self._request_count
        self._running[number] = RunningRequest(
            request_id=request_id,
            web_request=request,
            reservation=reservation,
            arrived_ms=arrived_ms,
        )
        try:
            return await self._async_serve(request, reservation, arrived_ms, number)
        finally:
            reservation.release()
            self._running.pop(number, None)
            self._drain.request_ended(number)

    async def _async_serve(
        self, request: web.BaseRequest, reservation: MemoryReservation, arrived_ms: int, number: int
    ) -> web.StreamResponse:
        limits = self._routing.limits
        if count_head_bytes(request) > limits.max_head_bytes:
            return self._refusals.reject_malformed(reject_head_size())
        try:
            body = await async_read_body(
                request=request,
                reservation=reservation,
                max_bytes=limits.max_body_bytes,
                get_idle_ms=lambda: self._routing.limits.idle_timeout_ms,
            )
        except asyncio.CancelledError:
            outcome = _describe_end(request)
            self._records.record_unread(request, reservation, arrived_ms, outcome=outcome)
            raise
        if isinstance(body, Rejection):
            response = self._refusals.reject_malformed(
                body, request_id=request.headers.get(HEADER_REQUEST_ID)
            )
            self._records.record_unread(
                request,
                reservation,
                arrived_ms,
                outcome=body.failure.reason.value,
                status=response.status,
            )
            return response
        caller_request = self._parse_request(request=request, body=body)
        if isinstance(caller_request, MalformedHead):
            return self._refusals.reject_malformed(
                reject_field(caller_request.field, caller_request.message),
                request_id=request.headers.get(HEADER_REQUEST_ID),
            )
        self._running[number].arriving = False
        set_request_id(caller_request.request_id)
        return await self._async_route(request, caller_request, arrived_ms, number)

    async def _async_route(
        self, request: web.BaseRequest, caller_request: CallerRequest, arrived_ms: int, number: int
    ) -> web.StreamResponse:
        await self._async_wait_until_ready(caller_request)
        table = self._routing.table
        if table is None or not self._directory.loaded.is_set():
            return self._refusals.refuse(
                caller_request, Reason.NOT_READY, "The configuration is not known yet"
            )
        match table.find(
            host=caller_request.host,
            path=caller_request.path_without_query,
            key=caller_request.api_key,
        ):
            case NoRoute():
                return self._refusals.reject(
                    caller_request, Reason.NOT_FOUND, "No route fits the host and the path"
                )
            case InvalidKey():
                return self._refusals.reject(
                    caller_request, Reason.UNAUTHENTICATED, "The key is not known"
                )
            case RouteMatch() as routed:
                service = _choose_service(caller_request, routed.route)
                limit_ms = get_time_limit_ms(caller_request, routed.route)
                running = self._running[number]
                running.is_late = self._drain.is_late
                admission = self._make_admission(service, caller_request, routed, running)
                if not admission.may_start(limit_ms):
                    return self._refusals.refuse(
                        caller_request, Reason.LEAVING, "This router is stopping"
                    )
                progress = Progress(arrived_ms=arrived_ms, deadline_at_ms=arrived_ms + limit_ms)
                running.progress = progress
                self._drain.request_started(number, service=service, progress=progress)
                return await self._async_run(caller_request, routed, service, running, progress)

    async def _async_wait_until_ready(self, caller_request: CallerRequest) -> None:
        """Wait a limited time for the data that the process loads at startup."""
        awaited = (
            self._startup_events
            if self._can_place_without_inventory(caller_request)
            else (*self._startup_events, self._inventory_loaded)
        )
        if all(event.is_set() for event in awaited):
            return
        timeout_ms = min(STARTUP_WAIT_MS, (caller_request.deadline_ms or DEFAULT_TIMEOUT_MS) // 3)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                for event in awaited:
                    await event.wait()
        except TimeoutError:
            _LOGGER.debug(
                "Startup data not loaded within the wait limit; continuing with request %s",
                caller_request.request_id,
            )

    def _make_admission(
        self,
        service: str,
        caller_request: CallerRequest,
        routed: RouteMatch,
        running: RunningRequest,
    ) -> RequestAdmission:
        is_stream = caller_request.prompt is not None or routed.route.streamed
        disabled = Mechanism.SHUTDOWN_ADMISSION in self._context.without
        return RequestAdmission(
            None if disabled else self._drain,
            service=service,
            prompt=caller_request.prompt,
            needs_bound=running.is_late and is_stream,
        )

    def _can_place_without_inventory(self, caller_request: CallerRequest) -> bool:
        """Return whether a request has no prompt, or an upstream that caches it is known."""
        return caller_request.prompt is None or self._context.placer.is_cached(
            caller_request.prompt
        )

    async def _async_run(
        self,
        caller_request: CallerRequest,
        routed: RouteMatch,
        service: str,
        running: RunningRequest,
        progress: Progress,
    ) -> web.StreamResponse:
        request = running.web_request
        route = routed.route
        origin = None
        if caller_request.last_event_id is not None and route.resumable:
            origin = await async_find_origin(
                streams=self._context.streams,
                clock=self._context.app.clock,
                journal=self._context.journal,
                request=caller_request,
                route=route,
                service=service,
            )
            if origin is None:
                return self._refusals.refuse(
                    caller_request,
                    Reason.STREAM_UNKNOWN,
                    "It is not known at which version of its upstream the stream began",
                    retry_after_ms=RETRY_AT_ONCE_MS,
                )
            service = origin.service
        request_journal = RequestJournal(
            journal=self._context.journal,
            request=caller_request,
            routed=routed,
            service=service,
            configuration=self._routing.version,
            list_revision=self._directory.applied_revision,
        )
        admission = self._make_admission(service, caller_request, routed, running)
        run = RequestExecution(
            context=self._context,
            request=caller_request,
            routed=routed,
            service=service,
            web_request=request,
            progress=progress,
            close_connection=lambda: self._drain.draining and not _has_queued_request(request),
            may_start=admission.may_start,
            may_replace=admission.may_replace,
            buffer_limit=MAX_LATE_BUFFERED_BYTES if running.is_late else MAX_BUFFERED_BYTES,
            request_journal=request_journal,
            origin=origin,
        )
        running.execution = run
        status = 0
        try:
            response = await run.async_run()
            status = response.status
            if progress.outcome == OUTCOME_ANSWERED:
                self._drain.durations.note(service, caller_request.prompt, progress)
        except asyncio.CancelledError:
            progress.outcome = _describe_end(request)
            abort_connection(request.transport)
            raise
        except CallerDisconnected:
            progress.outcome = OUTCOME_CALLER_GONE
            abort_connection(request.transport)
            # aiohttp logs any other exception as an error of the handler.
            raise asyncio.CancelledError from None
        except Exception as error:
            progress.outcome = f"{OUTCOME_ERROR}{type(error).__name__}"
            if progress.status:
                # The error response would be written into the one that has begun, and end it.
                abort_connection(request.transport)
            raise
        finally:
            if isinstance(request.protocol, CallerConnection):
                request.protocol.upstream = progress.upstream
            if (
                progress.status or progress.is_ended_by_router
            ) and progress.outcome not in ENDED_BY_OTHERS:
                self._records.record_cut(
                    running, reason=progress.outcome, draining=self._drain.draining
                )
            self._records.record_end(caller_request, routed, progress, status)
        return response


def _has_queued_request(request: web.BaseRequest) -> bool:
    """Return whether the caller has sent another request behind this one."""
    connection = request.protocol
    return isinstance(connection, CallerConnection) and connection.has_queued_request


def _describe_end(request: web.BaseRequest) -> str:
    """Return the outcome of a request whose connection has ended."""
    connection = request.protocol
    was_cut = isinstance(connection, CallerConnection) and connection.was_cut
    return OUTCOME_CUT if was_cut else OUTCOME_CALLER_GONE


def _choose_service(caller_request: CallerRequest, route: Route) -> str:
    """Return the service for a request; a split route keeps equal prompts on one service."""
    if caller_request.prompt is not None and caller_request.prompt.shared:
        return route.choose_service(caller_request.prompt.shared[-1].part.to_bytes(8, "little"))
    return route.choose_service(caller_request.request_id.encode())
