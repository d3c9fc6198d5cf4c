"""Search for an upstream that goes on with a request whose present one is silent."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final, Protocol

from gypsumrouter.const import MS_PER_S
from gypsumrouter.forwarding.budget import RetryBudget
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.ends.event_order import OrderFault
from gypsumrouter.forwarding.ends.relay import CallerDisconnected, Relay
from gypsumrouter.forwarding.health.silence_verdict import MAX_SOUND_SILENCE_MS
from gypsumrouter.forwarding.health.start_check import StartCheck
from gypsumrouter.forwarding.models import (
    CompleteResponse,
    Outcome,
    StreamingResponse,
    Unreachable,
    Withheld,
)
from gypsumrouter.forwarding.next_step import STATUS_SERVER_ERROR, check_fits
from gypsumrouter.forwarding.outcome_recorder import OutcomeRecorder
from gypsumrouter.forwarding.run import Run, RunContext
from gypsumrouter.forwarding.silence import (
    Awaited,
    Obstacle,
    SilentRequest,
    find_obstacle,
    get_patience_ms,
)
from gypsumrouter.forwarding.standby import Standby
from gypsumrouter.forwarding.stream_pin import StreamPin
from gypsumrouter.helpers.metrics import Counter

# How often a request that waits behind an obstacle asks again whether it is gone.
RECHECK_MS: Final = 200
# After this long an upstream that could not be reached is tried again.
RETRY_UNREACHABLE_MS: Final = 1_000
# Share of the retry budget that is left to failed runs while a silence may be that of a sound
# upstream.
RESERVED_BUDGET: Final = 0.5
# A request of a model engine may still run at its silent engine for this long beside another one.
MAX_OVERLAP_MS: Final = 250

REPLACED: Final = "replaced"
NOT_SENT: Final = Unreachable(reason="not sent")


class MayReplace(Protocol):
    """Decides whether an upstream may go on with a request after `events` of a silent one."""

    def __call__(self, *, events: int, remaining_ms: int, upstream: str) -> bool:
        """Return whether it ends in time in a process that stops; else the silent one goes on."""


class Replacements:
    """Prepares runs in place of the `present` one while that is silent."""

    __slots__ = (
        "_budget",
        "_context",
        "_counter",
        "_may_replace",
        "_recorder",
        "_relay",
        "_service",
        "_stream",
        "present",
        "standby",
    )

    def __init__(
        self,
        *,
        context: RunContext,
        service: str,
        budget: RetryBudget,
        recorder: OutcomeRecorder,
        relay: Relay,
        stream: StreamPin,
        counter: Counter,
        may_replace: MayReplace,
    ) -> None:
        self._may_replace = may_replace
        self._context = context
        self._service = service
        self._budget = budget
        self._recorder = recorder
        self._relay = relay
        self._stream = stream
        self._counter = counter
        self.present: Run | None = None
        self.standby = Standby(app=context.app, prepare=self.async_prepare)

    async def async_prepare(self, awaited: Awaited) -> Run | None:
        """Return a run that stands ready, None if nothing can take over while the request lasts."""
        present = self.present
        if present is None:
            return None
        # When each upstream that could not take the request may be tried again.
        tried: dict[str, int] = {}
        reported: Obstacle | None = None
        while True:
            found = await self._async_try(present, awaited, tried)
            if isinstance(found, Run):
                self._record(present, awaited, replaced_by=found.upstream)
                return found
            if found is not reported:
                self._record(present, awaited, obstacle=found)
                reported = found
            if found.is_final and not self.standby.sent:
                return None
            await self._async_wait(RECHECK_MS)

    async def _async_try(
        self, present: Run, awaited: Awaited, tried: dict[str, int]
    ) -> Run | Obstacle:
        """Return a run that stands ready, sent before or now, or why there is none."""
        ready = self._find_ready()
        if ready is not None:
            return ready
        if present.is_read_whole:
            return Obstacle.STOP
        obstacle = await self._async_find_obstacle()
        if obstacle is not None:
            return obstacle
        context = self._context
        placement = context.placer.place(
            service=self._service,
            prompt=context.request.prompt,
            excluded=self._list_left_out(present, tried),
            avoided=self._recorder.list_avoided(goes_on=self._relay.goes_on),
            limit_ms=context.limits.remaining_ms,
            version=self._stream.version,
        )
        if isinstance(placement, PlacementRefusal):
            return Obstacle.UPSTREAM
        # One that has been silent for longer is not expected to go on.
        if self._may_be_sound(present) and not self._may_replace(
            events=context.progress.events,
            remaining_ms=context.limits.remaining_ms,
            upstream=placement.entry.incarnation,
        ):
            return Obstacle.STOP
        reserved = self._get_reserved(present)
        if not self._budget.has_spare(self._service, reserved=reserved):
            return Obstacle.BUDGET
        run = Run(context=context, placement=placement, last_event_id=self._relay.last_event_id)
        tried[run.upstream] = context.app.clock.now_ms() + RETRY_UNREACHABLE_MS
        obstacle = await self._async_open(run, reserved)
        if obstacle is not None:
            return obstacle
        ready = self._find_ready()
        if ready is not None:
            run.note_outcome(NOT_SENT)
            run.end("not needed")
            return ready
        run.send_beside(list_age_ms=self._stream.list_age_ms)
        self.standby.add(run)
        await self._async_wait(self._get_overlap_ms(awaited))
        ready = self._find_ready()
        if ready is None and self._is_exclusive and run in self.standby.sent:
            return run
        return ready or Obstacle.UPSTREAM

    def _list_left_out(self, present: Run, tried: Mapping[str, int]) -> set[str]:
        """Return the upstreams that have the request, have run it, or could not a moment ago."""
        now_ms = self._context.app.clock.now_ms()
        left_out = {present.upstream, *self._context.progress.possibly_ran_on}
        left_out.update(run.upstream for run in self.standby.sent)
        return left_out | {upstream for upstream, until_ms in tried.items() if now_ms < until_ms}

    def _get_reserved(self, present: Run) -> float:
        """Return the share of the retry budget that the replacement of a run must leave."""
        return RESERVED_BUDGET if self._may_be_sound(present) else 0.0

    def _may_be_sound(self, present: Run) -> bool:
        """Return whether a sound upstream may be silent for as long as the present one is."""
        silent_ms = self._context.app.clock.now_ms() - present.heard_ms
        return silent_ms < MAX_SOUND_SILENCE_MS

    def _get_overlap_ms(self, awaited: Awaited) -> int:
        """Return how long a run that was sent has to serve, before it takes over or is silent."""
        if self._is_exclusive:
            return MAX_OVERLAP_MS
        return get_patience_ms(
            self._context.routed.route, awaited, remaining_ms=self._context.limits.remaining_ms
        )

    async def _async_wait(self, timeout_ms: int) -> None:
        """Wait for the outcome of a run that was sent, or for a time."""
        pending = [run.pending for run in self.standby.sent if run.pending is not None]
        if pending:
            timeout_s = timeout_ms / MS_PER_S
            await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        else:
            await self._context.app.clock.async_sleep(timeout_ms)

    def _find_ready(self) -> Run | None:
        """Return a run that was sent and serves the request; those that have failed are ended."""
        for run in tuple(self.standby.sent):
            if run.pending is None or not run.pending.done():
                continue
            outcome = run.pending.result()
            if not isinstance(outcome, Withheld):
                outcome = check_fits(outcome, self._relay.sent)
            fault = self._find_order_fault(outcome)
            if _serves(outcome) and fault is None:
                return run
            self.standby.discard(run)
            run.note_outcome(outcome)
            if fault is not None:
                self._recorder.record_broken_stream(run.attempt, message="", fault=fault)
            elif not isinstance(outcome, Withheld | StreamingResponse):
                self._recorder.record(run.attempt, outcome)
            run.end("elsewhere")
        return None

    def _find_order_fault(self, outcome: Outcome) -> OrderFault | None:
        """Return why a stream that has begun does not go on behind the present run's."""
        if not isinstance(outcome, StreamingResponse):
            return None
        fault = self._relay.find_order_fault(outcome)
        return None if fault is OrderFault.POSSIBLE_GAP else fault

    async def _async_find_obstacle(self) -> Obstacle | None:
        """Return what rules out a replacement, before an upstream is chosen."""
        if self._context.find_verdict() is not None:
            return Obstacle.SUSPECT
        if self._relay.sent is not None:
            await self._stream.async_settle()
        return find_obstacle(
            SilentRequest(
                route=self._context.routed.route,
                sent=self._relay.sent,
                runs=len(self._context.progress.possibly_ran_on) + 1 + len(self.standby.sent),
                remaining_ms=self._context.limits.remaining_ms,
                version_proven=self._stream.is_proven,
            )
        )

    async def _async_open(self, run: Run, reserved: float) -> Obstacle | None:
        """Connect to the upstream and take a retry; return why the request can't be sent."""
        failed: Unreachable | Withheld | None = NOT_SENT
        try:
            failed = await run.async_open(self._get_start_check(run.placement.entry.service))
            if failed is None:
                spare = self._budget.try_acquire_spare(self._service, reserved=reserved)
                failed = None if spare else NOT_SENT
        except CallerDisconnected:
            return Obstacle.CALLER
        finally:
            if failed is not None:
                run.note_outcome(failed)
                run.end("not needed" if failed is NOT_SENT else "elsewhere")
        match failed:
            case None:
                return None
            case Withheld():
                return Obstacle.SUSPECT
            case Unreachable() if failed is NOT_SENT:
                return Obstacle.BUDGET
            case Unreachable():
                self._recorder.record_unreachable(run.attempt.entry, failed)
                return Obstacle.UPSTREAM

    def _get_start_check(self, service: str) -> StartCheck:
        # After the overlap the silent run is given up, whatever the other one has sent by then.
        return StartCheck.NOW if self._is_exclusive else self._stream.get_start_check(service)

    @property
    def _is_exclusive(self) -> bool:
        """Return whether two upstreams must not work on the request for long."""
        return self._context.request.prompt is not None

    def _record(
        self,
        present: Run,
        awaited: Awaited,
        *,
        obstacle: Obstacle | None = None,
        replaced_by: str = "",
    ) -> None:
        result = REPLACED if obstacle is None else obstacle.value
        self._counter.inc(labels=(("awaited", awaited.value), ("result", result)))
        self._context.journal.record_silent(
            present.attempt,
            number=present.number,
            awaited=awaited.value,
            patience_ms=self.standby.patience_ms,
            silent_ms=self._context.app.clock.now_ms() - present.heard_ms,
            obstacle="" if obstacle is None else obstacle.value,
            replaced_by=replaced_by,
        )


def _serves(outcome: Outcome) -> bool:
    """Return whether an outcome can be given to the caller."""
    match outcome:
        case StreamingResponse():
            return True
        case CompleteResponse(status=status):
            return status < STATUS_SERVER_ERROR
        case _:
            return False
