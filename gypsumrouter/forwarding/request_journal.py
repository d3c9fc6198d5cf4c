"""Journal records about one request."""

from __future__ import annotations

import math

from gypsumrouter.forwarding.attempt import Attempt
from gypsumrouter.forwarding.budget import RetryUsage
from gypsumrouter.forwarding.ends.relay import ContinuationBegun, StreamEnd
from gypsumrouter.forwarding.models import (
    CallerRequest,
    CompleteResponse,
    Outcome,
    Prompt,
    Rejected,
    ResponseLost,
    StreamingResponse,
    Unreachable,
    Withheld,
)
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.helpers.numbers import read_number
from gypsumrouter.journal import (
    AttemptEnded,
    AttemptSent,
    AttemptSilent,
    DeadlineEnd,
    Journal,
    RequestPlaced,
    RequestRefused,
    RetryDecided,
    RunBroken,
    StreamEnded,
    StreamResumed,
)
from gypsumrouter.routing import RouteMatch


class RequestJournal:
    """Records the decisions about one request.

    Records that depend on them include the versions of the configuration and of the upstream list
    on which the decision was based.
    """

    __slots__ = (
        "_configuration",
        "_journal",
        "_list_revision",
        "_request",
        "_routed",
        "_service",
        "obstacle",
    )

    def __init__(
        self,
        *,
        journal: Journal,
        request: CallerRequest,
        routed: RouteMatch,
        service: str,
        configuration: int,
        list_revision: int,
    ) -> None:
        self._journal = journal
        self._request = request
        self._routed = routed
        self._service = service
        self._configuration = configuration
        self._list_revision = list_revision
        # What last kept another upstream from going on with the request.
        self.obstacle = ""

    def record_placed(self, placement: Placement, *, attempt: int, peers_age_ms: int) -> None:
        """Record which upstream was chosen, and the inputs of the choice."""
        self._journal.record(
            RequestPlaced(
                request_id=self._request.request_id,
                route=self._routed.route.name,
                service=self._service,
                upstream=placement.entry.incarnation,
                version=placement.entry.version,
                attempt=attempt,
                load=placement.load,
                mean_load=placement.mean_load,
                prompt=_format_prompt_id(self._request.prompt),
                missing_tokens=placement.missing_tokens,
                fetch_from="" if placement.fetch_from is None else placement.fetch_from.incarnation,
                candidates=placement.candidates,
                peers_age_ms=peers_age_ms,
                list_revision=self._list_revision,
                configuration=self._configuration,
            )
        )

    def record_sent(self, attempt: Attempt, *, number: int, list_age_ms: int) -> None:
        """Record that the request is sent on a connection."""
        self._journal.record(
            AttemptSent(
                request_id=self._request.request_id,
                upstream=attempt.entry.incarnation,
                attempt=number,
                kept_connection=attempt.reused,
                deadline_ms=attempt.options.deadline_ms,
                start_known_by=attempt.start_source.value,
                list_age_ms=list_age_ms,
            )
        )

    def record_silent(
        self,
        attempt: Attempt,
        *,
        number: int,
        awaited: str,
        patience_ms: int,
        silent_ms: int,
        obstacle: str,
        replaced_by: str,
    ) -> None:
        """Record that an upstream is silent, and what takes over or why nothing does."""
        self.obstacle = obstacle
        self._journal.record(
            AttemptSilent(
                request_id=self._request.request_id,
                upstream=attempt.entry.incarnation,
                attempt=number,
                awaited=awaited,
                patience_ms=patience_ms,
                silent_ms=silent_ms,
                obstacle=obstacle,
                replaced_by=replaced_by,
            )
        )

    def record_ended(
        self, attempt: Attempt, outcome: Outcome | None, *, number: int, after_ms: int, step: str
    ) -> None:
        """Record the outcome of an attempt, None if it was cancelled, and the next step."""
        self._journal.record(
            AttemptEnded(
                request_id=self._request.request_id,
                upstream=attempt.entry.incarnation,
                attempt=number,
                outcome=_describe_outcome(outcome),
                ran=attempt.sent and not isinstance(outcome, Rejected),
                status=_get_status(outcome),
                after_ms=after_ms,
                answer_ms=attempt.answer_ms,
                next_step=step,
            )
        )

    def record_stream_ended(
        self,
        upstream: str,
        *,
        end: StreamEnd,
        streaming: StreamingResponse,
        progress: Progress,
        last_event_id: str | None,
    ) -> None:
        """Record how the streamed response of one upstream ended."""
        self._journal.record(
            StreamEnded(
                request_id=self._request.request_id,
                upstream=upstream,
                result=end.result.value,
                framing=streaming.answer.framing.value,
                events=progress.events,
                partial_bytes=end.partial_bytes,
                reason=end.reason,
                format="events" if streaming.is_event_stream else "plain",
                bytes_out=progress.bytes_out,
                last_event=last_event_id or "",
            )
        )

    def record_ended_at_deadline(self, attempt: Attempt) -> None:
        """Record that an answer may be cut short, as its upstream had to stop when it ended."""
        self._journal.record(
            DeadlineEnd(
                request_id=self._request.request_id,
                upstream=attempt.entry.incarnation,
                deadline_ms=attempt.options.deadline_ms,
                answer_ms=attempt.answer_ms,
            )
        )

    def record_broken(self, attempt: Attempt, *, events: int, after_ms: int) -> None:
        """Record that the upstream lost its connection while it ran the request."""
        prompt = self._request.prompt
        parts = () if prompt is None else prompt.shared
        self._journal.record(
            RunBroken(
                request_id=self._request.request_id,
                upstream=attempt.entry.incarnation,
                workspace=self._routed.workspace,
                parts=tuple(f"{part.part:x}" for part in parts),
                events=events,
                after_ms=after_ms,
            )
        )

    def record_resumed(self, upstream: str, begun: ContinuationBegun) -> None:
        """Record the first event of a run that has to go on behind another."""
        self._journal.record(
            StreamResumed(
                request_id=self._request.request_id,
                upstream=upstream,
                last_event=read_event_number(begun.last_event_id),
                first_event=read_event_number(begun.first_event_id),
                fault="" if begun.fault is None else begun.fault.value,
            )
        )

    def record_retry_decided(self, usage: RetryUsage, *, granted: bool) -> None:
        """Record whether the retry budget granted a retry, and its use before that."""
        self._journal.record(
            RetryDecided(
                request_id=self._request.request_id,
                service=self._service,
                granted=granted,
                available=math.floor(usage.available * 100) / 100,
                capacity=round(usage.capacity, 2),
                routers=usage.routers,
            )
        )

    def record_refused(
        self,
        *,
        reason: str,
        status: int,
        retry_after_ms: int,
        waited_ms: int,
        return_position: int,
        room_in_ms: int = 0,
        excess: float = 0.0,
    ) -> None:
        """Record that the request is refused without having run."""
        self._journal.record(
            RequestRefused(
                request_id=self._request.request_id,
                route=self._routed.route.name,
                reason=reason,
                status=status,
                retry_after_ms=retry_after_ms,
                waited_ms=waited_ms,
                configuration=self._configuration,
                list_revision=self._list_revision,
                return_position=return_position,
                room_in_ms=room_in_ms,
                excess=round(excess, 2),
            )
        )


def read_event_number(event_id: str | None) -> int:
    """Return the number that an event's id is, -1 if there is none or it is no number."""
    number = read_number(event_id)
    return -1 if number is None else number


def _format_prompt_id(prompt: Prompt | None) -> str:
    return f"{prompt.shared[-1].part:x}" if prompt is not None and prompt.shared else ""


def _describe_outcome(outcome: Outcome | None) -> str:
    match outcome:
        case None:
            return "cancelled"
        case Unreachable(reason=reason):
            return f"not reached: {reason}"
        case Withheld():
            return "withheld"
        case Rejected():
            return "turned away"
        case ResponseLost(reason=reason):
            return f"lost: {reason}"
        case CompleteResponse():
            return "whole"
        case StreamingResponse():
            return "begun"


def _get_status(outcome: Outcome | None) -> int:
    match outcome:
        case (
            Rejected(status=status)
            | CompleteResponse(status=status)
            | StreamingResponse(status=status)
        ):
            return status
    return 0
