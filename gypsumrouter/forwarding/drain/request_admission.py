"""What a draining router asks about one request."""

from __future__ import annotations

from gypsumrouter.forwarding.drain.admission import DrainAdmission
from gypsumrouter.forwarding.models import Prompt


class RequestAdmission:
    """Admission of one request in a drain; without a `drain` all is admitted."""

    __slots__ = ("_drain", "_needs_bound", "_prompt", "_service")

    def __init__(
        self,
        drain: DrainAdmission | None,
        *,
        service: str,
        prompt: Prompt | None,
        needs_bound: bool,
    ) -> None:
        self._drain = drain
        self._service = service
        self._prompt = prompt
        self._needs_bound = needs_bound

    def may_start(self, remaining_ms: int, upstream: str | None = None) -> bool:
        """Return whether to admit the request, or to send it to an upstream."""
        return self._drain is None or self._drain.admits(
            self._service,
            self._prompt,
            remaining_ms=remaining_ms,
            upstream=upstream,
            needs_bound=self._needs_bound,
        )

    def may_replace(self, *, events: int, remaining_ms: int, upstream: str) -> bool:
        """Return whether an upstream may go on with it after `events` of a silent one."""
        return self._drain is None or self._drain.admits_replacement(
            self._service,
            self._prompt,
            events=events,
            remaining_ms=remaining_ms,
            upstream=upstream,
            needs_bound=self._needs_bound,
        )
