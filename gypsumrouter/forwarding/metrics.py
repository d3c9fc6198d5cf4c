"""Request counters and latency histograms of the forwarder, and its records of requests."""

from __future__ import annotations

from typing import Final

from aiohttp import web
from msgspec import Struct

from gypsumrouter.callers import BrokenAnswer, CallerConnection, MemoryReservation
from gypsumrouter.const import HEADER_REQUEST_ID
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.execution import RequestExecution
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.journal import (
    Journal,
    RequestCut,
    RequestEnded,
    RequestRefused,
    RequestUnread,
    ResponseUntaken,
)
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import RouteMatch, RoutingStore
from gypsumrouter.util.clock import Clock

# Upper bounds in milliseconds, finest around the usual latency targets of 100 to 800 ms.
LATENCY_BUCKETS: Final[list[float]] = [
    5,
    10,
    25,
    50,
    100,
    200,
    300,
    400,
    800,
    1_600,
    3_200,
    6_400,
    15_000,
]


class ForwardingMetrics:
    """Counts requests and their latencies; the outcome label is the reason of a refusal."""

    __slots__ = ("_ended", "_first_byte", "_total")

    def __init__(self, *, app: Application) -> None:
        self._ended = app.metrics.counter(
            "gypsumrouter_requests_total", "Requests by kind of route, outcome and status"
        )
        self._first_byte = app.metrics.histogram(
            "gypsumrouter_first_byte_ms", "Time to the first byte of an answer", LATENCY_BUCKETS
        )
        self._total = app.metrics.histogram(
            "gypsumrouter_request_ms", "Time to the end of an answer", LATENCY_BUCKETS
        )

    def count_request(self, *, route: str, outcome: str, status: int) -> None:
        """Count a request that has ended; details after a colon in `outcome` are dropped."""
        reason = outcome.partition(":")[0]
        labels = (("kind", route), ("outcome", reason), ("status", str(status)))
        self._ended.inc(labels=labels)

    def observe_latency(self, *, kind: str, first_byte_ms: int, total_ms: int) -> None:
        """Record the latencies of a request; a negative `first_byte_ms` is ignored."""
        labels = (("kind", kind),)
        if first_byte_ms >= 0:
            self._first_byte.observe(first_byte_ms, labels)
        self._total.observe(total_ms, labels)


class RunningRequest(Struct, kw_only=True, eq=False):
    """A request that is under way; `progress` is None until its route is known.

    `execution` is None until it is forwarded. It is `arriving` until its body has arrived whole;
    `reservation` is the memory of that. One that `is_late` must not be cut by a stop.
    """

    request_id: str
    web_request: web.BaseRequest
    reservation: MemoryReservation
    arrived_ms: int
    arriving: bool = True
    is_late: bool = False
    progress: Progress | None = None
    execution: RequestExecution | None = None

    def __str__(self) -> str:
        if not self.arriving:
            return self.request_id
        return f"{self.request_id} ({self.reservation.size} bytes of an incomplete body)"

    @property
    def unsent_bytes(self) -> int:
        """Return the size of what the process has written and not yet sent to the caller."""
        connection = self.web_request.protocol
        return connection.unsent_bytes if isinstance(connection, CallerConnection) else 0


class RequestRecords:
    """Records how requests end, in the metrics and in the journal."""

    __slots__ = ("_clock", "_directory", "_journal", "_metrics", "_routing")

    def __init__(
        self,
        *,
        clock: Clock,
        journal: Journal,
        metrics: ForwardingMetrics,
        routing: RoutingStore,
        directory: Directory,
    ) -> None:
        self._clock = clock
        self._journal = journal
        self._metrics = metrics
        self._routing = routing
        self._directory = directory

    def record_unread(
        self,
        request: web.BaseRequest,
        reservation: MemoryReservation,
        arrived_ms: int,
        *,
        outcome: str,
        status: int = 0,
    ) -> None:
        """Record a request that ends before its body has arrived whole."""
        expected = request.content_length
        self._journal.record(
            RequestUnread(
                request_id=request.headers.get(HEADER_REQUEST_ID, ""),
                received_bytes=reservation.size,
                expected_bytes=-1 if expected is None else expected,
                after_ms=self._clock.now_ms() - arrived_ms,
                outcome=outcome,
                status=status,
            )
        )

    def record_refusal(
        self,
        request_id: str,
        reason: Reason,
        status: int,
        retry_after_ms: int,
        *,
        return_position: int = -1,
    ) -> None:
        """Record a request that is refused before it has a route."""
        self._metrics.count_request(route="", outcome=reason.value, status=status)
        self._journal.record(
            RequestRefused(
                request_id=request_id,
                route="",
                reason=reason.value,
                status=status,
                retry_after_ms=retry_after_ms,
                waited_ms=0,
                configuration=self._routing.version,
                list_revision=self._directory.applied_revision,
                return_position=return_position,
            )
        )

    def record_cut(self, running: RunningRequest, *, reason: str, draining: bool) -> None:
        """Record a request whose response this process leaves incomplete, and why it does."""
        progress, execution = running.progress, running.execution
        self._journal.record(
            RequestCut(
                request_id=running.request_id,
                reason=reason,
                upstream="" if progress is None else progress.upstream,
                status=0 if progress is None else progress.status,
                bytes_out=0 if progress is None else progress.bytes_out,
                unsent_bytes=running.unsent_bytes,
                events=0 if progress is None else progress.events,
                arriving=running.arriving,
                after_ms=self._clock.now_ms() - running.arrived_ms,
                silent_ms=-1 if execution is None else execution.silent_ms,
                longest_pause_ms=0 if progress is None else progress.longest_pause_ms,
                obstacle="" if execution is None else execution.obstacle,
                draining=draining,
            )
        )

    def record_broken(self, answer: BrokenAnswer, *, draining: bool) -> None:
        """Record a response that an exception kept from being written."""
        self._journal.record(
            RequestCut(
                request_id=answer.request_id,
                reason=answer.reason,
                upstream=answer.upstream,
                status=answer.status,
                bytes_out=answer.bytes_out,
                unsent_bytes=0,
                events=0,
                arriving=False,
                after_ms=0,
                silent_ms=-1,
                longest_pause_ms=0,
                obstacle="",
                draining=draining,
            )
        )

    def record_left(self, connection: CallerConnection, *, reason: str, draining: bool) -> None:
        """Record a complete response that its caller has not taken when its process ends."""
        if not connection.unsent_bytes:
            self._record_untaken(connection)
            return
        self._journal.record(
            RequestCut(
                request_id=connection.request_id,
                reason=reason,
                upstream=connection.upstream,
                status=0,
                bytes_out=0,
                unsent_bytes=connection.unsent_bytes,
                events=0,
                arriving=False,
                after_ms=0,
                silent_ms=-1,
                longest_pause_ms=0,
                obstacle="",
                draining=draining,
            )
        )

    def _record_untaken(self, connection: CallerConnection) -> None:
        """Record a response of which the kernel still holds a part, and sends it."""
        untaken_bytes = connection.untaken_bytes
        if untaken_bytes:
            self._journal.record(
                ResponseUntaken(
                    request_id=connection.request_id,
                    upstream=connection.upstream,
                    untaken_bytes=untaken_bytes,
                )
            )

    def record_end(
        self, caller_request: CallerRequest, routed: RouteMatch, progress: Progress, status: int
    ) -> None:
        """Record the end of a request that had a route; `status` is 0 without a response."""
        total_ms = self._clock.now_ms() - progress.arrived_ms
        self._metrics.count_request(
            route=routed.route.kind.value, outcome=progress.outcome, status=status
        )
        self._metrics.observe_latency(
            kind=routed.route.kind.value, first_byte_ms=progress.first_byte_ms, total_ms=total_ms
        )
        self._journal.record(
            RequestEnded(
                request_id=caller_request.request_id,
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
