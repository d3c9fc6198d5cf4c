"""Journal of a faults run: every try, every request and every fault."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import Final

from msgspec import Struct, field

from gypsumrouter.instances import Address
from gypsumrouter.outcomes import Executed
from gypsumrouter.util.clock import Clock

# Requests within this time after a fault are also attributed to it.
AFTERMATH_MS: Final = 2_000
CODE_DISCONNECTED: Final = "hung_up"


class RequestKind(StrEnum):
    """Kind of a request; the keys of opaque calls contain no time."""

    CHAT = "chat"
    CALL = "call"
    OPAQUE_CALL = "opaque call"


class Result(StrEnum):
    """Result of a request after all tries; LOST if none of them received a response."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    LOST = "lost"


class Try(Struct, frozen=True, kw_only=True):
    """One HTTP request; `executed` is None if no response arrived. Times are wall milliseconds."""

    router: Address | None
    began_ms: int
    ended_ms: int
    code: str
    executed: Executed | None
    request_id: str = ""
    key: str = ""


class Request(Struct, frozen=True, kw_only=True):
    """One request with all its tries; `code` is the code of its last failed try."""

    kind: RequestKind
    result: Result
    began_ms: int
    ended_ms: int
    code: str = ""


class Window(Struct, kw_only=True):
    """The period of one fault; `ended_ms` is None while the fault is active."""

    kind: str
    began_ms: int
    ended_ms: int | None = None

    def overlaps(self, began_ms: int, ended_ms: int, *, after_ms: int = 0) -> bool:
        """Return whether the window, extended by `after_ms`, overlaps a period."""
        ends_ms = ended_ms if self.ended_ms is None else self.ended_ms + after_ms
        return self.began_ms <= ended_ms and began_ms <= ends_ms


class Journal(Struct, kw_only=True):
    """All records of a run; `unavailable` has the periods in which a router could not answer.

    `work_after_stop_s` and `work_after_mark_s` are the times from a stop signal, and from a drain
    mark on the instance list, to the last new execution. `crashes_per_request` has the number of
    upstreams that each crashing request crashed.
    """

    clock: Clock
    tries: list[Try] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    windows: list[Window] = field(default_factory=list)
    unavailable: dict[Address, list[Window]] = field(default_factory=dict)
    work_after_stop_s: list[float] = field(default_factory=list)
    work_after_mark_s: list[float] = field(default_factory=list)
    crashes_per_request: list[int] = field(default_factory=list)
    crasher_codes: Counter[str] = field(default_factory=Counter)
    exit_codes: Counter[str] = field(default_factory=Counter)
    failed_faults: Counter[str] = field(default_factory=Counter)

    @contextmanager
    def window(self, kind: str) -> Iterator[Window]:
        """Record a fault that is active while the context is open."""
        window = Window(kind=kind, began_ms=self.clock.wall_ms())
        self.windows.append(window)
        try:
            yield window
        finally:
            window.ended_ms = self.clock.wall_ms()

    def record_unavailable(self, router: Address, kind: str) -> Window:
        """Record that a router cannot answer from now until the window is ended."""
        window = Window(kind=kind, began_ms=self.clock.wall_ms())
        self.unavailable.setdefault(router, []).append(window)
        return window

    def is_unavailable(self, attempt: Try) -> bool:
        """Return whether the router of a try was unavailable during it."""
        if attempt.router is None:
            return False
        windows = self.unavailable.get(attempt.router, ())
        return any(window.overlaps(attempt.began_ms, attempt.ended_ms) for window in windows)

    def list_unanswered(self) -> list[Try]:
        """Return the tries that an available router did not answer."""
        return [
            attempt
            for attempt in self.tries
            if attempt.executed is None
            and attempt.code not in (Result.WHOLE, CODE_DISCONNECTED)
            and not self.is_unavailable(attempt)
        ]

    def select(self, *kinds: RequestKind, result: Result | None = None) -> list[Request]:
        """Return the requests of some kinds, optionally only those with one result."""
        return [
            request
            for request in self.requests
            if request.kind in kinds and (result is None or request.result is result)
        ]

    def list_during(self, kind: str) -> list[Request]:
        """Return the requests during a fault of a kind or shortly after it."""
        windows = [window for window in self.windows if window.kind == kind]
        return [
            request
            for request in self.requests
            if any(
                window.overlaps(request.began_ms, request.ended_ms, after_ms=AFTERMATH_MS)
                for window in windows
            )
        ]


def get_share(requests: list[Request], result: Result) -> float:
    """Return the share of requests with a result, 0 if there are none."""
    if not requests:
        return 0.0
    return sum(request.result is result for request in requests) / len(requests)
