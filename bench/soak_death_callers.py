"""Callers of the soak of deaths: HTTP/1.0, and streams that they take up themselves."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from contextlib import suppress
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from bench.raw_caller import Answer, End, make_post_head
from bench.soak_configuration import CALLER_KEY
from bench.soak_death_checks import list_pieces
from bench.soak_overlap_callers import (
    ROUTES,
    DrawnRequest,
    OverlapCall,
    OverlapCallers,
)
from bench.soak_rig import SoakRig
from gypsumrouter.platform import names

# Requests of HTTP/1.0, as a share.
OLD_SHARE: Final = 0.2
OLD_VERSION: Final = (b" HTTP/1.1\r\n", b" HTTP/1.0\r\n")
MAX_TAKE_UPS: Final = 3
# Requests whose callers allow little time, as a share.
SHORT_SHARE: Final = 0.35
SHORT_MS: Final = (100, 3_000)


class TakeUp(Struct, frozen=True, kw_only=True):
    """A stream that broke off: its first request, its last event, and how often it broke off."""

    began_as: str
    last: int
    tokens: int
    count: int


class DeathCallers(OverlapCallers):
    """Callers that take streams up that broke off, each by another request on any connection.

    `taken_up` has these requests by their ids. Requests that are under way `patience_s` after the
    end are given up, and not kept.
    """

    def __init__(
        self, *, rig: SoakRig, seed: int, max_tokens: int, patience_s: float | None = None
    ) -> None:
        super().__init__(rig=rig, seed=seed, max_tokens=max_tokens)
        self._patience_s = patience_s
        self.taken_up: dict[str, TakeUp] = {}
        self._broken: dict[str, deque[TakeUp]] = {route: deque() for route in ROUTES}

    async def async_run(self) -> None:
        """Send requests until stopped."""
        running = asyncio.ensure_future(super().async_run())
        try:
            await self._stopping.wait()
            await asyncio.wait((running,), timeout=self._patience_s)
        finally:
            running.cancel()
            with suppress(asyncio.CancelledError):
                await running

    def draw_deadline_ms(self, rng: random.Random) -> int:
        """Return the deadline of the next request of a caller: a short one for a share of them."""
        if rng.random() < SHORT_SHARE:
            return rng.randint(*SHORT_MS)
        return super().draw_deadline_ms(rng)

    def draw(self, route: str, caller: int, rng: random.Random) -> DrawnRequest:
        """Return the next request of a caller: the rest of a stream, if one broke off."""
        drawn = super().draw(route, caller, rng)
        if self._broken[route]:
            drawn = self._make_rest(drawn, route, self._broken[route].popleft())
        if rng.random() < OLD_SHARE:
            parts = (drawn.parts[0].replace(*OLD_VERSION, 1), *drawn.parts[1:])
            drawn = replace(drawn, parts=parts, is_last=True)
        return drawn

    def _make_rest(self, drawn: DrawnRequest, route: str, rest: TakeUp) -> DrawnRequest:
        self.taken_up[drawn.request_id] = rest
        head = make_post_head(
            drawn.request_id,
            route,
            tokens=rest.tokens,
            prompt="a1:800,b1:600",
            deadline_ms=drawn.deadline_ms,
            key=CALLER_KEY,
            length=0,
            more={names.LAST_EVENT_ID: str(rest.last), names.RESUMES: rest.began_as},
        )
        return replace(drawn, tokens=rest.tokens, parts=(head,), pause_s=0.0)

    def note(self, call: OverlapCall) -> None:
        """Keep a request, and what is left of its stream if that broke off."""
        super().note(call)
        answer = call.answer
        if answer.end is End.CLOSED and is_unframed(answer):
            answer.end = End.WHOLE
        pieces = list_pieces(answer)
        before = self.taken_up.get(answer.request_id)
        count = before.count + 1 if before else 1
        is_broken = answer.status == 200 and answer.end is not End.WHOLE and bool(pieces)
        if not is_broken or not ROUTES[call.route].resumable or count > MAX_TAKE_UPS:
            return
        last = pieces[-1].number
        if last < call.tokens:
            began_as = before.began_as if before else answer.request_id
            rest = TakeUp(began_as=began_as, last=last, tokens=call.tokens, count=count)
            self._broken[call.route].append(rest)


def is_unframed(answer: Answer) -> bool:
    """Return whether an answer has neither a length nor chunks: a regular end completes it."""
    head = answer.head.lower()
    return bool(head) and b"\r\ncontent-length:" not in head and b"\r\ntransfer-enc" not in head
