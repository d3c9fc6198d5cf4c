"""Base class of the journal's events, and their rate-limited output to the log."""

from __future__ import annotations

import logging
from typing import ClassVar, Final

from msgspec import Struct
from msgspec.structs import asdict

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application

_LOGGER = logging.getLogger(__name__)

# Sustained rate and burst size of the token bucket. A successful request writes four lines.
LINES_PER_S: Final = 250
BURST_LINES: Final = 500
# Minimum time between two reports of dropped lines.
REPORT_MS: Final = 1_000


class Event(Struct, frozen=True, kw_only=True):
    """Base class of all events; `name` is the value of the line's field `event`."""

    name: ClassVar[str]
    # Essential events are never dropped by the rate limit.
    essential: ClassVar[bool] = False


class LinesDropped(Event, frozen=True, kw_only=True):
    """Lines were dropped by the rate limit since the last event of this kind."""

    name: ClassVar[str] = "lines_dropped"
    essential: ClassVar[bool] = True
    dropped: int
    period_ms: int


class Journal:
    """Writes events as log lines without blocking; drops and counts lines above the rate limit."""

    __slots__ = ("_app", "_counter", "_dropped", "_filled_ms", "_reported_ms", "_tokens", "dropped")

    def __init__(self, *, app: Application) -> None:
        self._app = app
        self._tokens = float(BURST_LINES)
        self._filled_ms = app.clock.now_ms()
        self._reported_ms = self._filled_ms
        self._dropped = 0
        self.dropped = 0
        self._counter = app.metrics.counter(
            "gypsumrouter_journal_lines_dropped_total", "Journal lines left out to keep the bound"
        )

    def record(self, event: Event) -> None:
        """Write one line, or drop and count it if the rate limit is exceeded."""
        now_ms = self._app.clock.now_ms()
        self._refill(now_ms)
        if self._dropped and now_ms - self._reported_ms >= REPORT_MS:
            self._report(now_ms)
        if not event.essential:
            if self._tokens < 1:
                self._drop()
                return
            self._tokens -= 1
        _write(event)

    def _refill(self, now_ms: int) -> None:
        gained = (now_ms - self._filled_ms) * LINES_PER_S / MS_PER_S
        self._tokens = min(float(BURST_LINES), self._tokens + gained)
        self._filled_ms = now_ms

    def _drop(self) -> None:
        self._dropped += 1
        self.dropped += 1
        self._counter.inc()

    def _report(self, now_ms: int) -> None:
        event = LinesDropped(dropped=self._dropped, period_ms=now_ms - self._reported_ms)
        self._dropped = 0
        self._reported_ms = now_ms
        _write(event)


def _write(event: Event) -> None:
    values = asdict(event)
    _LOGGER.info("%s", event.name, extra={"event": values})
