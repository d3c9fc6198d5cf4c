"""Entry point for the requests that a side receives over its link."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from gypsumrouter.admission import Admission
from gypsumrouter.configuration import ConfigurationStore
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.core import Application, Remove
from gypsumrouter.exchange.at_most_once import AtMostOnceContext, AtMostOnceExchange
from gypsumrouter.exchange.checks import RequestChecks
from gypsumrouter.exchange.execution import Execution
from gypsumrouter.exchange.metrics import ExchangeMetrics
from gypsumrouter.exchange.ports import NoPrefixTransfers, PrefixTransfers
from gypsumrouter.exchange.repeatable import RepeatableExchange
from gypsumrouter.idempotency import Idempotency
from gypsumrouter.link import Answer
from gypsumrouter.link.models import Hello, Open, Status
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused
from gypsumrouter.settings import SideSettings
from gypsumrouter.suspicion import SuspectTracker
from gypsumrouter.upstream import UpstreamClient

_LOGGER = logging.getLogger(__name__)

DUMP_SECTION = "exchange"


class ExchangeRunner:
    """Runs all requests of a side.

    The steps are, in this order: check the target pool, look up stored at-most-once calls, check
    draining, readiness and the model, check for requests suspected of crashing the upstream, queue
    for admission, and send to the upstream. A request can be refused until it is sent.
    """

    __slots__ = (
        "_active",
        "_admission",
        "_app",
        "_at_most_once_context",
        "_checks",
        "_client",
        "_execution",
        "_idempotency",
        "_idle",
        "_listeners",
        "_metrics",
        "_prefixes",
        "_settings",
        "_store",
        "_suspicion",
        "draining",
    )

    def __init__(
        self,
        *,
        app: Application,
        settings: SideSettings,
        store: ConfigurationStore,
        admission: Admission,
        upstream: UpstreamClient,
        idempotency: Idempotency,
        suspicion: SuspectTracker,
        prefixes: PrefixTransfers | None = None,
    ) -> None:
        self._app = app
        self._prefixes = prefixes or NoPrefixTransfers()
        self._settings = settings
        self._store = store
        self._admission = admission
        self._client = upstream
        self._idempotency = idempotency
        self._suspicion = suspicion
        self._active = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._listeners: list[Callable[[], None]] = []
        self._metrics = ExchangeMetrics(registry=app.metrics)
        self._checks = RequestChecks(settings=settings.upstream, store=store, client=upstream)
        self._execution = Execution(app=app, client=upstream, suspicion=suspicion)
        self._at_most_once_context = AtMostOnceContext(
            app=app,
            admission=admission,
            execution=self._execution,
            idempotency=idempotency,
            max_detached_ms=settings.limits.default_deadline_ms,
            check=self._check,
            count_active=self._count_active,
        )
        self.draining = False

    @property
    def active(self) -> int:
        """Return the number of requests and detached runs in progress."""
        return self._active

    async def async_start(self) -> None:
        """Subscribe to configuration and upstream changes, and register the drain hook."""
        self._configure(self._store.current)
        self._store.on_change(self._configure)
        self._client.on_crash(self._handle_upstream_crash)
        self._client.on_up(lambda _up: self._notify())
        self._client.on_models(self._notify)
        self._admission.on_change(self._notify)
        self._app.on_drain(self._async_drain)
        self._app.add_dump_section(DUMP_SECTION, self._dump)

    def on_status(self, listener: Callable[[], None]) -> Remove:
        """Register a listener for changes of the status."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def make_status(self) -> Status:
        """Return the current status that is sent to routers."""
        return Status(
            load=self._admission.load,
            running=self._admission.running,
            weight=self._settings.upstream.weight,
            leaving=self.draining,
            ready=not self.draining and self._checks.ready,
            models=self._client.models,
            batch_waiting=self._admission.batch_waiting,
        )

    def begin_drain(self) -> None:
        """Refuse new and queued requests from now on; running ones continue."""
        if self.draining:
            return
        self.draining = True
        _LOGGER.info("Draining: refusing new and queued requests, running requests continue")
        self._admission.stop()
        self._notify()

    async def async_handle(self, hello: Hello, request: Open, answer: Answer) -> None:
        """Run one request and complete its answer."""
        self._count_active(1)
        try:
            failure = await self._async_run(request, answer)
        finally:
            self._count_active(-1)
        if failure is None and answer.cancelled.is_set():
            failure = Failed(reason=Reason.CANCELLED, message="the caller is gone")
        self._metrics.count(failure)
        _log(hello, request, failure)
        if failure is None:
            answer.end()
        else:
            answer.fail(failure)

    async def _async_run(self, request: Open, answer: Answer) -> Failure | None:
        refused = self._checks.check_target(request)
        if refused is not None:
            return refused
        if request.idempotency_key:
            # Stored outcomes are returned even while draining or not ready.
            exchange = AtMostOnceExchange(
                context=self._at_most_once_context, request=request, answer=answer
            )
            return await exchange.async_run()
        refused = self._check(request)
        if refused is not None:
            return refused
        repeatable = RepeatableExchange(
            app=self._app,
            admission=self._admission,
            execution=self._execution,
            prefixes=self._prefixes,
            request=request,
            answer=answer,
        )
        return await repeatable.async_run()

    def _check(self, request: Open) -> Refused | None:
        """Return a refusal if a request cannot be queued for admission, else None."""
        if self.draining:
            return Refused(reason=Reason.LEAVING, message="this side is leaving", elsewhere=True)
        refused = self._checks.check_request(request)
        if refused is not None:
            return refused
        verdict = self._suspicion.check(request.digest)
        return verdict if isinstance(verdict, Refused) else None

    def _configure(self, configuration: Configuration) -> None:
        self._checks.configure(configuration)
        pool = next(
            (pool for pool in configuration.pools if pool.name == self._settings.upstream.pool),
            None,
        )
        if pool is not None:
            self._admission.configure(configuration, pool)
            self._idempotency.configure(pool)
        self._notify()

    def _handle_upstream_crash(self) -> None:
        self._metrics.crashes.inc()
        self._suspicion.handle_upstream_crash()
        self._prefixes.handle_engine_crash()

    def _count_active(self, change: int) -> None:
        self._active += change
        if self._active == 0:
            self._idle.set()
        else:
            self._idle.clear()

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()

    async def _async_drain(self) -> None:
        self.begin_drain()
        await self._idle.wait()

    def _dump(self) -> dict[str, object]:
        return {
            "active": self._active,
            "leaving": self.draining,
            "ready": self._checks.ready,
            "outcomes": self._metrics.dump(),
        }


def _log(hello: Hello, request: Open, failure: Failure | None) -> None:
    outcome = "complete" if failure is None else failure.reason.value
    _LOGGER.debug(
        "Request %s from %s, attempt %s: %s",
        request.request_id,
        hello.name,
        request.attempt,
        outcome,
    )
