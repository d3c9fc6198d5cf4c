"""Scenarios, requests and figures of the replay of upstreams that fall silent."""

from __future__ import annotations

from msgspec import Struct, field

from gypsumrouter.core import Application
from gypsumrouter.forwarding.models import Prompt
from gypsumrouter.forwarding.placed import Placement, SentRequest
from gypsumrouter.journal import Journal, UpstreamHealth
from gypsumrouter.journal.journal import Event

DARK, HALF_DEAD, MUTE = "dark", "half-dead", "mute"


class Scenario(Struct, frozen=True, kw_only=True):
    """Requests to upstreams of which `affected` fall silent together, or are gone for good.

    They fall silent for `silent_ms` every `period_ms`. With `gone` they are lost in that way from
    `lost_ms` on instead. `per_s` is the rate of requests of the one router.
    """

    upstreams: int
    per_s: float
    duration_ms: int
    affected: int
    silent_ms: int = 0
    period_ms: int = 5_000
    gone: str = ""
    lost_ms: int = 6_000


class Figures(Struct, kw_only=True):
    """Counts of one replay; tokens are those of shared prompt parts.

    `at_silent` are the requests that were sent to upstreams while these were silent or gone, and
    `sent_after_ms` how long after the loss each request to a gone upstream was sent.
    """

    requests: int = 0
    in_time: int = 0
    unanswered: int = 0
    at_silent: int = 0
    replaced: int = 0
    not_replaced: int = 0
    unhealthy: int = 0
    shared_tokens: int = 0
    again_tokens: int = 0
    copied_tokens: int = 0
    sent_after_ms: list[int] = field(default_factory=list)


class CountingJournal(Journal):
    """Counts the upstreams that become unhealthy."""

    __slots__ = ("unhealthy",)

    def __init__(self, *, app: Application) -> None:
        super().__init__(app=app)
        self.unhealthy = 0

    def record(self, event: Event) -> None:
        """Count an event."""
        self.unhealthy += isinstance(event, UpstreamHealth) and not event.healthy


class Request:
    """A request of a caller and its runs."""

    __slots__ = (
        "arrived_ms",
        "attempts",
        "begun",
        "ended",
        "present",
        "prompt",
        "standby",
        "tried",
    )

    def __init__(self, *, arrived_ms: int, prompt: Prompt | None) -> None:
        self.arrived_ms = arrived_ms
        self.prompt = prompt
        self.attempts = 0
        self.tried: set[str] = set()
        self.present: Run | None = None
        self.standby: Run | None = None
        self.begun = False
        self.ended = False


class Run:
    """A run of a request at an upstream, which delivers parts of the response at planned times."""

    __slots__ = ("ended", "heard_ms", "placement", "request", "sent", "sent_ms", "times")

    def __init__(
        self, *, request: Request, placement: Placement, sent: SentRequest, now_ms: int
    ) -> None:
        self.request = request
        self.placement = placement
        self.sent = sent
        self.sent_ms = self.heard_ms = now_ms
        self.times: list[int] = []
        self.ended = False

    @property
    def upstream(self) -> str:
        """Return the upstream."""
        return self.placement.entry.incarnation
