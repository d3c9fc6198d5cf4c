"""Callers of the soak of overlapping stops: kept connections, pauses in reading, early bytes."""

from __future__ import annotations

import asyncio
import random
from typing import Any, Final

from msgspec import Struct
from msgspec.structs import replace

from bench.raw_caller import Answer, End, RawCaller, make_post_head
from bench.soak_configuration import CALLER_KEY
from bench.soak_kept_callers import KeptCallers
from bench.soak_rig import SoakRig
from bench.soak_silence_checks import Call
from gypsumrouter.const import MS_PER_S
from gypsumrouter.instances import Address

DEADLINE_MS: Final = 20_000
MAX_PAUSE_S: Final = 0.15
# The longest streams of a caller, as a share of the longest of all.
LENGTH_SHARES: Final = (0.1, 0.5, 1.0)
UPLOAD_BYTES: Final = 6_000
UPLOAD_PARTS: Final = 3
UPLOAD_SHARE: Final = 0.2
MAX_UPLOAD_S: Final = 0.5
# Callers that stop reading, when and for how long.
REST_SHARE: Final = 0.25
REST_AFTER_S: Final = (0.05, 4.0)
REST_S: Final = (1.0, 3.5)
# Callers that send the beginning of their next request during an answer, and when.
EARLY_SHARE: Final = 0.2
EARLY_AFTER_MS: Final = (50, 2_000)
EARLY_BYTES: Final = 60
# Streams of some callers go through small buffers, or are read slowly.
SMALL_SHARE: Final = 0.3
SMALL_BUFFER_BYTES: Final = 2_048
SLOW_SHARE: Final = 0.1
SLOW_BYTES_PER_S: Final = 3_000


class RoutePlan(Struct, frozen=True, kw_only=True):
    """A route of the soak, and how many callers it has."""

    kind: str
    service: str
    max_attempts: int
    callers: int
    resumable: bool = False


ROUTES: Final = {
    "quote": RoutePlan(
        kind="streaming", service="models", max_attempts=2, callers=14, resumable=True
    ),
    "quote-one": RoutePlan(
        kind="streaming", service="models", max_attempts=1, callers=10, resumable=True
    ),
    "draft": RoutePlan(kind="streaming", service="models", max_attempts=2, callers=8),
    "draft-one": RoutePlan(kind="streaming", service="models", max_attempts=1, callers=6),
    "lookup": RoutePlan(kind="idempotent", service="records", max_attempts=2, callers=4),
    "lookup-one": RoutePlan(kind="idempotent", service="records", max_attempts=1, callers=3),
    "order": RoutePlan(kind="non_idempotent", service="records", max_attempts=2, callers=4),
    "order-one": RoutePlan(kind="non_idempotent", service="records", max_attempts=1, callers=3),
}


class OverlapCall(Call, frozen=True, kw_only=True):
    """A request, and how its caller used the connection, for example "kept resting"."""

    manner: str


class DrawnRequest(Struct, frozen=True, kw_only=True):
    """A request before it is sent, in parts; `sent_bytes` of the first part are sent already.

    With `is_last` its connection takes no further one.
    """

    request_id: str
    tokens: int
    deadline_ms: int
    parts: tuple[bytes, ...]
    pause_s: float
    sent_bytes: int = 0
    is_last: bool = False


class OverlapCallers(KeptCallers):
    """Callers that rest, read slowly and send early bytes; streams have up to `max_tokens`."""

    def __init__(self, *, rig: SoakRig, seed: int, max_tokens: int) -> None:
        callers = {route: plan.callers for route, plan in ROUTES.items()}
        super().__init__(rig=rig, seed=seed, callers=callers)
        self._max_tokens = max_tokens
        self._drawn = 0
        self.calls: list[OverlapCall] = []

    def make_connection(self, address: Address, route: str, rng: random.Random) -> RawCaller:
        """Return a connection of a caller of a route; those of some streams have small buffers."""
        is_small = ROUTES[route].kind == "streaming" and rng.random() < SMALL_SHARE
        return RawCaller(address, buffer_bytes=SMALL_BUFFER_BYTES if is_small else None)

    async def async_use(
        self, connection: RawCaller, route: str, caller: int, forwarder: int, rng: random.Random
    ) -> None:
        """Send requests on a connection until it ends or an answer says that it does."""
        is_slow = ROUTES[route].kind == "streaming" and rng.random() < SLOW_SHARE
        pace = SLOW_BYTES_PER_S if is_slow else None
        drawn = self.draw(route, caller, rng)
        is_kept = False
        while not self._stopping.is_set():
            request, drawn = drawn, self.draw(route, caller, rng)
            rest = {}
            if rng.random() < REST_SHARE:
                rest = {
                    "rest_after_s": rng.uniform(*REST_AFTER_S),
                    "rest_s": rng.uniform(*REST_S),
                }
            early_ms = rng.randint(*EARLY_AFTER_MS) if rng.random() < EARLY_SHARE else 0
            early_ms = 0 if request.is_last else early_ms
            answer, was_sent = await _async_ask(
                connection,
                request,
                drawn.parts[0][:EARLY_BYTES],
                early_ms,
                bytes_per_s=pace,
                **rest,
            )
            if was_sent:
                drawn = _note_sent(drawn)
            manner = {
                "kept": is_kept,
                "resting": bool(rest),
                "slow": is_slow,
                "next sent": was_sent,
            }
            self.note(
                OverlapCall(
                    route=route,
                    forwarder=forwarder,
                    answer=answer,
                    deadline_s=request.deadline_ms / MS_PER_S,
                    tokens=request.tokens,
                    manner=" ".join(name for name, holds in manner.items() if holds) or "new",
                )
            )
            is_kept = True
            is_over = request.is_last or answer.announces_close
            if not answer.whole_s or answer.end is not End.WHOLE or is_over:
                return
            await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))

    def note(self, call: OverlapCall) -> None:
        """Keep a request and its answer."""
        self.calls.append(call)

    def draw(self, route: str, caller: int, rng: random.Random) -> DrawnRequest:
        """Return the next request of a caller."""
        self._drawn += 1
        request_id = f"{self._seed}-{route}{caller}-{self._drawn}"
        tokens = 0
        if ROUTES[route].kind == "streaming":
            tokens = rng.randint(1, round(self._max_tokens * rng.choice(LENGTH_SHARES)))
        deadline_ms = self.draw_deadline_ms(rng)
        is_upload = rng.random() < UPLOAD_SHARE
        body = b"x" * (UPLOAD_BYTES if is_upload else 1)
        head = make_post_head(
            request_id,
            route,
            tokens=tokens,
            prompt=f"a{caller % 3}:800,b{caller}:600",
            deadline_ms=deadline_ms,
            key=CALLER_KEY,
            length=len(body),
        )
        size = len(body) // UPLOAD_PARTS + 1
        later = (body[begin : begin + size] for begin in range(size, len(body), size))
        return DrawnRequest(
            request_id=request_id,
            tokens=tokens,
            deadline_ms=deadline_ms,
            parts=(head + body[:size], *later),
            pause_s=rng.uniform(0, MAX_UPLOAD_S) / UPLOAD_PARTS,
        )

    def draw_deadline_ms(self, _rng: random.Random) -> int:
        """Return the deadline of the next request of a caller."""
        return DEADLINE_MS


async def _async_ask(
    connection: RawCaller, request: DrawnRequest, early: bytes, early_ms: int, **options: Any
) -> tuple[Answer, bool]:
    """Send a request, and the beginning of the next during its answer if `early_ms` is set.

    Returns the answer, and whether that beginning was sent.
    """
    parts = (request.parts[0][request.sent_bytes :], *request.parts[1:])
    sending: asyncio.Future[None] | None = None
    # It must not arrive inside the body of this request.
    if early_ms and len(parts) == 1:
        later = connection.async_send_later(early, after_ms=early_ms)
        sending = asyncio.ensure_future(later)
    answer = await connection.async_ask(
        request.request_id, parts=parts, pause_s=request.pause_s, **options
    )
    if sending is None:
        return answer, False
    was_sent = sending.done()
    sending.cancel()
    await asyncio.wait((sending,))
    return answer, was_sent


def _note_sent(request: DrawnRequest) -> DrawnRequest:
    return replace(request, sent_bytes=min(EARLY_BYTES, len(request.parts[0])))
