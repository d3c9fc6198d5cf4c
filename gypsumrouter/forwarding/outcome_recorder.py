"""What an attempt and its outcome say of their upstream and of their request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection

from gypsumrouter.crashes import CrashGuard, Run, Subjects
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.attempt import Attempt
from gypsumrouter.forwarding.connections import ConnectionPool
from gypsumrouter.forwarding.ends.disorders import StreamDisorders
from gypsumrouter.forwarding.ends.event_order import OrderFault
from gypsumrouter.forwarding.models import (
    CompleteResponse,
    Rejected,
    ResponseLost,
    ResponseMetadata,
    Unreachable,
)
from gypsumrouter.forwarding.next_step import STATUS_SERVER_ERROR
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.progress import Progress

UnstreamedOutcome = Unreachable | Rejected | ResponseLost | CompleteResponse


class OutcomeRecorder:
    """Updates a request's state and the health of its upstreams after each attempt."""

    __slots__ = ("_disorders", "_placer", "_pool", "_progress", "_suspects")

    def __init__(
        self,
        *,
        placer: Placer,
        pool: ConnectionPool,
        suspects: CrashGuard,
        disorders: StreamDisorders,
        progress: Progress,
    ) -> None:
        self._disorders = disorders
        self._placer = placer
        self._pool = pool
        self._suspects = suspects
        self._progress = progress

    def record(self, attempt: Attempt, outcome: UnstreamedOutcome) -> None:
        """Record an outcome without a stream."""
        upstream = attempt.entry.incarnation
        match outcome:
            case Unreachable():
                self.record_unreachable(attempt.entry, outcome)
                self._progress.unreachable += 1
                self._progress.met_silence |= outcome.silent
                self._progress.excluded_upstreams.add(upstream)
            case Rejected():
                self._record_rejection(upstream, outcome)
            case ResponseLost():
                self._record_lost(attempt, outcome)
            case CompleteResponse(status=status) if status < STATUS_SERVER_ERROR:
                self.record_success(upstream)
            case CompleteResponse(status=status):
                self._placer.health.note_failure(upstream, reason=f"status {status}")
                self._progress.fallback_response = outcome
                self._progress.note_possible_run(upstream)

    def record_unreachable(self, entry: Entry, outcome: Unreachable) -> None:
        """Record that no connection to an upstream could be used."""
        self._placer.note_unreachable(entry, reason=outcome.reason, refused=outcome.refused)
        self._pool.close_idle(entry.incarnation)

    def _record_lost(self, attempt: Attempt, outcome: ResponseLost) -> None:
        """Record that an upstream may have run the request without a complete response."""
        upstream = attempt.entry.incarnation
        self._placer.health.note_failure(upstream, reason=outcome.reason)
        if outcome.connection_broken:
            self._suspects.note_broken(upstream, outlived=attempt.make_cut_question())
        self._progress.note_possible_run(upstream)

    def record_broken_stream(
        self, attempt: Attempt, *, message: str, fault: OrderFault | None = None
    ) -> None:
        """Record that a stream has broken off, or with a `fault` that it was broken off for that.

        An upstream whose run does not go on behind the events that the caller has is sound: it has
        not crashed, and serves new streams as before.
        """
        entry = attempt.entry
        if fault is None:
            self._record_lost(
                attempt,
                ResponseLost(reason=message, connection_broken=attempt.may_have_crashed),
            )
            return
        # What a caller says of the events that it has proves nothing of an upstream.
        is_proven = fault.is_certain and self._progress.events > 0
        self._disorders.note(entry, fault, is_proven=is_proven)
        self._progress.note_possible_run(entry.incarnation)

    def list_avoided(self, *, goes_on: bool) -> Collection[str]:
        """Return the upstreams that are not asked while others can; `goes_on` for a resumption."""
        return self._disorders.list_all() if goes_on else ()

    def record_silent(self, upstream: str, *, silent_ms: int) -> None:
        """Record that another upstream took over from one that was silent for `silent_ms`."""
        self._placer.health.note_silent(upstream, silent_ms=silent_ms)
        self._progress.note_possible_run(upstream)

    def record_success(self, upstream: str) -> None:
        """Record that an upstream served the request."""
        self._placer.health.note_success(upstream)

    def _record_rejection(self, upstream: str, outcome: Rejected) -> None:
        if outcome.wrong_upstream:
            self._placer.health.note_unreachable(
                upstream, reason="another upstream has its address"
            )
        else:
            self._placer.health.note_failure(upstream, reason="turned away")
        self._progress.rejections += 1
        self._progress.excluded_upstreams.add(upstream)


class RunObserver:
    """Follows the runs of one request at its upstreams, for the detection of crashes.

    Unless `enabled`, nothing is followed and no request is refused.
    """

    __slots__ = ("_enabled", "_guard", "_placer", "_request_id", "_run", "_subjects")

    def __init__(
        self,
        *,
        guard: CrashGuard,
        placer: Placer,
        request_id: str,
        subjects: Subjects,
        enabled: bool,
    ) -> None:
        self._guard = guard
        self._placer = placer
        self._request_id = request_id
        self._subjects = subjects
        self._enabled = enabled
        self._run: Run | None = None

    def start(self, upstream: str) -> None:
        """Record that the request is sent to an upstream."""
        if not self._enabled:
            return
        self._run = self._guard.start(
            upstream=upstream, request_id=self._request_id, subjects=self._subjects
        )

    def handle_head(self, entry: Entry, metadata: ResponseMetadata) -> None:
        """Record the head of a response, to this or to another request."""
        self._placer.apply_response_metadata(entry, metadata)
        self._guard.note_life(entry.incarnation)
        if self._run is not None:
            self._run.has_head = True

    def note_received(self, *, shows_life: bool) -> None:
        """Record that a piece of the response of the present run has arrived."""
        if self._run is not None:
            self._guard.note_received(self._run, shows_life=shows_life)

    def note_unframed_end(
        self, entry: Entry, ended_ms: int, survived: Callable[[], Awaitable[bool | None]]
    ) -> None:
        """Record the end of an answer that may show a crash, unless the upstream `survived` it."""
        self._guard.note_broken(entry.incarnation, outlived=survived, broken_ms=ended_ms)

    def note_completed(self) -> None:
        """Record that the response of the present run is complete."""
        if self._run is not None:
            self._guard.note_completed(self._run)

    def end(self, *, ran: bool) -> None:
        """End the present run, if there is one; unless it `ran`, it counts for nothing."""
        run, self._run = self._run, None
        if run is None:
            return
        if ran:
            self._guard.note_ended(run)
        else:
            self._guard.note_not_run(run)
