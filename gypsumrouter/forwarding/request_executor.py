"""Execution of admitted requests, and the records of how they end."""

from __future__ import annotations

import asyncio
from typing import Final

from aiohttp import web

from gypsumrouter.callers import CallerConnection, abort_connection
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.caller_ends import OUTCOME_CALLER_GONE, OUTCOME_CUT, describe_end
from gypsumrouter.forwarding.const import (
    MAX_BUFFERED_BYTES,
    MAX_LATE_BUFFERED_BYTES,
    RETRY_AT_ONCE_MS,
)
from gypsumrouter.forwarding.context import ForwardingContext
from gypsumrouter.forwarding.drain import DrainAdmission, RequestAdmission
from gypsumrouter.forwarding.ends.relay import CallerDisconnected
from gypsumrouter.forwarding.execution import RequestExecution
from gypsumrouter.forwarding.metrics import RequestRecords, RunningRequest
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.forwarding.progress import OUTCOME_ANSWERED, OUTCOME_ERROR, Progress
from gypsumrouter.forwarding.refusals import Refusals
from gypsumrouter.forwarding.request_journal import RequestJournal
from gypsumrouter.forwarding.stream_pin import async_find_origin
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import RouteMatch, RoutingStore
from gypsumrouter.streams import StreamOrigin

# Responses with these outcomes are complete, or are not left incomplete by their handler.
ENDED_BY_OTHERS: Final = frozenset({OUTCOME_ANSWERED, OUTCOME_CALLER_GONE, OUTCOME_CUT})


class RequestExecutor:
    """Executes requests that have a route, and records their ends."""

    __slots__ = ("_context", "_directory", "_drain", "_records", "_refusals", "_routing")

    def __init__(
        self,
        *,
        context: ForwardingContext,
        routing: RoutingStore,
        directory: Directory,
        drain: DrainAdmission,
        records: RequestRecords,
        refusals: Refusals,
    ) -> None:
        self._context = context
        self._routing = routing
        self._directory = directory
        self._drain = drain
        self._records = records
        self._refusals = refusals

    def make_admission(
        self,
        service: str,
        caller_request: CallerRequest,
        routed: RouteMatch,
        running: RunningRequest,
    ) -> RequestAdmission:
        """Return what decides whether a drain takes a request."""
        is_stream = caller_request.prompt is not None or routed.route.streamed
        disabled = Mechanism.SHUTDOWN_ADMISSION in self._context.without
        return RequestAdmission(
            None if disabled else self._drain,
            service=service,
            prompt=caller_request.prompt,
            needs_bound=running.is_late and is_stream,
        )

    async def async_execute(
        self,
        caller_request: CallerRequest,
        routed: RouteMatch,
        service: str,
        running: RunningRequest,
        progress: Progress,
    ) -> web.StreamResponse:
        """Return the response to a request after it has ended."""
        origin = None
        if caller_request.last_event_id is not None and routed.route.resumable:
            origin = await async_find_origin(
                streams=self._context.streams,
                clock=self._context.app.clock,
                journal=self._context.journal,
                request=caller_request,
                route=routed.route,
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
        running.execution = execution = self._make_execution(
            caller_request, routed, service, running, progress, origin
        )
        return await self._async_run(execution, caller_request, routed, service, running, progress)

    def _make_execution(
        self,
        caller_request: CallerRequest,
        routed: RouteMatch,
        service: str,
        running: RunningRequest,
        progress: Progress,
        origin: StreamOrigin | None,
    ) -> RequestExecution:
        web_request = running.web_request
        request_journal = RequestJournal(
            journal=self._context.journal,
            request=caller_request,
            routed=routed,
            service=service,
            configuration=self._routing.version,
            list_revision=self._directory.applied_revision,
        )
        admission = self.make_admission(service, caller_request, routed, running)
        return RequestExecution(
            context=self._context,
            request=caller_request,
            routed=routed,
            service=service,
            web_request=web_request,
            progress=progress,
            close_connection=lambda: self._drain.draining and not _has_queued_request(web_request),
            may_start=admission.may_start,
            may_replace=admission.may_replace,
            buffer_limit=MAX_LATE_BUFFERED_BYTES if running.is_late else MAX_BUFFERED_BYTES,
            request_journal=request_journal,
            origin=origin,
        )

    async def _async_run(
        self,
        execution: RequestExecution,
        caller_request: CallerRequest,
        routed: RouteMatch,
        service: str,
        running: RunningRequest,
        progress: Progress,
    ) -> web.StreamResponse:
        web_request = running.web_request
        status = 0
        try:
            response = await execution.async_run()
            status = response.status
            if progress.outcome == OUTCOME_ANSWERED:
                self._drain.durations.note(service, caller_request.prompt, progress)
        except asyncio.CancelledError:
            progress.outcome = describe_end(web_request)
            abort_connection(web_request.transport)
            raise
        except CallerDisconnected:
            progress.outcome = OUTCOME_CALLER_GONE
            abort_connection(web_request.transport)
            # aiohttp logs any other exception as an error of the handler.
            raise asyncio.CancelledError from None
        except Exception as error:
            progress.outcome = f"{OUTCOME_ERROR}{type(error).__name__}"
            if progress.status:
                # The error response would be written into the one that has begun, and end it.
                abort_connection(web_request.transport)
            raise
        finally:
            if isinstance(web_request.protocol, CallerConnection):
                web_request.protocol.upstream = progress.upstream
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
