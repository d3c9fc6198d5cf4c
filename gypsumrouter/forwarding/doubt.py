"""Checks of streams that have ended without framing while their upstream lives.

The upstream's word shows that its process lives, not that it has ended the stream. Another run
that is asked to go on behind the last event shows it: a whole stream has nothing to add.
"""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import Final

import msgspec

from gypsumrouter.const import MS_PER_S
from gypsumrouter.forwarding.budget import RetryBudget
from gypsumrouter.forwarding.const import MIN_RESPONSE_TIMEOUT_MS
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.ends.events import find_first_event
from gypsumrouter.forwarding.ends.relay import CallerDisconnected, Relay, RelayResult, StreamEnd
from gypsumrouter.forwarding.models import Outcome, StreamingResponse, Unreachable
from gypsumrouter.forwarding.outcome_recorder import OutcomeRecorder
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.replacement import RESERVED_BUDGET
from gypsumrouter.forwarding.run import Run, RunContext
from gypsumrouter.forwarding.silence import Awaited, SilentRequest, find_obstacle, get_patience_ms
from gypsumrouter.forwarding.standby import Standby
from gypsumrouter.forwarding.stream_pin import StreamPin
from gypsumrouter.forwarding.stream_signs import CutSign, FollowedStream, StreamSigns
from gypsumrouter.helpers.http_response import Framing
from gypsumrouter.helpers.metrics import Counter
from gypsumrouter.util.token_bucket import TokenBucket

# Why a stream that its upstream has ended in order counts as broken off.
CUT: Final = "cut while its upstream lives"
BESIDE_CUT: Final = "ended beside a stream that was cut"
# Part of a service's retries that checks without a sign may use in a row. As many as accrue of the
# slack may follow: where no stream is framed, nearly all of these checks are in vain.
SIGNLESS_SHARE: Final = 0.25


class CheckResult(Enum):
    """What a run that is asked to go on has shown; the names are labels of a metric.

    OPEN: nothing. NOT_ASKED: the budget or the upstreams had no room for one.
    """

    GOES_ON = auto()
    NOTHING_TO_ADD = auto()
    OPEN = auto()
    NOT_ASKED = auto()


class SignlessChecks:
    """Limits the checks of streams of which nothing suggests that they were cut."""

    __slots__ = ("_buckets", "_budget", "_refilled")

    def __init__(self, *, budget: RetryBudget) -> None:
        self._budget = budget
        self._buckets: dict[str, TokenBucket] = {}
        # The retries that had accrued of the slack when a service's bucket was last refilled.
        self._refilled: dict[str, float] = {}

    def try_take(self, service: str) -> bool:
        """Take one check; return whether there was one."""
        accrued = self._budget.get_accrued_slack()
        capacity = max(1.0, SIGNLESS_SHARE * self._budget.get_usage(service).capacity)
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = TokenBucket(capacity=capacity, tokens=capacity)
            self._refilled[service] = accrued
        bucket.set_capacity(capacity)
        bucket.add(max(0.0, accrued - self._refilled[service]))
        self._refilled[service] = accrued
        return bucket.try_take()


class EndDoubts:
    """What the streams of a router share: signs, and limits of the checks."""

    __slots__ = ("checks", "signless", "signs")

    def __init__(self, *, signs: StreamSigns, signless: SignlessChecks, checks: Counter) -> None:
        self.signs = signs
        self.signless = signless
        self.checks = checks


class DoubtChecks:
    """Checks the ends of one request's streams; a run that goes on is added to the standby."""

    __slots__ = (
        "_budget",
        "_context",
        "_doubts",
        "_recorder",
        "_relay",
        "_service",
        "_standby",
        "_stream",
    )

    def __init__(
        self,
        *,
        context: RunContext,
        service: str,
        budget: RetryBudget,
        doubts: EndDoubts,
        recorder: OutcomeRecorder,
        relay: Relay,
        standby: Standby,
        stream: StreamPin,
    ) -> None:
        self._budget = budget
        self._context = context
        self._doubts = doubts
        self._recorder = recorder
        self._relay = relay
        self._service = service
        self._standby = standby
        self._stream = stream

    async def async_relay(self, run: Run, streaming: StreamingResponse) -> StreamEnd:
        """Relay the stream of a run until it ends; raises CallerDisconnected."""
        followed = self._follow(run, streaming)
        if followed is None:
            end = await self._relay.async_relay(streaming)
        else:
            with self._doubts.signs.follow(followed):
                end = await self._relay.async_relay(self._apply(run, streaming, followed))
        if end.result is RelayResult.COMPLETE:
            self._note_framing(run, streaming)
        return end

    def _note_framing(self, run: Run, streaming: StreamingResponse) -> None:
        """Note whether the end of a stream that is whole shows in its framing."""
        if streaming.is_event_stream:
            self._doubts.signs.note_framing(
                service=self._service,
                upstream=run.upstream,
                is_framed=streaming.answer.framing is not Framing.CLOSE,
            )

    def _follow(self, run: Run, streaming: StreamingResponse) -> FollowedStream | None:
        """Return the stream of a run if it has no framing, which other streams may show cut."""
        if not streaming.is_event_stream or streaming.answer.framing is not Framing.CLOSE:
            return None
        return FollowedStream(
            service=self._service,
            upstream=run.upstream,
            resumable=self._context.routed.route.resumable,
            read_ended_ms=run.attempt.read_ended_ms,
        )

    def _apply(
        self, run: Run, streaming: StreamingResponse, followed: FollowedStream
    ) -> StreamingResponse:
        """Return a stream whose end is also checked by others once its upstream confirms it."""

        async def async_find_missing_end() -> str | None:
            missing = await streaming.find_missing_end()
            return missing or await self._async_find_cut(run, followed)

        return msgspec.structs.replace(streaming, find_missing_end=async_find_missing_end)

    async def _async_find_cut(self, run: Run, followed: FollowedStream) -> str | None:
        """Return why a stream that its upstream has ended in order is incomplete, None if not."""
        if not self._may_ask():
            # Doubt would cost the stream, and not only a repeat.
            followed.is_decided = True
            return None
        signs = self._doubts.signs
        sign = await signs.async_find_sign(followed)
        shown = CheckResult.NOT_ASKED
        if not signs.is_beside_cut(followed):
            shown = await self._async_check(run, sign)
        if shown is CheckResult.GOES_ON:
            signs.note_cut(followed)
            return CUT
        if shown is CheckResult.NOTHING_TO_ADD:
            return None
        followed.is_decided = True
        await signs.async_wait_for_checks(followed, limit_ms=self._get_patience_ms())
        return BESIDE_CUT if signs.is_beside_cut(followed) else None

    async def _async_check(self, run: Run, sign: CutSign) -> CheckResult:
        """Ask another upstream to go on, if that costs no failed run its retry."""
        shown = CheckResult.NOT_ASKED
        await self._stream.async_settle()
        placement = self._place(run)
        if placement is not None and self._acquire(sign):
            # What was prepared for a silence before the end is not needed.
            self._standby.drop()
            run.attempt.close()
            shown = await self._async_ask(placement)
        self._doubts.checks.inc(labels=(("result", shown.name.lower()), ("sign", sign.value)))
        return shown

    def _get_patience_ms(self) -> int:
        """Return how long the first event of another run is waited for."""
        return get_patience_ms(
            self._context.routed.route,
            Awaited.FIRST_EVENT,
            remaining_ms=self._context.limits.remaining_ms,
        )

    def _may_ask(self) -> bool:
        """Return whether another run may go on with the stream, and has the time to."""
        context = self._context
        remaining_ms = context.limits.remaining_ms
        if context.app.stopping.is_set() or remaining_ms < 2 * MIN_RESPONSE_TIMEOUT_MS:
            return False
        if self._relay.sent is None or context.find_verdict() is not None:
            return False
        request = SilentRequest(
            route=context.routed.route,
            sent=self._relay.sent,
            runs=len(context.progress.possibly_ran_on) + 1,
            remaining_ms=remaining_ms,
            version_proven=True,
        )
        return find_obstacle(request) is None

    def _place(self, run: Run) -> Placement | None:
        """Return where the stream could go on, None if nowhere."""
        if not self._stream.is_proven or not self._may_ask():
            return None
        context = self._context
        placement = context.placer.place(
            service=self._service,
            prompt=context.request.prompt,
            excluded={run.upstream, *context.progress.possibly_ran_on},
            avoided=self._recorder.list_avoided(goes_on=True),
            limit_ms=context.limits.remaining_ms,
            version=self._stream.version,
        )
        return None if isinstance(placement, PlacementRefusal) else placement

    def _acquire(self, sign: CutSign) -> bool:
        """Take a retry if the budget bears a check; return whether there was one."""
        reserved = 1 - SIGNLESS_SHARE if sign is CutSign.NONE else RESERVED_BUDGET
        if not self._budget.has_spare(self._service, reserved=reserved):
            return False
        if sign is CutSign.NONE and not self._doubts.signless.try_take(self._service):
            return False
        return self._budget.try_acquire(self._service)

    async def _async_ask(self, placement: Placement) -> CheckResult:
        """Return whether another run has something to add; one that has is on standby then."""
        check = Run(
            context=self._context,
            placement=placement,
            last_event_id=self._relay.last_event_id,
        )
        shown = CheckResult.OPEN
        try:
            async with asyncio.timeout(self._get_patience_ms() / MS_PER_S):
                outcome = await self._async_get_outcome(check)
            shown = self._read(check, outcome)
        except TimeoutError:
            pass
        finally:
            if shown is CheckResult.GOES_ON:
                self._standby.add(check)
            else:
                check.end_unneeded()
        return shown

    async def _async_get_outcome(self, check: Run) -> Outcome:
        """Return the outcome of a run, of a stream with its first event; may raise TimeoutError."""
        try:
            failed = await check.async_open(
                self._stream.get_start_check(check.placement.entry.service)
            )
        except CallerDisconnected:
            failed = Unreachable(reason="the caller has left")
        if failed is not None:
            check.note_outcome(failed)
            return failed
        pending = check.send_beside(list_age_ms=self._stream.list_age_ms)
        await asyncio.wait((pending,))
        return pending.result()

    def _read(self, check: Run, outcome: Outcome) -> CheckResult:
        """Return what the outcome of a run shows that was asked to go on."""
        if not isinstance(outcome, StreamingResponse) or not outcome.is_event_stream:
            return CheckResult.OPEN
        if find_first_event(outcome.initial_bytes) is None:
            # Its framing shows that it is whole.
            check.observer.note_completed()
            check.attempt.release()
            return CheckResult.NOTHING_TO_ADD
        fault = self._relay.find_order_fault(outcome)
        if fault is None:
            return CheckResult.GOES_ON
        self._recorder.record_broken_stream(check.attempt, message="", fault=fault)
        return CheckResult.OPEN
