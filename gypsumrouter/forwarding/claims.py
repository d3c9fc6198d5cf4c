"""Claims of requests on the capacity of their service."""

from __future__ import annotations

from gypsumrouter.contention import Claim, Expected, Return, get_hold_ms
from gypsumrouter.forwarding.eligibility import PlacementRefusal
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.routing import RouteMatch


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
