"""The forwarder: accepts callers' connections, and drains before it stops."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Final

from aiohttp import web

from gypsumrouter.callers import (
    CallerListener,
    CallerServer,
    ConnectionDrain,
    ConnectionLimits,
    ConnectionState,
)
from gypsumrouter.contention import ContentionControl, WorkspaceShares
from gypsumrouter.core import Application
from gypsumrouter.crashes.guard import CrashGuard
from gypsumrouter.directory import Directory, Evacuations
from gypsumrouter.forwarding.budget import RetryBudget
from gypsumrouter.forwarding.connections import ConnectionPool
from gypsumrouter.forwarding.const import CALLER_TIMEOUT_MARGIN_MS
from gypsumrouter.forwarding.context import ForwardingContext
from gypsumrouter.forwarding.doubt import EndDoubts, SignlessChecks
from gypsumrouter.forwarding.drain import DrainAdmission, LoopTicks
from gypsumrouter.forwarding.drain.const import CUT_MARGIN_MS
from gypsumrouter.forwarding.ends.disorders import StreamDisorders
from gypsumrouter.forwarding.ends.evidence import EndChecks
from gypsumrouter.forwarding.ends.relay_turns import RelayTurns
from gypsumrouter.forwarding.ends.starts import UpstreamStarts
from gypsumrouter.forwarding.handler import RequestHandler
from gypsumrouter.forwarding.health.backoff import BackoffTracker
from gypsumrouter.forwarding.health.questions import ReadStart
from gypsumrouter.forwarding.health.silences import SilenceTracker
from gypsumrouter.forwarding.health.slow_start import SlowStartLimiter
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.forwarding.inventory import CacheInventory, FetchCacheListing
from gypsumrouter.forwarding.metrics import ForwardingMetrics
from gypsumrouter.forwarding.models import Dialect
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.request_contention import ContentionContext
from gypsumrouter.forwarding.request_intake import RequestParser
from gypsumrouter.forwarding.responders import HealthCheck
from gypsumrouter.forwarding.return_order import ReturnOrder
from gypsumrouter.forwarding.service_work import ServiceWorkReader
from gypsumrouter.forwarding.stream_signs import StreamSigns
from gypsumrouter.instances import Address, parse_address
from gypsumrouter.journal import ConnectionsClosing, Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.routing import RoutingStore
from gypsumrouter.settings import Bounds, ForwarderSettings, Listener
from gypsumrouter.streams import StreamOrigins, VersionHistory

_LOGGER = logging.getLogger(__name__)

CLEANUP_INTERVAL_MS: Final = 1_000
# What is still arriving this long before the end of a drain is refused.
ARRIVING_MARGIN_MS: Final = 500
# From this long before that on, what callers have not taken is passed to the kernel, this often.
KERNEL_MARGIN_MS: Final = 1_000
KERNEL_POLL_MS: Final = 50
# What has no byte of an answer this long before that gets a final response, which takes a few
# milliseconds. It is no more than the admission of a drain leaves of the time.
FINAL_RESPONSE_MARGIN_MS: Final = 100


class Forwarder:
    """Receives callers' requests and forwards each to an upstream of its route's service."""

    __slots__ = (
        "_app",
        "_directory",
        "_disabled",
        "_drain",
        "_first_start",
        "_journal",
        "_listener",
        "_loop_ticks",
        "_pool",
        "_queue",
        "_return_order",
        "_routing",
        "budget",
        "handler",
        "inventory",
        "placer",
        "shares",
        "streams",
        "suspects",
    )

    def __init__(
        self,
        *,
        app: Application,
        settings: ForwarderSettings,
        journal: Journal,
        routing: RoutingStore,
        directory: Directory,
        evacuations: Evacuations,
        dialect: Dialect,
        parse_request: RequestParser,
        fetch_cache_listing: FetchCacheListing,
        read_start: ReadStart,
        get_list_age_ms: Callable[[], int],
        get_list_as_of: Callable[[], int | None],
    ) -> None:
        self._app = app
        self._routing = routing
        self._directory = directory
        self._journal = journal
        bounds = settings.bounds
        tracks_silence = (
            settings.contention is not None and Mechanism.SILENCE not in settings.without
        )
        health = HealthTracker(
            clock=app.clock,
            journal=journal,
            silence=SilenceTracker(clock=app.clock) if tracks_silence else None,
        )
        slow_start = SlowStartLimiter(
            clock=app.clock,
            journal=journal,
            factor=bounds.warm_up_factor,
            slack=bounds.warm_up_slack,
        )
        routing.on_change(slow_start.set_table)
        self.placer = Placer(
            app=app,
            directory=directory,
            cap=Cap(factor=bounds.cap_factor, slack=bounds.cap_slack),
            health=health,
            backoffs=BackoffTracker(clock=app.clock, journal=journal),
            evacuations=evacuations,
            slow_start=slow_start,
            evacuation_ms=bounds.evacuation_ms,
            contention=settings.contention,
            without=settings.without,
        )
        engine_memory = self.placer.uneven_load.engine_memory
        if engine_memory is not None:
            routing.on_change(engine_memory.set_table)
            app.add_dump_section("engine_memory", engine_memory.summarize)
        reuse_for_all = Mechanism.KEEP_ALIVE not in settings.without
        self._pool = ConnectionPool(
            app=app,
            read_start=read_start,
            read_responder=HealthCheck(dialect=dialect),
            starts=UpstreamStarts(
                clock=app.clock,
                directory=directory,
                get_list_age_ms=get_list_age_ms,
                heartbeat_ms=settings.heartbeat_ms,
            ),
            reuse_for_all=reuse_for_all,
        )
        self.streams = StreamOrigins(
            app=app,
            versions=VersionHistory(
                clock=app.clock,
                directory=directory,
                get_list_age_ms=get_list_age_ms,
                get_list_as_of=get_list_as_of,
                first_start=settings.first_start,
            ),
        )
        self.budget = RetryBudget(
            clock=app.clock,
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_ms=bounds.retry_window_ms,
            first_start=settings.first_start,
        )
        self._loop_ticks = LoopTicks(clock=app.clock)
        self._drain = DrainAdmission(clock=app.clock, limit_ms=bounds.stop_ms - CUT_MARGIN_MS)
        self.suspects = CrashGuard(app=app, journal=journal)
        self.suspects.set_allowed(settings.allowed_parts)
        self.shares = _make_shares(app, settings)
        self._return_order: ReturnOrder | None = None
        contention = settings.contention
        if contention is not None and Mechanism.RETURN_ORDER not in settings.without:
            self._return_order = ReturnOrder(
                app=app, limit=contention.max_reservations, slow_start=slow_start
            )
        self._queue = self._make_queue(settings, journal)
        context = ForwardingContext(
            app=app,
            journal=journal,
            dialect=dialect,
            placer=self.placer,
            pool=self._pool,
            ends=EndChecks(
                app=app, pool=self._pool, directory=directory, routing=routing, journal=journal
            ),
            doubts=EndDoubts(
                signs=StreamSigns(clock=app.clock),
                signless=SignlessChecks(budget=self.budget),
                checks=app.metrics.counter(
                    "gypsumrouter_end_checks_total",
                    "Confirmed ends of streams without framing that may be resumed, by what "
                    "suggests a cut and what another run had to add",
                ),
            ),
            budget=self.budget,
            suspects=self.suspects,
            streams=self.streams,
            silences=app.metrics.counter(
                "gypsumrouter_silent_attempts_total",
                "Attempts with a silent upstream, by what it owes and why nothing takes over",
            ),
            disorders=StreamDisorders(metrics=app.metrics),
            turns=RelayTurns(),
            contention=ContentionContext(
                shares=self.shares, return_order=self._return_order, queue=self._queue
            ),
            without=settings.without,
        )
        self.inventory = CacheInventory(
            app=app,
            directory=directory,
            evacuations=evacuations,
            routing=routing,
            placer=self.placer,
            pool=self._pool,
            fetch_listing=fetch_cache_listing,
        )
        self.handler = RequestHandler(
            context=context,
            routing=routing,
            directory=directory,
            parse_request=parse_request,
            metrics=ForwardingMetrics(app=app),
            drain=self._drain,
            inventory_loaded=self.inventory.done,
        )
        self._first_start = settings.first_start
        self._disabled = settings.without
        app.add_dump_section("reading", lambda: round(self.placer.prefill_speed.tokens_per_ms, 1))
        app.add_dump_section("without", lambda: sorted(settings.without))
        self._listener: CallerListener | None = None
        self._listen(settings)

    @property
    def ready(self) -> bool:
        """Return whether load balancers should send requests to this router."""
        return (
            not self._app.stopping.is_set()
            and self._routing.table is not None
            and self._directory.loaded.is_set()
        )

    @property
    def drain_limit_ms(self) -> int:
        """Return the time limit of a drain; it is settled when one begins."""
        return self._drain.bound_duration_ms(late_ms=self._bound_lateness_ms())

    def _bound_lateness_ms(self) -> int:
        """Return how long before it was handled the signal of a stop came at most."""
        stop_at_ms = self._app.stop_at_ms
        return 0 if stop_at_ms is None else self._loop_ticks.bound_lateness_ms(stop_at_ms)

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply changed bounds from the settings; a stop that has begun keeps its time."""
        self.placer.set_bounds(
            Cap(factor=bounds.cap_factor, slack=bounds.cap_slack),
            evacuation_ms=bounds.evacuation_ms,
        )
        self.budget.set_bounds(
            ratio=bounds.retry_ratio, slack=bounds.retry_slack, window_ms=bounds.retry_window_ms
        )
        self.placer.slow_start.set_bound(factor=bounds.warm_up_factor, slack=bounds.warm_up_slack)
        if not self._drain.draining:
            self._drain.set_limit(bounds.stop_ms - CUT_MARGIN_MS)

    async def async_start(self) -> Address:
        """Start listening and return the address."""
        assert self._listener is not None
        address = await self._listener.async_start()
        self._app.on_drain(self._async_drain)
        self._app.on_stop(self._listener.async_close)
        self._app.on_stop(self._async_record_cut)
        self._app.async_create_task(self._async_clean_up(), "forwarder sweep")
        self._app.async_create_task(self._loop_ticks.async_run(), "forwarder loop ticks")
        if self._first_start or Mechanism.INVENTORY in self._disabled:
            self.inventory.mark_complete()
        else:
            self.inventory.async_start()
        return address

    def _make_queue(
        self, settings: ForwarderSettings, journal: Journal
    ) -> ContentionControl | None:
        if settings.contention is None or Mechanism.CONTENTION_QUEUE in settings.without:
            return None
        work = ServiceWorkReader(clock=self._app.clock, placer=self.placer)
        contention = ContentionControl(
            app=self._app,
            journal=journal,
            settings=settings.contention,
            get_work=work.read,
            shares=self.shares,
            without=settings.without,
        )
        self._routing.on_change(contention.set_table)
        return contention

    def _listen(self, settings: ForwarderSettings) -> None:
        server = CallerServer(
            self._async_handle,
            get_limits=self._get_head_limits,
            generate_request_id=self.handler.generate_request_id,
            on_broken=self.handler.record_broken,
        )
        callers = parse_address(settings.callers)
        self._listener = CallerListener(
            settings=Listener(host=callers.host, port=callers.port), server=server, tls=None
        )

    def _get_head_limits(self) -> ConnectionLimits:
        limits = self._routing.limits
        return ConnectionLimits(
            max_bytes=limits.max_head_bytes,
            first_byte_timeout_ms=limits.idle_timeout_ms + CALLER_TIMEOUT_MARGIN_MS,
            head_timeout_ms=limits.head_timeout_ms + CALLER_TIMEOUT_MARGIN_MS,
            idle_timeout_ms=limits.idle_timeout_ms + CALLER_TIMEOUT_MARGIN_MS,
        )

    async def _async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        return await self.handler.async_handle(request)

    async def _async_clean_up(self) -> None:
        while True:
            await self._app.clock.async_sleep(CLEANUP_INTERVAL_MS)
            self._pool.close_expired()
            self.placer.sweep()
            self.streams.sweep()
            self.suspects.sweep()
            self._drain.durations.sweep()
            if self._return_order is not None:
                self._return_order.sweep()

    async def _async_drain(self) -> None:
        """Drain: wait for load balancers to react, then for the running requests to end.

        Connections close after their responses from now on, idle ones after the wait.
        """
        assert self._listener is not None
        self._drain.begin(self._app.stop_at_ms, late_ms=self._bound_lateness_ms())
        drain = ConnectionDrain(
            clock=self._app.clock,
            server=self._listener,
            limit_at_ms=self._drain.limit_at_ms - ARRIVING_MARGIN_MS,
            on_closing=self._record_closing,
        )
        drain.begin()
        self._app.async_create_task(self._async_pass_to_kernel(), "pass answers to the kernel")
        self._app.async_create_task(self._async_end_unanswered(), "end unanswered requests")
        await self._app.clock.async_sleep(self._drain.grace_left_ms)
        await drain.async_run()

    async def _async_end_unanswered(self) -> None:
        """Refuse what waits in the queue with what still arrives, and end the others later."""
        await self._async_sleep_until(self._drain.limit_at_ms - ARRIVING_MARGIN_MS)
        if self._queue is not None:
            self._queue.refuse_waiting()
        await self._async_sleep_until(self._drain.limit_at_ms - FINAL_RESPONSE_MARGIN_MS)
        self.handler.end_unanswered()

    async def _async_pass_to_kernel(self) -> None:
        """Let the kernel take the answers of callers who read late, which it sends to their end."""
        assert self._listener is not None
        await self._async_sleep_until(self._drain.limit_at_ms - KERNEL_MARGIN_MS)
        while True:
            self._listener.pass_to_kernel()
            await self._app.clock.async_sleep(KERNEL_POLL_MS)

    async def _async_sleep_until(self, at_ms: int) -> None:
        await self._app.clock.async_sleep(max(0, at_ms - self._app.clock.now_ms()))

    async def _async_record_cut(self) -> None:
        assert self._listener is not None
        reason = self._app.end_reason
        self.handler.record_cut(self._listener.list_connections(), reason=reason)

    def _record_closing(self, states: Counter[ConnectionState]) -> None:
        self._journal.record(
            ConnectionsClosing(
                reason="drain",
                idle=states[ConnectionState.OPENED] + states[ConnectionState.IDLE],
                head=states[ConnectionState.HEAD],
                body=states[ConnectionState.BODY],
                answering=states[ConnectionState.ANSWERING],
                discarding=states[ConnectionState.DISCARDING],
            )
        )


def _make_shares(app: Application, settings: ForwarderSettings) -> WorkspaceShares | None:
    """Return the fair shares of workspaces, None if they are disabled."""
    if settings.contention is None or Mechanism.FAIR_SHARES in settings.without:
        return None
    shares = WorkspaceShares(tracked=settings.contention.tracked_workspaces)
    app.add_dump_section("workspaces", lambda: shares.dump(now_ms=app.clock.now_ms()))
    return shares
