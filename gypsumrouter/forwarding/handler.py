"""Handling of callers' requests: what is under way, and the route of each request."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from aiohttp import web

from gypsumrouter.callers import BrokenAnswer, CallerConnection, MemoryReservation
from gypsumrouter.const import HEADER_REQUEST_ID
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.context import ForwardingContext
from gypsumrouter.forwarding.drain import DrainAdmission
from gypsumrouter.forwarding.metrics import ForwardingMetrics, RequestRecords, RunningRequest
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.forwarding.progress import Progress, get_time_limit_ms
from gypsumrouter.forwarding.refusals import Refusals
from gypsumrouter.forwarding.request_executor import RequestExecutor
from gypsumrouter.forwarding.request_intake import RequestIntake, RequestParser
from gypsumrouter.forwarding.startup_wait import StartupWait
from gypsumrouter.helpers.logs import set_request_id
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import InvalidKey, NoRoute, Route, RouteMatch, RoutingStore


class RequestHandler:
    """Handles the requests of all callers."""

    __slots__ = (
        "_context",
        "_directory",
        "_drain",
        "_executor",
        "_intake",
        "_records",
        "_refusals",
        "_request_count",
        "_routing",
        "_running",
        "_startup",
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
        self._intake = RequestIntake(
            parse_request=parse_request,
            routing=routing,
            records=self._records,
            refusals=self._refusals,
        )
        self._startup = StartupWait(
            routing=routing,
            directory=directory,
            placer=context.placer,
            inventory_loaded=inventory_loaded,
        )
        self._executor = RequestExecutor(
            context=context,
            routing=routing,
            directory=directory,
            drain=drain,
            records=self._records,
            refusals=self._refusals,
        )
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
        reservation = self._intake.reserve()
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
        caller_request = await self._intake.async_read(request, reservation, arrived_ms=arrived_ms)
        if not isinstance(caller_request, CallerRequest):
            return caller_request
        self._running[number].arriving = False
        set_request_id(caller_request.request_id)
        return await self._async_route(caller_request, arrived_ms, number)

    async def _async_route(
        self, caller_request: CallerRequest, arrived_ms: int, number: int
    ) -> web.StreamResponse:
        await self._startup.async_wait(caller_request)
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
                admission = self._executor.make_admission(service, caller_request, routed, running)
                if not admission.may_start(limit_ms):
                    return self._refusals.refuse(
                        caller_request, Reason.LEAVING, "This router is stopping"
                    )
                progress = Progress(arrived_ms=arrived_ms, deadline_at_ms=arrived_ms + limit_ms)
                running.progress = progress
                self._drain.request_started(number, service=service, progress=progress)
                return await self._executor.async_execute(
                    caller_request, routed, service, running, progress
                )


def _choose_service(caller_request: CallerRequest, route: Route) -> str:
    """Return the service for a request; a split route keeps equal prompts on one service."""
    if caller_request.prompt is not None and caller_request.prompt.shared:
        return route.choose_service(caller_request.prompt.shared[-1].part.to_bytes(8, "little"))
    return route.choose_service(caller_request.request_id.encode())
