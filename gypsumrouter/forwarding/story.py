"""The journal lines of one request."""

from __future__ import annotations

from gypsumrouter.forwarding.attempt import Attempt
from gypsumrouter.forwarding.models import (
    Begun,
    CallerRequest,
    Lost,
    NotReached,
    Outcome,
    Prompt,
    TurnedAway,
    Whole,
)
from gypsumrouter.forwarding.placed import Placed
from gypsumrouter.journal import (
    AttemptEnded,
    AttemptSent,
    Journal,
    RequestPlaced,
    RequestRefused,
    StreamResumed,
)
from gypsumrouter.routing import RouteMatch


class RequestStory:
    """Writes what is decided about one request, with the versions that it was decided on."""

    __slots__ = ("_configuration", "_journal", "_list_revision", "_request", "_routed", "_service")

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

    def note_placed(self, placed: Placed, *, attempt: int, peers_age_ms: int) -> None:
        """Tell which upstream was chosen, and by what."""
        self._journal.record(
            RequestPlaced(
                request_id=self._request.request_id,
                route=self._routed.route.name,
                service=self._service,
                upstream=placed.entry.incarnation,
                attempt=attempt,
                load=placed.load,
                mean_load=placed.mean_load,
                prompt=_name_prompt(self._request.prompt),
                missing_tokens=placed.missing_tokens,
                fetch_from="" if placed.fetch_from is None else placed.fetch_from.incarnation,
                candidates=placed.candidates,
                peers_age_ms=peers_age_ms,
                list_revision=self._list_revision,
                configuration=self._configuration,
            )
        )

    def note_sent(self, attempt: Attempt, *, number: int) -> None:
        """Tell that the request goes out on a connection."""
        self._journal.record(
            AttemptSent(
                request_id=self._request.request_id,
                upstream=attempt.entry.incarnation,
                attempt=number,
                kept_connection=attempt.kept,
                deadline_ms=attempt.sending.deadline_ms,
            )
        )

    def note_ended(
        self, attempt: Attempt, outcome: Outcome | None, *, number: int, after_ms: int, step: str
    ) -> None:
        """Tell how an attempt ended and what follows; no outcome is one that was cancelled."""
        self._journal.record(
            AttemptEnded(
                request_id=self._request.request_id,
                upstream=attempt.entry.incarnation,
                attempt=number,
                outcome=_describe(outcome),
                ran=attempt.sent and not isinstance(outcome, TurnedAway),
                status=_get_status(outcome),
                after_ms=after_ms,
                next_step=step,
            )
        )

    def note_resumed(self, upstream: str, *, last_id: str) -> None:
        """Tell that a stream goes on elsewhere."""
        last_event = int(last_id) if last_id.isdigit() else -1
        self._journal.record(
            StreamResumed(
                request_id=self._request.request_id, upstream=upstream, last_event=last_event
            )
        )

    def note_refused(
        self, *, reason: str, status: int, retry_after_ms: int, waited_ms: int
    ) -> None:
        """Tell that the request is turned away and never ran."""
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
            )
        )


def _name_prompt(prompt: Prompt | None) -> str:
    return f"{prompt.shared[-1].part:x}" if prompt is not None and prompt.shared else ""


def _describe(outcome: Outcome | None) -> str:
    match outcome:
        case None:
            return "cancelled"
        case NotReached(reason=reason):
            return f"not reached: {reason}"
        case TurnedAway():
            return "turned away"
        case Lost(reason=reason):
            return f"lost: {reason}"
        case Whole():
            return "whole"
        case Begun():
            return "begun"


def _get_status(outcome: Outcome | None) -> int:
    match outcome:
        case TurnedAway(status=status) | Whole(status=status) | Begun(status=status):
            return status
    return 0
