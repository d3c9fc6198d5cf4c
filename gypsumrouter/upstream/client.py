"""Base class of the clients for engines and services."""

from __future__ import annotations

import itertools
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import ClassVar, Final

import aiohttp

from gypsumrouter.core import Application, Remove
from gypsumrouter.helpers.metrics import NO_LABELS
from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused
from gypsumrouter.settings import Upstream
from gypsumrouter.upstream.const import RETRY_AFTER_MS
from gypsumrouter.upstream.headers import check_request
from gypsumrouter.upstream.health import Health
from gypsumrouter.upstream.models import (
    Cause,
    ConnectionBroken,
    HandOverDenied,
    Interrupted,
    LoadReport,
    Sink,
)
from gypsumrouter.upstream.run import ProtocolViolation, Run
from gypsumrouter.upstream.transport import ConnectFailed, Transport
from gypsumrouter.upstream.watch import SilenceLimits, Watchdog

DUMP_SECTION: Final = "upstream"
_INCARNATION_MASK: Final = 0xFFFF_FFFF

Opener = Callable[[Run], Awaitable[aiohttp.ClientResponse]]


class Attempt(StrEnum):
    """Result of one connection of a run."""

    COMPLETE = "complete"
    CANCELLED = "cancelled"
    BROKEN = "broken"
    SILENT = "silent"
    CONNECT_FAILED = "connect_failed"
    LOST = "lost"


class StreamLost(Exception):
    """The upstream no longer has a stream that was to be resumed."""


class BaseClient(ABC):
    """Send requests to one upstream over HTTP, each on its own connection."""

    _silence_limits: ClassVar[SilenceLimits]

    __slots__ = (
        "_app",
        "_health",
        "_settings",
        "_stream_numbers",
        "_transport",
        "_watchdog",
        "_withdrawn",
        "broken_runs",
        "recovered_runs",
        "silent_runs",
    )

    def __init__(self, *, app: Application, settings: Upstream) -> None:
        self._app = app
        self._settings = settings
        self._transport = Transport(app=app, settings=settings)
        self._health = Health(app=app, settings=settings, transport=self._transport)
        self._watchdog = Watchdog(
            app=app,
            silence_ms=settings.silence_ms,
            limits=self._silence_limits,
            probe=lambda: self._transport.async_probe(self._health.load_path),
        )
        self._stream_numbers = itertools.count(1)
        self._withdrawn: frozenset[str] = frozenset()
        counter = app.metrics.counter
        self.silent_runs = counter("upstream_silent_total", "Connections found silent")
        self.broken_runs = counter("upstream_broken_total", "Connections broken in an answer")
        self.recovered_runs = counter("upstream_recovered_total", "Answers on a second connection")
        app.metrics.gauge(
            "upstream_up", "Whether the upstream answers", lambda: {NO_LABELS: float(self.up)}
        )
        app.metrics.gauge(
            "upstream_deaths",
            "Deaths of the upstream while it ran requests",
            lambda: {NO_LABELS: float(self._health.generation)},
        )

    @property
    def up(self) -> bool:
        """Return whether the upstream responds to polls."""
        return self._health.up

    @property
    def models(self) -> tuple[str, ...]:
        """Return the sorted models that an engine holds and that are not withdrawn."""
        return tuple(name for name in self._health.models if name not in self._withdrawn)

    @property
    def held_models(self) -> tuple[str, ...]:
        """Return the models that an engine held at the last poll, including withdrawn ones."""
        return self._health.models

    @property
    def report(self) -> LoadReport | None:
        """Return the last load report of the upstream, or None."""
        return self._health.report

    async def async_start(self) -> None:
        """Open the session and start to poll."""
        self._transport.open_session()
        self._app.on_stop(self._transport.async_close)
        self._app.add_dump_section(DUMP_SECTION, self._dump)
        self._watchdog.start()
        self._health.start()

    def on_crash(self, listener: Callable[[], None]) -> Remove:
        """Register a listener for crashes of the upstream while it runs requests."""
        return self._health.on_crash(listener)

    def on_models(self, listener: Callable[[], None]) -> Remove:
        """Register a listener for changes of the models of an engine."""
        return self._health.on_models(listener)

    def on_up(self, listener: Callable[[bool], None]) -> Remove:
        """Register a listener for changes of `up`."""
        return self._health.on_up(listener)

    def withdraw(self, names: frozenset[str]) -> None:
        """Offer all models of the engine except these; replaces earlier withdrawals."""
        if names == self._withdrawn:
            return
        self._withdrawn = names
        self._health.notify_models()

    async def async_run(
        self,
        *,
        request: Open,
        answer: Sink,
        priority: int,
        handed_over: Callable[[], None],
    ) -> Failure | None:
        """Run one request; return None after a complete response.

        `handed_over` is called immediately before the first byte is written to the upstream, and
        may raise HandOverDenied. Refused is returned only if it was not called successfully.
        """
        refused = check_request(request)
        if refused is not None:
            return refused
        if self._health.crashed:
            # A request handed over to a crashed upstream would be counted as a cause of a crash.
            return make_unreachable()
        watch, remove = self._watchdog.watch(answer.cancelled)
        run = Run(
            request=request,
            answer=answer,
            priority=priority,
            handed_over=handed_over,
            watch=watch,
            generation=self._health.generation,
            stream_id=self._make_stream_id(request),
        )
        try:
            failure = await self._async_drive(run)
        except HandOverDenied as denied:
            return denied.failure
        except ProtocolViolation as error:
            failure = Failed(reason=Reason.UPSTREAM_PROTOCOL, message=str(error))
        finally:
            remove()
        return _correct_outcome(run, failure)

    @abstractmethod
    async def _async_drive(self, run: Run) -> Failure | None:
        """Run a request with all its attempts."""

    async def _async_attempt(self, run: Run, opener: Opener) -> Attempt:
        """Open one connection with `opener` and relay the response until it ends or fails."""
        try:
            async with run.watch.guard():
                response = await opener(run)
                try:
                    await run.async_relay(response)
                finally:
                    response.close()
        except Interrupted as interrupted:
            if interrupted.cause is Cause.CANCELLED:
                return Attempt.CANCELLED
            self.silent_runs.inc()
            return Attempt.SILENT
        except ConnectFailed:
            return Attempt.CONNECT_FAILED
        except ConnectionBroken:
            self.broken_runs.inc()
            return Attempt.BROKEN
        except StreamLost:
            return Attempt.LOST
        return Attempt.COMPLETE

    def _make_stream_id(self, request: Open) -> str:
        """Return an id that is unique even if callers reuse a request id."""
        incarnation = self._app.incarnation & _INCARNATION_MASK
        return f"{request.request_id}.{incarnation:08x}.{next(self._stream_numbers):x}"

    def _dump(self) -> dict[str, object]:
        report = self._health.report
        return {
            "kind": self._settings.kind.value,
            "address": f"{self._settings.host}:{self._settings.port}",
            "up": self.up,
            "models": list(self.models),
            "reported_running": None if report is None else report.running,
            "reported_waiting": None if report is None else report.waiting,
            "reported_as_of_ms": None if report is None else report.as_of_ms,
            "runs": self._watchdog.runs,
            "deaths": self._health.generation,
        }


def make_unreachable() -> Refused:
    """Return the refusal of a request for which no connection could be made."""
    return Refused(
        reason=Reason.UNREACHABLE,
        message="the upstream takes no connection",
        retry_after_ms=RETRY_AFTER_MS,
        elsewhere=True,
    )


def _correct_outcome(run: Run, failure: Failure | None) -> Failure | None:
    """Return Refused only for a request that was not handed over, and Failed for one that was."""
    match failure:
        case Refused() if run.was_handed_over:
            return Failed(reason=failure.reason, message=failure.message)
        case Failed() if not run.was_handed_over:
            return Refused(reason=failure.reason, message=failure.message)
    return failure
