"""Handling of one request: intake, limits, dispatch, response and metrics."""

from __future__ import annotations

import asyncio
import logging

from aiohttp import web

from gypsumrouter.callers import (
    DEFAULT_RETRY_AFTER_MS,
    CallerConnection,
    MemoryBudget,
    MemoryReservation,
    Rejection,
    get_status,
    make_error_response,
    reject,
)
from gypsumrouter.const import HEADER_REQUEST_ID
from gypsumrouter.core import Application
from gypsumrouter.gateway.const import MAX_BODIES_BYTES, MAX_LOGGED_ID_LENGTH
from gypsumrouter.gateway.dispatch import Dispatcher
from gypsumrouter.gateway.intake import Intake
from gypsumrouter.gateway.limits import FleetLimits
from gypsumrouter.gateway.metrics import GatewayMetrics, get_outcome
from gypsumrouter.gateway.models import Call, RequestResult
from gypsumrouter.gateway.policies import CompiledPolicy
from gypsumrouter.gateway.readiness import Readiness
from gypsumrouter.gateway.reply import CallerDisconnected, Reply
from gypsumrouter.gateway.reported_failure import get_reported_failure
from gypsumrouter.gateway.request_monitor import MonitoredRequest, RequestMonitor
from gypsumrouter.gateway.running import RunningRequest, RunningRequests
from gypsumrouter.helpers.logs import set_request_id
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused
from gypsumrouter.settings import Limits

_LOGGER = logging.getLogger(__name__)


class CallerHandler:
    """Handles all requests of all callers."""

    __slots__ = (
        "_answer_memory",
        "_app",
        "_body_memory",
        "_dispatcher",
        "_intake",
        "_limits",
        "_max_streams",
        "_metrics",
        "_monitor",
        "_readiness",
        "_request_count",
        "_running",
    )

    def __init__(
        self,
        *,
        app: Application,
        settings: Limits,
        readiness: Readiness,
        dispatcher: Dispatcher,
        limits: FleetLimits,
        metrics: GatewayMetrics,
        running: RunningRequests,
        monitor: RequestMonitor,
    ) -> None:
        self._app = app
        self._readiness = readiness
        self._dispatcher = dispatcher
        self._limits = limits
        self._metrics = metrics
        self._running = running
        self._monitor = monitor
        self._intake = Intake(app=app, limits=settings)
        self._max_streams = settings.max_streams
        self._body_memory = MemoryBudget(limit=MAX_BODIES_BYTES)
        self._answer_memory = MemoryBudget(limit=settings.answer_memory_bytes)
        self._request_count = 0

    @property
    def buffered_bytes(self) -> dict[str, int]:
        """Return the memory used by buffered request bodies and answers."""
        return {"bodies": self._body_memory.used, "answers": self._answer_memory.used}

    def generate_request_id(self) -> str:
        """Return a request id that is unique across all processes."""
        self._request_count += 1
        return f"{self._app.incarnation:016x}-{self._request_count:x}"

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request, from its received head to the end of its answer."""
        if isinstance(request.protocol, CallerConnection):
            request.protocol.stop_head_timer()
        running = RunningRequest(
            request_id=self.generate_request_id(), arrived_ms=self._app.clock.now_ms()
        )
        set_request_id(running.request_id)
        _log_start(request, running.request_id)
        compiled = self._check_accepting()
        if isinstance(compiled, Rejection):
            return self._reject(running, compiled)
        reservation = MemoryReservation(budget=self._body_memory)
        self._running.add(running)
        try:
            return await self._async_serve(request, running, reservation, compiled)
        except asyncio.CancelledError:
            self._record_result(
                running, RequestResult(failure=running.attempts.get_cancelled_failure())
            )
            raise
        finally:
            reservation.release()
            self._running.remove(running)

    def _check_accepting(self) -> CompiledPolicy | Rejection:
        if self._readiness.closed:
            return reject(Reason.LEAVING, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
        compiled = self._readiness.policy
        if compiled is None:
            return reject(Reason.NOT_READY, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
        if len(self._running) >= self._max_streams:
            message = "The router runs as many requests as it may"
            return reject(Reason.QUEUE_FULL, message, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
        return compiled

    async def _async_serve(
        self,
        request: web.BaseRequest,
        running: RunningRequest,
        reservation: MemoryReservation,
        compiled: CompiledPolicy,
    ) -> web.StreamResponse:
        accepted = await self._intake.async_accept(
            request=request, running=running, reservation=reservation, compiled=compiled
        )
        match accepted:
            case Rejection():
                return self._reject(running, accepted)
            case web.Response():
                self._record_result(running, RequestResult(status=accepted.status))
                return self._close_if_draining(accepted)
        running.caller_class = accepted.caller_class
        running.streamed = accepted.stream
        permit = self._limits.acquire(accepted.limits)
        if isinstance(permit, Refused):
            reported = get_reported_failure(
                call=accepted, attempts=running.attempts, failure=permit
            )
            return self._reject(running, Rejection(failure=reported))
        try:
            return await self._async_answer(request, running, accepted)
        finally:
            permit.release()

    async def _async_answer(
        self, request: web.BaseRequest, running: RunningRequest, call: Call
    ) -> web.StreamResponse:
        scope = asyncio.timeout(None)
        monitored = MonitoredRequest(
            request_id=call.request_id,
            transport=request.transport,
            scope=scope,
            deadline_at_ms=call.deadline_at_ms,
        )
        reservation = MemoryReservation(budget=self._answer_memory)
        reply = Reply(
            request=request,
            request_id=call.request_id,
            monitored=monitored,
            reservation=reservation,
            clock=self._app.clock,
            closes_connection=self._readiness.draining,
        )
        self._monitor.add(monitored)
        try:
            failure = await self._async_dispatch(call, running, reply, scope)
            monitored.scope = None
            if failure is not None:
                failure = get_reported_failure(
                    call=call, attempts=running.attempts, failure=failure
                )
            return await self._async_finish(running, reply, failure)
        finally:
            self._monitor.remove(monitored)
            reservation.release()

    async def _async_dispatch(
        self, call: Call, running: RunningRequest, reply: Reply, scope: asyncio.Timeout
    ) -> Failure | None:
        try:
            async with scope:
                return await self._dispatcher.async_run(
                    call=call, reply=reply, attempts=running.attempts
                )
        except TimeoutError:
            return running.attempts.get_deadline_failure()
        except CallerDisconnected:
            return Failed(reason=Reason.CANCELLED)

    async def _async_finish(
        self, running: RunningRequest, reply: Reply, failure: Failure | None
    ) -> web.StreamResponse:
        self._record_result(running, _make_result(running, reply, failure))
        response = reply.response
        if response is None:
            return self._respond(
                running, Rejection(failure=failure or running.attempts.get_final_failure())
            )
        if failure is not None:
            try:
                await reply.async_fail(failure)
            except CallerDisconnected:
                reply.abort()
        return response

    def _reject(self, running: RunningRequest, rejection: Rejection) -> web.StreamResponse:
        response = self._respond(running, rejection)
        self._record_result(
            running, RequestResult(status=response.status, failure=rejection.failure)
        )
        return response

    def _respond(self, running: RunningRequest, rejection: Rejection) -> web.StreamResponse:
        response = make_error_response(rejection=rejection, request_id=running.request_id)
        return self._close_if_draining(response)

    def _close_if_draining(self, response: web.Response) -> web.Response:
        """Close the connection while draining; the caller's next request goes to another router."""
        if self._readiness.draining:
            response.force_close()
        return response

    def _record_result(self, running: RunningRequest, result: RequestResult) -> None:
        result.answer_ms = self._app.clock.now_ms() - running.arrived_ms
        self._metrics.record_result(caller_class=running.caller_class, result=result)
        _LOGGER.debug(
            "Request %s of workspace %s ended at instance %s: outcome %s, status %d, reason %s",
            running.request_id,
            running.workspace or "-",
            running.attempts.instance or "-",
            get_outcome(result),
            result.status,
            "-" if result.failure is None else result.failure.reason.value,
        )


def _make_result(running: RunningRequest, reply: Reply, failure: Failure | None) -> RequestResult:
    first_token_ms = None
    if running.streamed and reply.first_data_ms is not None:
        first_token_ms = reply.first_data_ms - running.arrived_ms
    return RequestResult(
        status=reply.status if failure is None or reply.sent else get_status(failure),
        failure=failure,
        replayed=reply.replayed,
        streamed=running.streamed,
        first_token_ms=first_token_ms,
    )


def _log_start(request: web.BaseRequest, request_id: str) -> None:
    if not _LOGGER.isEnabledFor(logging.DEBUG):
        return
    caller_request_id = request.headers.get(HEADER_REQUEST_ID, "-")[:MAX_LOGGED_ID_LENGTH]
    _LOGGER.debug(
        "Request %s received: %s %s, caller's request id %r",
        request_id,
        request.method,
        request.rel_url.raw_path,
        caller_request_id,
    )
