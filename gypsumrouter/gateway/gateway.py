"""Construction, start and drain of the gateway."""

from __future__ import annotations

import logging
import ssl
from collections import Counter
from typing import TYPE_CHECKING, Final

from gypsumrouter.callers import (
    KEEPALIVE_TIMEOUT_MS,
    CallerListener,
    CallerServer,
    ConnectionDrain,
    ConnectionLimits,
    ConnectionState,
)
from gypsumrouter.configuration import ConfigurationStore
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.core import Application
from gypsumrouter.fleet import Fleet
from gypsumrouter.gateway.budget import RetryBudget
from gypsumrouter.gateway.candidates import CandidateFinder
from gypsumrouter.gateway.const import DRAIN_DELAY_MS, DRAIN_MARGIN_MS
from gypsumrouter.gateway.diagnostics import dump_gateway, dump_running
from gypsumrouter.gateway.dispatch import Dispatcher
from gypsumrouter.gateway.handler import CallerHandler
from gypsumrouter.gateway.limits import FleetLimits, find_fleet_share, list_limit_names
from gypsumrouter.gateway.metrics import GatewayMetrics
from gypsumrouter.gateway.policies import PolicyHolder
from gypsumrouter.gateway.readiness import Readiness
from gypsumrouter.gateway.request_monitor import RequestMonitor
from gypsumrouter.gateway.running import RunningRequests
from gypsumrouter.helpers.tls import TlsFiles, make_server_context
from gypsumrouter.instances import Address
from gypsumrouter.placement import Placement
from gypsumrouter.settings import RouterSettings, Tls

if TYPE_CHECKING:
    from gypsumrouter.link import LinkPool
    from gypsumrouter.suspicion import SuspectTracker

_LOGGER = logging.getLogger(__name__)

DUMP_SECTION: Final = "gateway"


class Gateway:
    """Accepts requests of callers and dispatches them to sides."""

    __slots__ = (
        "_app",
        "_drain_ms",
        "_fleet",
        "_handler",
        "_limits",
        "_listener",
        "_monitor",
        "_policies",
        "_readiness",
        "_retry_budget",
        "_running",
        "_tls_files",
    )

    def __init__(
        self,
        *,
        app: Application,
        settings: RouterSettings,
        store: ConfigurationStore,
        fleet: Fleet,
        links: LinkPool,
        placement: Placement,
        suspicion: SuspectTracker,
    ) -> None:
        self._app = app
        self._drain_ms = settings.limits.drain_ms
        self._fleet = fleet
        self._running = RunningRequests()
        self._limits = FleetLimits(clock=app.clock)
        self._policies = PolicyHolder(app=app, store=store, on_change=self._handle_configuration)
        self._readiness = Readiness(app=app, fleet=fleet, policies=self._policies)
        self._monitor = RequestMonitor(app=app, caller_idle_ms=settings.limits.caller_idle_ms)
        self._retry_budget = RetryBudget(ratio=settings.limits.retry_ratio)
        metrics = GatewayMetrics(registry=app.metrics, count_running=lambda: len(self._running))
        dispatcher = Dispatcher(
            app=app,
            links=links,
            placement=placement,
            suspicion=suspicion,
            finder=CandidateFinder(fleet=fleet, placement=placement),
            metrics=metrics,
            budget=self._retry_budget,
            max_attempts=settings.limits.max_attempts,
        )
        self._handler = CallerHandler(
            app=app,
            settings=settings.limits,
            readiness=self._readiness,
            dispatcher=dispatcher,
            limits=self._limits,
            metrics=metrics,
            running=self._running,
            monitor=self._monitor,
        )
        connection_limits = ConnectionLimits(
            max_bytes=settings.limits.max_head_bytes,
            first_byte_timeout_ms=settings.limits.caller_idle_ms,
            head_timeout_ms=settings.limits.caller_idle_ms,
            idle_timeout_ms=KEEPALIVE_TIMEOUT_MS,
        )
        server = CallerServer(
            self._handler.async_handle,
            get_limits=lambda: connection_limits,
            generate_request_id=self._handler.generate_request_id,
        )
        self._tls_files: TlsFiles | None = None
        self._listener = CallerListener(
            settings=settings.callers, server=server, tls=self._make_tls(settings.callers.tls)
        )

    @property
    def ready(self) -> bool:
        """Return whether load balancers should send new requests."""
        return self._readiness.ready

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    def list_running(self) -> list[dict[str, object]]:
        """Return the running requests as plain JSON data."""
        return dump_running(self._running, now_ms=self._app.clock.now_ms())

    async def async_start(self) -> Address:
        """Start listening and return the address; rejects requests until the gateway is ready."""
        self._fleet.on_change(self._update_fleet_share)
        self._update_fleet_share()
        self._policies.async_start()
        self._monitor.async_start()
        if self._tls_files is not None:
            self._tls_files.async_start()
        address = await self._listener.async_start()
        self._app.on_drain(self._async_drain)
        self._app.on_stop(self._listener.async_close)
        self._app.add_dump_section(DUMP_SECTION, self._dump)
        _LOGGER.info("Listening for callers at %s", address)
        return address

    def _make_tls(self, tls: Tls | None) -> ssl.SSLContext | None:
        if tls is None:
            return None
        context = make_server_context(tls)
        self._tls_files = TlsFiles(app=self._app, tls=tls, context=context)
        return context

    async def _async_drain(self) -> None:
        """Wait for load balancers to react, reject new requests, finish the running ones."""
        drain = ConnectionDrain(
            clock=self._app.clock,
            server=self._listener,
            limit_at_ms=self._app.clock.now_ms() + max(0, self._drain_ms - DRAIN_MARGIN_MS),
            on_closing=_log_closing,
        )
        drain.begin()
        await self._app.clock.async_sleep(DRAIN_DELAY_MS)
        self._readiness.closed = True
        await drain.async_run()

    def _update_fleet_share(self) -> None:
        self._limits.share = find_fleet_share(own_name=self._app.name, peers=self._fleet.peers())

    def _handle_configuration(self, configuration: Configuration) -> None:
        self._limits.retain(list_limit_names(configuration))

    def _dump(self) -> object:
        return dump_gateway(
            readiness=self._readiness,
            running=self._running,
            retries=self._retry_budget,
            limits=self._limits,
            buffered_bytes=self._handler.buffered_bytes,
            aborted_callers=self._monitor.aborted,
            now_ms=self._app.clock.now_ms(),
        )


def _log_closing(states: Counter[ConnectionState]) -> None:
    counts = ", ".join(f"{count} {state.value}" for state, count in sorted(states.items()))
    _LOGGER.info("Draining: rejecting new requests and closing connections (%s)", counts or "none")
