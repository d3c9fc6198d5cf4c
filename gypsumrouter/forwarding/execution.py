"""Forwarding of one request: attempts at upstreams until one responds or no retry is allowed."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web
from msgspec import Struct

from gypsumrouter.contention import Refused
from gypsumrouter.forwarding.attempt import EndedAtDeadline
from gypsumrouter.forwarding.const import MAX_BUFFERED_BYTES
from gypsumrouter.forwarding.context import ForwardingContext
from gypsumrouter.forwarding.deadlines import get_unanswered_ms
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.endings import RequestEndings
from gypsumrouter.forwarding.ends.relay import Relay, RelayResult
from gypsumrouter.forwarding.ends.relay_turns import MAX_PART_BYTES
from gypsumrouter.forwarding.models import (
    CallerRequest,
    CompleteResponse,
    Outcome,
    ResponseLost,
    StreamingResponse,
    Withheld,
    make_subjects,
)
from gypsumrouter.forwarding.next_step import Decision, NextStep, check_fits
from gypsumrouter.forwarding.outcome_recorder import OutcomeRecorder
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.progress import OUTCOME_ANSWERED, Progress, TimeLimits
from gypsumrouter.forwarding.replacement import MayReplace, Replacements
from gypsumrouter.forwarding.request_contention import RequestContention
from gypsumrouter.forwarding.request_journal import RequestJournal
from gypsumrouter.forwarding.request_limit import RequestLimit
from gypsumrouter.forwarding.retries import Retries
from gypsumrouter.forwarding.run import Run, RunContext
from gypsumrouter.forwarding.silence import Awaited, Replaced, get_patience_ms
from gypsumrouter.forwarding.stream_pin import StreamPin
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import RouteMatch
from gypsumrouter.streams import StreamOrigin

# Reason of a run that is given up for one that stands ready.
SILENT: Final = "silent"


class DoubtedStream(Struct, frozen=True, kw_only=True):
    """A stream that may be complete; `events` is how many the caller had at its end."""

    outcome: StreamingResponse
    events: int
    is_complete: Callable[[], Awaitable[bool]]


class RequestExecution:
    """Forwards one request, with retries on other upstreams."""

    __slots__ = (
        "_contention",
        "_context",
        "_doubt",
        "_endings",
        "_limits",
        "_may_start",
        "_recorder",
        "_relay",
        "_replacements",
        "_request",
        "_request_journal",
        "_retries",
        "_routed",
        "_run_context",
        "_service",
        "_standby",
        "_stream",
        "_watches",
        "limit",
        "progress",
    )

    def __init__(
        self,
        *,
        context: ForwardingContext,
        request: CallerRequest,
        routed: RouteMatch,
        service: str,
        web_request: web.BaseRequest,
        progress: Progress,
        close_connection: Callable[[], bool],
        may_start: Callable[[int, str], bool],
        may_replace: MayReplace,
        request_journal: RequestJournal,
        buffer_limit: int = MAX_BUFFERED_BYTES,
        origin: StreamOrigin | None = None,
    ) -> None:
        self._context = context
        self._request = request
        self._routed = routed
        self._service = service
        self._request_journal = request_journal
        self._may_start = may_start
        # The last stream of which it was not known in time whether it is complete.
        self._doubt: DoubtedStream | None = None
        self.progress = progress
        self.limit = RequestLimit()
        self._limits = TimeLimits(clock=context.app.clock, route=routed.route, progress=progress)
        subjects = make_subjects(request, workspace=routed.workspace)
        self._contention = RequestContention(
            context=context.contention,
            clock=context.app.clock,
            placer=context.placer,
            request=request,
            routed=routed,
            service=service,
            digest=subjects.digest,
            progress=progress,
        )
        self._run_context = RunContext(
            app=context.app,
            dialect=context.dialect,
            pool=context.pool,
            ends=context.ends,
            placer=context.placer,
            guard=context.suspects,
            request=request,
            routed=routed,
            subjects=subjects,
            progress=progress,
            limits=self._limits,
            contention=self._contention,
            journal=request_journal,
            web_request=web_request,
            buffer_limit=buffer_limit,
            detects_crashes=Mechanism.SUSPECTS not in context.without,
            prioritized=Mechanism.PRIORITIES not in context.without,
        )
        self._recorder = OutcomeRecorder(
            placer=context.placer,
            pool=context.pool,
            suspects=context.suspects,
            disorders=context.disorders,
            progress=progress,
        )
        self._stream = StreamPin(
            streams=context.streams, request=request, route=routed.route, origin=origin
        )
        self._relay = Relay(
            web_request=web_request,
            dialect=context.dialect,
            clock=context.app.clock,
            progress=progress,
            close_connection=close_connection,
            on_begun=self._note_begun,
            on_received=self._note_received,
            on_resumed=lambda begun: request_journal.record_resumed(progress.upstream, begun),
            read_part=self._async_read_part,
            taken_up_after=request.last_event_id if routed.route.resumable else None,
            turns=context.turns,
        )
        self._replacements = Replacements(
            context=self._run_context,
            service=service,
            budget=context.budget,
            recorder=self._recorder,
            relay=self._relay,
            stream=self._stream,
            counter=context.silences,
            may_replace=may_replace,
        )
        self._standby = self._replacements.standby
        self._retries = Retries(
            context=context,
            route=routed.route,
            service=service,
            progress=progress,
            limits=self._limits,
            relay=self._relay,
            stream=self._stream,
            replacements=self._replacements,
            journal=request_journal,
        )
        disabled = {Mechanism.RESPONSE_TIMEOUT, Mechanism.RETRIES} & context.without
        self._watches = routed.route.repeatable and not disabled
        self._endings = RequestEndings(
            app=context.app,
            dialect=context.dialect,
            suspects=context.suspects,
            request=request,
            web_request=web_request,
            progress=progress,
            limits=self._limits,
            contention=self._contention,
            relay=self._relay,
            request_journal=request_journal,
        )

    @property
    def silent_ms(self) -> int:
        """Return for how long the upstream of the present attempt has sent nothing, -1 if none."""
        run = self._replacements.present
        return -1 if run is None else self._context.app.clock.now_ms() - run.heard_ms

    @property
    def obstacle(self) -> str:
        """Return what last kept another upstream from going on with the request, "" if nothing."""
        return self._request_journal.obstacle

    async def async_run(self) -> web.StreamResponse:
        """Return the response; a streamed one has already been written."""
        self._context.budget.note_request(self._service)
        self._contention.note_arrival()
        try:
            response = await self.limit.async_run(
                self._async_run_attempts(),
                remaining_ms=self._limits.remaining_ms,
                unanswered_ms=get_unanswered_ms(self._limits.remaining_ms),
            )
        except TimeoutError:
            response = self._endings.end_at_limit(is_stopped=self.limit.is_stopped)
        except EndedAtDeadline:
            self._record_ended_at_deadline()
            response = self._endings.end_at_limit(is_stopped=False)
        self._contention.note_served()
        return response

    def _record_ended_at_deadline(self) -> None:
        run = self._replacements.present
        if run is not None:
            self._request_journal.record_ended_at_deadline(run.attempt)

    async def _async_run_attempts(self) -> web.StreamResponse:
        while True:
            run = self._standby.take() or await self._async_place()
            response = await self._async_attempt(run) if isinstance(run, Run) else run
            if response is not None:
                return response

    async def _async_place(self) -> Run | web.StreamResponse | None:
        """Return a run at the best upstream, the response if there can't be one, None to repeat."""
        self._run_context.check_caller()
        verdict = self._run_context.find_verdict()
        if verdict is not None:
            return await self._async_finish_doubted() or self._endings.refuse_suspect(verdict)
        if self.progress.attempts == 0:
            refusal = await self._async_admit()
            if refusal is not None:
                return refusal
        placement = self._context.placer.place(
            service=self._service,
            prompt=self._request.prompt,
            excluded=self.progress.excluded_upstreams,
            avoided=self._recorder.list_avoided(goes_on=self._relay.goes_on),
            limit_ms=self._limits.target_ms,
            needed_permits=self._contention.get_needed_permits(),
            version=self._stream.version,
        )
        if isinstance(placement, PlacementRefusal):
            if self._retries.may_wait:
                await self._retries.async_wait()
                return None
            return await self._async_finish_doubted() or self._endings.refuse(
                placement.reason, placement.message, placement.not_before_ms
            )
        if not self._may_run_at(placement):
            return self._endings.refuse(Reason.LEAVING, "This router is stopping")
        return Run(
            context=self._run_context,
            placement=placement,
            last_event_id=self._relay.last_event_id,
        )

    def _may_run_at(self, placement: Placement) -> bool:
        """Return whether a request that has not run yet may begin at an upstream."""
        if self.progress.possibly_ran_on or self._relay.response is not None:
            return True
        return self._may_start(self._limits.remaining_ms, placement.entry.incarnation)

    async def _async_admit(self) -> web.StreamResponse | None:
        """Wait for capacity under contention; return the refusal, None if it may be sent."""
        outcome = await self._contention.async_admit(remaining_ms=self._limits.remaining_ms)
        if isinstance(outcome, Refused):
            return self._endings.refuse(
                outcome.reason, outcome.message, outcome.room_in_ms, outcome.excess
            )
        if self._limits.remaining_ms <= 0:
            # The process may have been suspended after the release.
            return self._endings.refuse(Reason.DEADLINE, "No upstream had time for the request")
        return None

    async def _async_attempt(self, run: Run) -> web.StreamResponse | None:
        """Carry out one run; return the response, or None if another attempt is to be made."""
        self.progress.upstream = run.upstream
        self._replacements.present = run
        self._stream.attempt = run.attempt
        step, response = "given up", None
        try:
            outcome = await self._async_get_outcome(run)
            run.note_outcome(outcome)
            response, step = await self._async_decide(run, outcome)
        finally:
            if response is not None or step == "given up":
                self._standby.drop()
            run.end(step)
        self.progress.in_flight = False
        return response

    async def _async_get_outcome(self, run: Run) -> Outcome:
        """Send the request, unless the run has begun beside another one, and await the outcome."""
        self.progress.in_flight = run.pending is not None
        if run.pending is None:
            failed = await run.async_open(self._stream.get_start_check(run.placement.entry.service))
            if failed is not None:
                return failed
        result: Awaitable[Outcome] = run.pending or run.async_send(
            list_age_ms=self._stream.list_age_ms
        )
        patience_ms = self._get_patience_ms(Awaited.RESPONSE)
        try:
            return await self._standby.async_wait(Awaited.RESPONSE, result, patience_ms=patience_ms)
        except Replaced:
            return ResponseLost(reason=SILENT)

    async def _async_read_part(self, streaming: StreamingResponse) -> bytes:
        """Return the next part of a stream, b"" at its end; raises Replaced."""
        if not self._watches or not self._routed.route.resumable:
            return await streaming.answer.body.read(MAX_PART_BYTES)
        awaited = Awaited.FIRST_EVENT if self._relay.response is None else Awaited.NEXT_EVENT
        patience_ms = self._get_patience_ms(awaited)
        return await self._standby.async_wait(
            awaited, streaming.answer.body.read(MAX_PART_BYTES), patience_ms=patience_ms
        )

    def _get_patience_ms(self, awaited: Awaited) -> int | None:
        """Return after how much silence a replacement is looked for; None for never."""
        if not self._watches:
            return None
        return get_patience_ms(self._routed.route, awaited, remaining_ms=self._limits.remaining_ms)

    async def _async_decide(
        self, run: Run, outcome: Outcome
    ) -> tuple[web.StreamResponse | None, str]:
        """Return the response, or None for another attempt, and the next step."""
        if isinstance(outcome, Withheld):
            response = await self._async_finish_doubted()
            response = response or self._endings.refuse_suspect(outcome.verdict)
            return response, NextStep.REFUSE.value
        if isinstance(outcome, CompleteResponse):
            run.note_received()
        outcome = check_fits(outcome, self._relay.sent)
        if isinstance(outcome, StreamingResponse):
            decision = await self._async_relay_stream(run, outcome)
        elif isinstance(outcome, ResponseLost) and outcome.reason == SILENT:
            decision = self._leave_silent(run)
        else:
            if isinstance(outcome, ResponseLost) and outcome.connection_broken:
                self._record_broken(run)
            self._recorder.record(run.attempt, outcome)
            decision = await self._retries.async_decide(outcome)
        if decision.step in (NextStep.FAIL, NextStep.REFUSE):
            response = await self._async_finish_doubted()
            if response is not None:
                return response, NextStep.RESPOND.value
        return self._apply(decision, outcome), decision.step.value

    async def _async_finish_doubted(self) -> web.StreamResponse | None:
        """Return the response if nothing goes on with it and it is complete after all.

        Raises CallerDisconnected.
        """
        doubt, self._doubt = self._doubt, None
        if doubt is None or doubt.events != self.progress.events or not await doubt.is_complete():
            return None
        await self._relay.async_finish(doubt.outcome)
        self.progress.outcome = OUTCOME_ANSWERED
        return self._relay.response

    def _leave_silent(self, run: Run) -> Decision:
        """Give up a silent run for the one that stands ready."""
        silent_ms = self._context.app.clock.now_ms() - run.heard_ms
        self._recorder.record_silent(run.upstream, silent_ms=silent_ms)
        run.attempt.close()
        return Decision(step=self._retries.step)

    async def _async_relay_stream(self, run: Run, outcome: StreamingResponse) -> Decision:
        """Relay a streamed response and return the next step."""
        try:
            end = await self._relay.async_relay(outcome)
        except BaseException:
            # The caller left, or the deadline has passed.
            self._stream.note_ended(complete=False)
            raise
        self._request_journal.record_stream_ended(
            run.upstream,
            end=end,
            streaming=outcome,
            progress=self.progress,
            last_event_id=self._relay.last_event_id,
        )
        self._stream.note_ended(complete=end.result is RelayResult.COMPLETE)
        if end.result is RelayResult.COMPLETE:
            self._recorder.record_success(run.upstream)
            run.observer.note_completed()
            # Engines send an event for each token.
            self._context.placer.uneven_load.note_output(
                self._request.prompt, tokens=self.progress.events
            )
            run.attempt.release()
            return Decision(step=NextStep.RESPOND)
        if end.result is RelayResult.REPLACED:
            return self._leave_silent(run)
        message = f"stream {end.result.value}"
        if end.fault is None:
            self._record_broken(run)
        self._recorder.record_broken_stream(run.attempt, message=message, fault=end.fault)
        run.attempt.close()
        question = run.attempt.make_doubt_question()
        if question is not None and self._relay.response is not None:
            self._doubt = DoubtedStream(
                outcome=outcome, events=self.progress.events, is_complete=question
            )
        return await self._retries.async_decide_after_stream(message=message)

    def _note_begun(self) -> None:
        self._stream.note_begun()
        self.limit.note_answer_begun()

    def _note_received(self) -> None:
        run = self._replacements.present
        if run is not None:
            self._standby.drop()
            run.note_received()
            self._stream.note_received(run.heard_ms)

    def _record_broken(self, run: Run) -> None:
        after_ms = self._context.app.clock.now_ms() - run.sent_ms
        self._request_journal.record_broken(
            run.attempt, events=self.progress.events, after_ms=after_ms
        )

    def _apply(self, decision: Decision, outcome: Outcome) -> web.StreamResponse | None:
        match decision.step:
            case NextStep.SEND_ELSEWHERE | NextStep.RETRY | NextStep.RESUME | NextStep.WAIT:
                return None
            case NextStep.REFUSE:
                return self._endings.refuse(decision.reason, decision.message)
            case NextStep.FAIL:
                return self._endings.fail(decision.message)
            case NextStep.RESPOND if isinstance(outcome, CompleteResponse):
                return self._endings.respond(outcome)
            case NextStep.RESPOND:
                self.progress.outcome = OUTCOME_ANSWERED
                return self._relay.response
