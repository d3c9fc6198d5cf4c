"""Values of the admission queue, and its interface to the shares of workspaces."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from gypsumrouter.contention.returns import Return
from gypsumrouter.outcomes import Reason


class WorkspaceExcess(Protocol):
    """Compares the work of workspaces with their fair shares."""

    def get_excess(self, workspace: str, *, now_ms: int) -> float:
        """Return by which ratio a workspace exceeds its share; 0 within it."""


class NoShares:
    """Shares of a router that does not compare workspaces."""

    __slots__ = ()

    def get_excess(self, workspace: str, *, now_ms: int) -> float:
        """Return 0: every workspace is within its share."""
        return 0.0


class Expected(Struct, frozen=True, kw_only=True):
    """Expected time of a request on the best upstream, in milliseconds.

    It ends with the first event of a stream, or with the response of a plain service. `backlog_ms`
    is due to the requests before it, `own_ms` remains on an idle upstream.
    """

    backlog_ms: float
    own_ms: float

    @property
    def total_ms(self) -> float:
        """Return the time from sending to the first event or the response."""
        return self.backlog_ms + self.own_ms


class ServiceWork(Struct, frozen=True, kw_only=True):
    """Work and demand at a service as known to this router.

    `own_ms` and `peers_ms` are the unfinished work of this router and of its peers in milliseconds
    of an upstream, `upstreams` is the number of upstreams and `slots` the number of requests that
    they run at once. `own_running` and `peers_running` are
    the requests that this router and its peers run there. `peers_known` is set if there are recent
    reports of peers, of which the oldest has the age `peers_age_ms`; that is 0 without them.
    `routers` counts all known routers.
    """

    own_ms: float
    peers_ms: float
    upstreams: int
    slots: int
    own_running: int
    peers_running: int
    peers_known: bool
    peers_age_ms: int
    routers: int


class Claim(Struct, frozen=True, kw_only=True):
    """A request that asks for admission, before its first attempt.

    `caller_class` is the name of its route, `route_target_ms` the target of that route. `target_ms`
    is the time to the target and `remaining_ms` that to the deadline, counted from now; `hold_ms`
    is the longest wait. `estimate` returns the expected time on the upstream that a placement would
    choose now, None if a placement would be refused. `returned` tells whether it was refused before
    and returns at its time.
    """

    request_id: str
    service: str
    caller_class: str
    workspace: str
    priority: int
    plain: bool
    digest: int
    target_ms: int
    remaining_ms: int
    hold_ms: int
    route_target_ms: int
    estimate: Callable[[], Expected | None]
    returned: Return = Return.UNKNOWN


class Admitted(Struct, frozen=True, kw_only=True):
    """The request may be sent now; it has waited for `waited_ms`."""

    waited_ms: int = 0


class Refused(Struct, frozen=True, kw_only=True):
    """The request was not sent; capacity for it is expected in `room_in_ms`.

    `excess` is that of its workspace if it determined the decision.
    """

    reason: Reason
    message: str
    room_in_ms: int
    excess: float = 0.0


class Waiting:
    """A waiting request; all times are monotonic milliseconds.

    `hold_until_ms` is the end of the longest wait and `expires_ms` the deadline. `own_ms` is the
    expected time on an idle upstream, `expected_ms` that on the best upstream at its arrival.
    """

    __slots__ = (
        "arrived_ms",
        "claim",
        "expected_ms",
        "expires_ms",
        "future",
        "hold_until_ms",
        "own_ms",
        "priority",
        "returned",
        "route_target_ms",
        "sequence",
        "target_at_ms",
    )

    def __init__(
        self,
        *,
        claim: Claim,
        sequence: int,
        arrived_ms: int,
        expected: Expected,
        returned: Return,
        future: asyncio.Future[Admitted | Refused],
    ) -> None:
        self.claim = claim
        self.sequence = sequence
        self.arrived_ms = arrived_ms
        self.own_ms = expected.own_ms
        self.expected_ms = expected.total_ms
        self.returned = returned
        self.future = future
        self.priority = claim.priority
        self.route_target_ms = claim.route_target_ms
        self.target_at_ms = arrived_ms + claim.target_ms
        self.expires_ms = arrived_ms + claim.remaining_ms
        self.hold_until_ms = min(arrived_ms + claim.hold_ms, int(self.latest_start_ms))

    @property
    def latest_start_ms(self) -> float:
        """Return the latest start that meets the target."""
        return self.target_at_ms - self.own_ms

    def set_target(self, *, route_target_ms: int, priority: int) -> None:
        """Apply the target and the priority of a changed configuration."""
        self.priority = priority
        self.target_at_ms += route_target_ms - self.route_target_ms
        self.route_target_ms = route_target_ms
        self.hold_until_ms = min(self.hold_until_ms, int(self.latest_start_ms))
