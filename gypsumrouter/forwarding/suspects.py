"""Detection of requests that crash the upstreams that run them ("queries of death").

Such a request is retried by its caller through any router and would crash one upstream after the
other. Requests that ran on a crashing upstream by coincidence succeed elsewhere, which clears them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

import xxhash

from gypsumrouter.core import Application
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.journal import Journal, SuspectNoted

# A request that crashed this many upstreams and never succeeded is not sent to another one.
MAX_STRIKES: Final = 3
# How long strikes and successes are kept.
# Callers repeat a request within seconds.
STRIKE_TTL_MS: Final = 120_000
MAX_DIGESTS: Final = 5_000

StrikeListener = Callable[[int, str], None]


class SuspectTracker:
    """Counts strikes per request digest: the upstreams whose connection broke while running it."""

    __slots__ = ("_app", "_cleared", "_journal", "_listeners", "_strikes")

    def __init__(self, *, app: Application, journal: Journal) -> None:
        self._app = app
        self._journal = journal
        self._strikes: OrderedDict[int, dict[str, int]] = OrderedDict()
        self._cleared: OrderedDict[int, int] = OrderedDict()
        self._listeners: list[StrikeListener] = []

    def on_strike(self, listener: StrikeListener) -> None:
        """Call `listener(digest, upstream)` for each strike observed by this router itself."""
        self._listeners.append(listener)

    def is_suspect(self, digest: int) -> bool:
        """Return whether a request must not be sent to another upstream."""
        since_ms = self._app.clock.now_ms() - STRIKE_TTL_MS
        strikes = self._strikes.get(digest, {})
        return sum(noted_ms >= since_ms for noted_ms in strikes.values()) >= MAX_STRIKES

    def note_crash(self, digest: int, upstream: str) -> None:
        """Record that the connection to an upstream broke while it ran this request."""
        if self.add_strike(digest, upstream, source="own"):
            for listener in self._listeners:
                listener(digest, upstream)

    def note_success(self, digest: int) -> None:
        """Clear a request that was answered."""
        self._strikes.pop(digest, None)
        self._cleared[digest] = self._app.clock.now_ms()
        if len(self._cleared) > MAX_DIGESTS:
            self._cleared.popitem(last=False)

    def add_strike(self, digest: int, upstream: str, *, source: str) -> bool:
        """Record a strike seen by this router or by a peer; return whether it is a new one."""
        now_ms = self._app.clock.now_ms()
        if now_ms - self._cleared.get(digest, -STRIKE_TTL_MS) < STRIKE_TTL_MS:
            return False
        strikes = self._strikes.setdefault(digest, {})
        if upstream in strikes:
            return False
        strikes[upstream] = now_ms
        if len(self._strikes) > MAX_DIGESTS:
            self._strikes.popitem(last=False)
        if len(strikes) >= 2:
            self._journal.record(
                SuspectNoted(digest=digest, strikes=len(strikes), upstream=upstream, source=source)
            )
        return True


def make_digest(request: CallerRequest) -> int:
    """Return a hash of a request's method, path, key and body."""
    hashed = xxhash.xxh3_64()
    for part in (request.method, request.path, request.api_key or ""):
        hashed.update(part.encode("utf-8", "surrogateescape"))
        hashed.update(b"\0")
    hashed.update(request.body)
    return hashed.intdigest()
