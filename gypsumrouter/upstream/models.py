"""What the HTTP side towards an upstream exchanges with the rest of a side."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from msgspec import Struct

from gypsumrouter.link.models import Head, Open
from gypsumrouter.outcomes import Failure


class HandOverDenied(Exception):
    """Raised by a hand-over callback that no longer allows the request to be sent."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class Sink(Protocol):
    """Where an upstream's answer goes; a link's `Answer` is one."""

    @property
    def cancelled(self) -> asyncio.Event:
        """Return the event that says that nobody wants the answer any more."""

    def head(self, head: Head) -> None:
        """Take the beginning of the answer."""

    async def async_write(self, body: bytes) -> None:
        """Take a part of the body, waiting while the reader is slow."""


class UpstreamClient(Protocol):
    """Run requests at one upstream and know how it is doing."""

    @property
    def up(self) -> bool:
        """Return whether the upstream answers."""

    @property
    def models(self) -> tuple[str, ...]:
        """Return the models that an engine holds, sorted; empty for services."""

    @property
    def report(self) -> LoadReport | None:
        """Return the newest load that the upstream reported of itself."""

    async def async_start(self) -> None:
        """Open the sessions and begin to poll."""

    async def async_run(
        self,
        *,
        request: Open,
        answer: Sink,
        priority: int,
        handed_over: Callable[[], None],
    ) -> Failure | None:
        """Run one request; None after a whole answer.

        `handed_over` is called right before the first byte may reach the upstream, and may raise
        HandOverDenied. A Refused is only returned if nothing was handed over.
        """

    def on_crash(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Register a listener for the upstream's death while it ran requests."""

    def on_models(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Register a listener for changes of the models that an engine holds."""

    def on_up(self, listener: Callable[[bool], None]) -> Callable[[], None]:
        """Register a listener for the upstream becoming reachable or unreachable."""


class LoadReport(Struct, frozen=True, kw_only=True):
    """What an upstream says of its load, and when (`as_of_ms`, its wall time)."""

    running: int
    waiting: int
    slots: int
    cached_tokens: int
    as_of_ms: int


class Liveness(StrEnum):
    """What a probe on a new connection found."""

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
    """The connection ended or broke the protocol before the answer was whole."""
