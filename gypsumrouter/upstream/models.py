"""Interfaces and data classes of the clients for upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from msgspec import Struct

from gypsumrouter.link.models import Head, Open
from gypsumrouter.outcomes import Failure


class HandOverDenied(Exception):
    """Raised by a hand-over callback if the request may not be sent."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class Sink(Protocol):
    """Receiver of an upstream's response, such as a link's `Answer`."""

    @property
    def cancelled(self) -> asyncio.Event:
        """Return the event that is set when the request has been cancelled."""

    def head(self, head: Head) -> None:
        """Handle the head of the response."""

    async def async_write(self, body: bytes) -> None:
        """Handle a part of the body; waits while the receiver applies backpressure."""


class UpstreamClient(Protocol):
    """Send requests to one upstream and monitor its health."""

    @property
    def up(self) -> bool:
        """Return whether the upstream responds to polls."""

    @property
    def models(self) -> tuple[str, ...]:
        """Return the sorted models that an engine offers; empty for services."""

    @property
    def report(self) -> LoadReport | None:
        """Return the last load report of the upstream, or None."""

    async def async_start(self) -> None:
        """Open the session and start to poll."""

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

    def on_crash(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Register a listener for crashes of the upstream while it runs requests."""

    def on_models(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Register a listener for changes of the models of an engine."""

    def on_up(self, listener: Callable[[bool], None]) -> Callable[[], None]:
        """Register a listener for changes of `up`."""


class LoadReport(Struct, frozen=True, kw_only=True):
    """The load reported by an upstream, and its wall time of the report (`as_of_ms`)."""

    running: int
    waiting: int
    slots: int
    cached_tokens: int
    as_of_ms: int


class Liveness(StrEnum):
    """Result of a probe on a new connection."""

    ANSWERS = "answers"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    SILENT = "silent"


class Cause(StrEnum):
    """Why a run was interrupted."""

    SILENT = "silent"
    CANCELLED = "cancelled"


class Interrupted(Exception):
    """Raised inside a guarded run when it is interrupted."""

    def __init__(self, cause: Cause) -> None:
        super().__init__(cause.value)
        self.cause = cause


class ConnectionBroken(Exception):
    """The connection failed or violated the protocol before the response was complete."""
