"""Requests whose content breaks the upstreams that run it.

Answers this load: one request crashes each upstream that begins to run it, and its caller sends it
again and again, through any router. Requests that merely ran beside it succeed elsewhere, which
clears them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

import xxhash

from gypsumrouter.core import Application
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.journal import Journal, SuspectNoted

# A content that broke this many upstreams, and never succeeded, is not sent to another.
MAX_STRIKES: Final = 3
# How long strikes and successes are remembered: callers repeat within seconds.
REMEMBERED_MS: Final = 120_000
MAX_DIGESTS: Final = 5_000

StrikeListener = Callable[[int, str], None]


class Suspects:
    """Counts, for each content, the different upstreams that broke off while they ran it."""

    __slots__ = ("_app", "_cleared", "_journal", "_listeners", "_strikes")

    def __init__(self, *, app: Application, journal: Journal) -> None:
        self._app = app
        self._journal = journal
        self._strikes: OrderedDict[int, dict[str, int]] = OrderedDict()
        self._cleared: OrderedDict[int, int] = OrderedDict()
        self._listeners: list[StrikeListener] = []

    def on_strike(self, listener: StrikeListener) -> None:
        """Call `listener` with each strike that this router saw itself."""
        self._listeners.append(listener)

    def is_suspect(self, digest: int) -> bool:
        """Return whether a content must not be sent to a further upstream."""
        since_ms = self._app.clock.now_ms() - REMEMBERED_MS
        struck = self._strikes.get(digest, {})
        return sum(noted_ms >= since_ms for noted_ms in struck.values()) >= MAX_STRIKES

    def note_broken(self, digest: int, upstream: str) -> None:
        """Note that an upstream broke off while it ran this content."""
        if self.take(digest, upstream, source="own"):
            for listener in self._listeners:
                listener(digest, upstream)

    def note_good(self, digest: int) -> None:
        """Note that this content was answered: it breaks nothing."""
        self._strikes.pop(digest, None)
        self._cleared[digest] = self._app.clock.now_ms()
        if len(self._cleared) > MAX_DIGESTS:
            self._cleared.popitem(last=False)

    def take(self, digest: int, upstream: str, *, source: str) -> bool:
        """Take a strike, also from a peer; return whether it is news."""
        now_ms = self._app.clock.now_ms()
        if now_ms - self._cleared.get(digest, -REMEMBERED_MS) < REMEMBERED_MS:
            return False
        struck = self._strikes.setdefault(digest, {})
        if upstream in struck:
            return False
        struck[upstream] = now_ms
        if len(self._strikes) > MAX_DIGESTS:
            self._strikes.popitem(last=False)
        if len(struck) >= 2:
            self._journal.record(
                SuspectNoted(digest=digest, strikes=len(struck), upstream=upstream, source=source)
            )
        return True


def make_digest(request: CallerRequest) -> int:
    """Return what stands for a request's content: its path, caller and body."""
    hashed = xxhash.xxh3_64()
    for part in (request.method, request.path, request.api_key or ""):
        hashed.update(part.encode("utf-8", "surrogateescape"))
        hashed.update(b"\0")
    hashed.update(request.body)
    return hashed.intdigest()
