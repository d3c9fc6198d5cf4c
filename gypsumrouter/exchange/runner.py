"""One request from the link to the upstream and back, in the order that the promises need."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from gypsumrouter.admission import Admission
from gypsumrouter.configuration import ConfigurationStore
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.core import Application, Remove
from gypsumrouter.exchange.checks import Checks
from gypsumrouter.exchange.execution import Execution
from gypsumrouter.exchange.metrics import ExchangeMetrics
from gypsumrouter.exchange.once import OnceExchange, OnceParts
from gypsumrouter.exchange.ports import NoPrefixes, PrefixMoves
from gypsumrouter.exchange.repeatable import RepeatableExchange
from gypsumrouter.idempotency import Idempotency
from gypsumrouter.link import Answer
from gypsumrouter.link.models import Hello, Open, Status
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused
from gypsumrouter.settings import SideSettings
from gypsumrouter.suspicion import Suspicion
from gypsumrouter.upstream import UpstreamClient

_LOGGER = logging.getLogger(__name__)

DUMP_SECTION = "exchange"


class ExchangeRunner:
    """Run every request of a side.

    The order is: pool, memory of calls that must not be repeated, leaving and readiness, model,
    suspicion, admission, upstream. All before the hand-over may refuse, nothing after it.
    """

    __slots__ = (
        "_active",
        "_admission",
        "_app",
        "_checks",
        "_client",
        "_execution",
        "_idempotency",
        "_idle",
        "_listeners",
        "_metrics",
        "_once",
        "_prefixes",
        "_settings",
        "_store",
        "_suspicion",
        "leaving",
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
        suspicion: Suspicion,
        prefixes: PrefixMoves | None = None,
    ) -> None:
        self._app = app
        self._prefixes = prefixes or NoPrefixes()
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
        self._checks = Checks(settings=settings.upstream, store=store, client=upstream)
        self._execution = Execution(app=app, client=upstream, suspicion=suspicion)
        self._once = OnceParts(
            app=app,
            admission=admission,
            execution=self._execution,
            idempotency=idempotency,
            limit_ms=settings.limits.default_deadline_ms,
            vet=self._vet,
            count_run=self._count,
        )
        self.leaving = False

    @property
    def active(self) -> int:
        """Return how many exchanges and runs have not ended."""
        return self._active

    async def async_start(self) -> None:
        """Follow the configuration and the upstream, and take part in a planned stop."""
        self._configure(self._store.current)
        self._store.on_change(self._configure)
        self._client.on_crash(self._note_upstream_died)
        self._client.on_up(lambda _up: self._notify())
        self._client.on_models(self._notify)
        self._admission.on_change(self._notify)
        self._app.on_drain(self._async_drain)
        self._app.add_dump_section(DUMP_SECTION, self._dump)

    def on_status(self, listener: Callable[[], None]) -> Remove:
        """Register a listener for each change of what `make_status` returns."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def make_status(self) -> Status:
        """Return what this side says of itself now."""
        return Status(
            load=self._admission.load,
            running=self._admission.running,
            weight=self._settings.upstream.weight,
            leaving=self.leaving,
            ready=not self.leaving and self._checks.ready,
            models=self._client.models,
            batch_waiting=self._admission.batch_waiting,
        )

    def begin_leaving(self) -> None:
        """Refuse all new and waiting work from now on; what runs goes on."""
        if self.leaving:
            return
        self.leaving = True
        _LOGGER.info("Leaving: new work is refused")
        self._admission.stop()
        self._notify()

    async def async_handle(self, hello: Hello, request: Open, answer: Answer) -> None:
        """Run one request and end its answer."""
        self._count(1)
        try:
            failure = await self._async_run(request, answer)
        finally:
            self._count(-1)
        if failure is None and answer.cancelled.is_set():
            failure = Failed(reason=Reason.CANCELLED, message="the caller is gone")
        self._metrics.count(failure)
        _log(hello, request, failure)
        if failure is None:
            answer.end()
        else:
            answer.fail(failure)

    async def _async_run(self, request: Open, answer: Answer) -> Failure | None:
        refused = self._checks.find_wrong_upstream(request)
        if refused is not None:
            return refused
        if request.idempotency_key:
            # What is remembered is told in any case, so memory comes before what may refuse.
            once = OnceExchange(parts=self._once, request=request, answer=answer)
            return await once.async_run()
        refused = self._vet(request)
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

    def _vet(self, request: Open) -> Refused | None:
        """Return why a request can't run here now, by all but admission."""
        if self.leaving:
            return Refused(reason=Reason.LEAVING, message="this side is leaving", elsewhere=True)
        refused = self._checks.find_refusal(request)
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

    def _note_upstream_died(self) -> None:
        self._metrics.deaths.inc()
        self._suspicion.note_upstream_died()
        self._prefixes.note_engine_died()

    def _count(self, change: int) -> None:
        self._active += change
        if self._active == 0:
            self._idle.set()
        else:
            self._idle.clear()

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()

    async def _async_drain(self) -> None:
        self.begin_leaving()
        await self._idle.wait()

    def _dump(self) -> dict[str, object]:
        return {
            "active": self._active,
            "leaving": self.leaving,
            "ready": self._checks.ready,
            "outcomes": self._metrics.dump(),
        }


def _log(hello: Hello, request: Open, failure: Failure | None) -> None:
    outcome = "whole" if failure is None else failure.reason.value
    _LOGGER.debug(
        "Request %s from %s, attempt %s: %s",
        request.request_id,
        hello.name,
        request.attempt,
        outcome,
    )
