"""One run of a request: an attempt at one upstream, with all that is recorded of it."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Final

import msgspec
from aiohttp import web
from msgspec import Struct

from gypsumrouter.core import Application
from gypsumrouter.crashes import Subjects, Verdict
from gypsumrouter.crashes.guard import CrashGuard
from gypsumrouter.forwarding.attempt import Attempt, EndedAtDeadline, make_attempt_options
from gypsumrouter.forwarding.connections import ConnectionPool, StartCheck
from gypsumrouter.forwarding.const import MAX_BUFFERED_BYTES, MAX_EVENT_BYTES
from gypsumrouter.forwarding.ends.events import find_first_event
from gypsumrouter.forwarding.ends.evidence import EndChecks
from gypsumrouter.forwarding.ends.relay import CallerDisconnected
from gypsumrouter.forwarding.ends.resets import get_reset_wait_ms
from gypsumrouter.forwarding.models import (
    CallerRequest,
    CompleteResponse,
    Dialect,
    Outcome,
    Rejected,
    ResponseLost,
    StreamingResponse,
    Unreachable,
    Withheld,
)
from gypsumrouter.forwarding.next_step import STATUS_SERVER_ERROR
from gypsumrouter.forwarding.outcome_recorder import RunObserver
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.progress import Progress, TimeLimits
from gypsumrouter.forwarding.request_contention import RequestContention
from gypsumrouter.forwarding.request_journal import RequestJournal
from gypsumrouter.forwarding.silence import Awaited, get_patience_ms
from gypsumrouter.helpers.http_response import ConnectionBroken, Framing
from gypsumrouter.helpers.socket_state import has_peer_ended
from gypsumrouter.routing import RouteMatch

NO_EVENT: Final = "ended before the first event"


class RunContext(Struct, frozen=True, kw_only=True):
    """What all runs of one request share; `detects_crashes` and `prioritized` are mechanisms.

    Plain answers of up to `buffer_limit` bytes are read whole before they are passed on.
    """

    app: Application
    dialect: Dialect
    pool: ConnectionPool
    ends: EndChecks
    placer: Placer
    guard: CrashGuard
    request: CallerRequest
    routed: RouteMatch
    subjects: Subjects
    progress: Progress
    limits: TimeLimits
    contention: RequestContention
    journal: RequestJournal
    web_request: web.BaseRequest
    buffer_limit: int
    detects_crashes: bool = True
    prioritized: bool = True

    def find_verdict(self) -> Verdict | None:
        """Return why the request must not be sent to another upstream, None if it may be."""
        return self.guard.find_refusal(self.subjects) if self.detects_crashes else None

    def check_caller(self) -> None:
        """Raise CallerDisconnected if the caller's connection has ended, also if that is unread."""
        if has_peer_ended(self.web_request.transport):
            raise CallerDisconnected


class Run:
    """One attempt at one upstream; it counts as its load until `end`, which must be called.

    With `last_event_id` a stream goes on after that event.
    """

    __slots__ = (
        "_context",
        "_outcome",
        "_sent",
        "_started_ms",
        "attempt",
        "heard_ms",
        "number",
        "observer",
        "pending",
        "placement",
        "sent_ms",
    )

    def __init__(
        self, *, context: RunContext, placement: Placement, last_event_id: str | None
    ) -> None:
        progress = context.progress
        progress.attempts += 1
        context.contention.note_attempt()
        self._context = context
        self.number = progress.attempts
        self.placement = placement
        now_ms = context.app.clock.now_ms()
        context.journal.record_placed(
            placement,
            attempt=self.number,
            peers_age_ms=context.placer.loads.get_oldest_peer_age_ms(now_ms=now_ms),
        )
        self.observer = RunObserver(
            guard=context.guard,
            placer=context.placer,
            request_id=context.request.request_id,
            subjects=context.subjects,
            enabled=context.detects_crashes,
        )
        self.attempt = Attempt(
            pool=context.pool,
            ends=context.ends,
            dialect=context.dialect,
            request=context.request,
            options=make_attempt_options(
                placement,
                request=context.request,
                routed=context.routed,
                remaining_ms=context.limits.remaining_ms,
                last_event_id=last_event_id,
                prioritized=context.prioritized,
            ),
            entry=placement.entry,
            on_head=self.observer.handle_head,
            on_unframed_end=partial(self.observer.note_unframed_end, placement.entry),
            buffer_limit=context.buffer_limit,
            end_patience_ms=self._get_end_patience_ms(),
            reset_wait_ms=get_reset_wait_ms(context.routed.route),
        )
        # When its upstream last sent something, or got the request.
        self._started_ms = self.sent_ms = self.heard_ms = now_ms
        self._outcome: Outcome | None = None
        # The outcome of a run that was sent beside another one.
        self.pending: asyncio.Task[Outcome] | None = None
        self._sent = context.placer.note_sent(placement, context.request.prompt)
        context.contention.notify_load_changed()

    def _get_end_patience_ms(self) -> int | None:
        """Return how long the evidence of an unframed end may take, None if no run takes over."""
        context = self._context
        route = context.routed.route
        if not route.repeatable or self.number >= route.max_attempts:
            return None
        awaited = Awaited.NEXT_EVENT if route.streamed else Awaited.RESPONSE
        return get_patience_ms(route, awaited, remaining_ms=context.limits.remaining_ms)

    @property
    def upstream(self) -> str:
        """Return the incarnation of the upstream."""
        return self.placement.entry.incarnation

    @property
    def is_read_whole(self) -> bool:
        """Return whether its response has begun, of which a stop must not cut a part."""
        is_late = self._context.buffer_limit > MAX_BUFFERED_BYTES
        return is_late and self.attempt.metadata is not None

    async def async_open(self, start_check: StartCheck) -> Unreachable | Withheld | None:
        """Acquire a connection; return why nothing can be sent on it, None if it can.

        Raises CallerDisconnected.
        """
        failed = await self.attempt.async_connect(
            repeatable=self._context.routed.route.repeatable, start_check=start_check
        )
        if failed is not None:
            return failed
        # A busy process reads a request, and the end of its connection only after it was sent on.
        self._context.check_caller()
        verdict = self._context.find_verdict()
        return None if verdict is None else Withheld(verdict=verdict)

    async def async_send(self, *, list_age_ms: int) -> Outcome:
        """Send the request and return the outcome, which is the head of a streamed response."""
        self.observer.start(self.upstream)
        self.sent_ms = self.heard_ms = self._context.app.clock.now_ms()
        self._context.journal.record_sent(self.attempt, number=self.number, list_age_ms=list_age_ms)
        self._context.progress.in_flight = True
        return await self.attempt.async_send()

    def send_beside(self, *, list_age_ms: int) -> asyncio.Task[Outcome]:
        """Send the request while another run goes on; the outcome is pending until first event."""
        self.pending = self._context.app.async_create_task(
            self._async_send_until_event(list_age_ms), "run beside a silent upstream"
        )
        return self.pending

    async def _async_send_until_event(self, list_age_ms: int) -> Outcome:
        try:
            outcome = await self.async_send(list_age_ms=list_age_ms)
        except EndedAtDeadline:
            return ResponseLost(reason="ended at its deadline", at_deadline=True)
        if not isinstance(outcome, StreamingResponse) or not outcome.is_event_stream:
            return outcome
        received = outcome.initial_bytes
        try:
            while find_first_event(received) is None:
                part = await outcome.answer.body.readany()
                if not part and outcome.answer.framing is Framing.CLOSE:
                    return ResponseLost(reason=NO_EVENT, connection_broken=True)
                if not part:
                    break
                received += part
                if len(received) > MAX_EVENT_BYTES:
                    return ResponseLost(reason="an event is too long", connection_broken=True)
        except ConnectionBroken as error:
            return ResponseLost(reason=str(error), connection_broken=True)
        return msgspec.structs.replace(outcome, initial_bytes=received)

    def note_received(self) -> None:
        """Record that a piece of the response has arrived."""
        self.heard_ms = self._context.app.clock.now_ms()
        self._context.placer.health.note_received(self.upstream)
        self.observer.note_received(shows_life=self.attempt.shows_life)

    def note_outcome(self, outcome: Outcome) -> None:
        """Record what the outcome says of the upstream's speed and of what it holds."""
        self._outcome = outcome
        placer, prompt = self._context.placer, self._context.request.prompt
        placer.note_prefilled(self._sent)
        match outcome:
            case CompleteResponse(status=status) if prompt is None and status < STATUS_SERVER_ERROR:
                now_ms = self._context.app.clock.now_ms()
                placer.plain.note_answered(
                    self.placement, elapsed_ms=now_ms - self._started_ms, now_ms=now_ms
                )
            case StreamingResponse():
                placer.note_first_event(self._sent)
                self._context.contention.notify_load_changed()
            case Withheld() | Unreachable() | Rejected():
                placer.note_not_run(self._sent)
                self.observer.end(ran=False)

    def end_unneeded(self) -> None:
        """Close the attempt since another run goes on; its upstream may have run the request."""
        if self.attempt.sent:
            self._context.progress.note_possible_run(self.upstream)
        self.end("not needed")

    def end(self, step: str) -> None:
        """Close the attempt unless its connection was released; `step` is what comes next."""
        context = self._context
        if self.pending is not None:
            self.pending.cancel()
        self.attempt.close()
        self.observer.end(ran=True)
        held_ms = context.app.clock.now_ms() - self._started_ms
        context.contention.note_attempt_ended(self._outcome)
        context.placer.note_ended(self._sent, held_ms=held_ms)
        context.contention.notify_load_changed()
        context.journal.record_ended(
            self.attempt, self._outcome, number=self.number, after_ms=held_ms, step=step
        )
