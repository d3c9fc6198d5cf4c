"""What one request takes part in while upstreams lack capacity: queue, shares and return order.

Its claim on the capacity of its service states its estimated work.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from gypsumrouter.contention import (
    Admitted,
    Claim,
    ContentionControl,
    Expected,
    Refused,
    Return,
    WorkspaceShares,
    get_hold_ms,
)
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.models import (
    CallerRequest,
    Outcome,
    Prompt,
    Rejected,
    Unreachable,
)
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.progress import OUTCOME_ANSWERED, Progress
from gypsumrouter.forwarding.return_order import Reservation, ReturnOrder
from gypsumrouter.routing import RouteMatch
from gypsumrouter.util.clock import Clock

# Work of a request without a prompt, in prompt tokens. A plain upstream with 6 slots works 7 to
# 15 ms on one, in which an engine prefills 600 to 1,000 tokens.
PLAIN_TOKENS: Final = 800.0
# Prompt tokens that an engine prefills in the time of one output token: a decode step of 3.8 ms is
# shared by up to 64 requests, and 70 to 80 prompt tokens take 1 ms.
TOKENS_PER_OUTPUT_TOKEN: Final = 4.0


class ContentionContext(Struct, frozen=True, kw_only=True):
    """The parts that a forwarder has; each is None if it is disabled.

    Without `shares` the work of workspaces is not counted, without `return_order` refused requests
    return at random times, and without `queue` requests never wait in the router.
    """

    shares: WorkspaceShares | None = None
    return_order: ReturnOrder | None = None
    queue: ContentionControl | None = None


class RequestContention:
    """The part of one request in the admission queue, the fair shares and the return order."""

    __slots__ = (
        "_clock",
        "_context",
        "_cost",
        "_digest",
        "_placer",
        "_progress",
        "_request",
        "_return",
        "_routed",
        "_service",
    )

    def __init__(
        self,
        *,
        context: ContentionContext,
        clock: Clock,
        placer: Placer,
        request: CallerRequest,
        routed: RouteMatch,
        service: str,
        digest: int,
        progress: Progress,
    ) -> None:
        self._context = context
        self._clock = clock
        self._placer = placer
        self._request = request
        self._routed = routed
        self._service = service
        self._digest = digest
        self._progress = progress
        self._cost = estimate_cost(request.prompt)
        self._return = Return.UNKNOWN

    def note_arrival(self) -> None:
        """Count the request for its workspace, and recognize one that returns after a refusal."""
        shares, order = self._context.shares, self._context.return_order
        workspace = self._routed.workspace
        if shares is not None:
            shares.note(workspace=workspace, cost=self._cost, now_ms=self._clock.now_ms())
        if order is not None:
            self._return = order.claim(digest=self._digest, workspace=workspace)

    async def async_admit(self, *, remaining_ms: int) -> Admitted | Refused:
        """Wait for capacity under contention; return whether the request may be sent.

        Plain requests are admitted by their expected completion when they are placed; a second
        decision on older loads would refuse requests that are still in time.
        """
        queue = self._context.queue
        if queue is None or self._request.prompt is None:
            return Admitted()
        claim = make_claim(
            placer=self._placer,
            request=self._request,
            routed=self._routed,
            service=self._service,
            digest=self._digest,
            returned=self._return,
            waited_ms=self._get_waited_ms(),
            remaining_ms=remaining_ms,
        )
        return await queue.async_admit(claim)

    def get_needed_permits(self) -> int:
        """Return the permits that a plain request needs; further attempts need one."""
        order = self._context.return_order
        if order is None or self._progress.attempts:
            return 1
        return order.get_needed_permits(self._service, self._return)

    def note_attempt(self) -> None:
        """Count the request as work that is sent for its workspace, once for all attempts."""
        shares = self._context.shares
        if shares is not None and self._progress.attempts == 1:
            workspace = self._routed.workspace
            shares.note_sent(workspace=workspace, cost=self._cost, now_ms=self._clock.now_ms())

    def note_attempt_ended(self, outcome: Outcome | None) -> None:
        """Tell the return order that an attempt has ended, unless it took up no capacity."""
        order = self._context.return_order
        if order is not None and not isinstance(outcome, Unreachable | Rejected):
            order.note_release(self._service)

    def notify_load_changed(self) -> None:
        """Let waiting requests be released if the load of the service now allows it."""
        if self._context.queue is not None:
            self._context.queue.note_changed(self._service)

    def note_served(self) -> None:
        """Count the work of the request as served, if it was answered."""
        shares = self._context.shares
        if shares is not None and self._progress.outcome == OUTCOME_ANSWERED:
            shares.note_served(cost=self._cost, now_ms=self._clock.now_ms())

    def reserve_return(self, *, room_in_ms: int, remaining_ms: int) -> Reservation | None:
        """Reserve a time of return for the refused request, None without a return order."""
        order = self._context.return_order
        if order is None:
            return None
        return order.reserve(
            service=self._service,
            digest=self._digest,
            workspace=self._routed.workspace,
            plain=self._request.prompt is None,
            room_in_ms=room_in_ms,
            remaining_ms=remaining_ms,
            target_left_ms=self._routed.route.target_latency_ms - self._get_waited_ms(),
        )

    def _get_waited_ms(self) -> int:
        return self._clock.now_ms() - self._progress.arrived_ms


def estimate_cost(prompt: Prompt | None) -> float:
    """Return the work of a request in prompt tokens, without regard to cached parts."""
    if prompt is None:
        return PLAIN_TOKENS
    return prompt.input_tokens + TOKENS_PER_OUTPUT_TOKEN * prompt.max_output_tokens


def make_claim(
    *,
    placer: Placer,
    request: CallerRequest,
    routed: RouteMatch,
    service: str,
    digest: int,
    returned: Return,
    waited_ms: int,
    remaining_ms: int,
) -> Claim:
    """Return the claim of a request that arrived `waited_ms` ago and has `remaining_ms` left."""

    def estimate() -> Expected | None:
        # Without a time limit the placement has no effect on the admission of plain requests.
        placed = placer.place(service=service, prompt=request.prompt, excluded=())
        if isinstance(placed, PlacementRefusal):
            return None
        return placer.estimate(placed, request.prompt)

    target_ms = routed.route.target_latency_ms
    return Claim(
        request_id=request.request_id,
        service=service,
        caller_class=routed.route.name,
        workspace=routed.workspace,
        priority=routed.priority,
        plain=request.prompt is None,
        digest=digest,
        target_ms=target_ms - waited_ms,
        remaining_ms=remaining_ms,
        hold_ms=get_hold_ms(target_ms=target_ms, remaining_ms=remaining_ms),
        route_target_ms=target_ms,
        estimate=estimate,
        returned=returned,
    )
