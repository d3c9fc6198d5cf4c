"""Admission decision for one request: send it, let it wait or refuse it."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.contention.const import (
    DEADLINE_SHARE,
    ENGINE_TARGET_SHARE,
    HOLD_SHARE,
    PLAIN_TARGET_SHARE,
)
from gypsumrouter.contention.models import Expected
from gypsumrouter.outcomes import Reason


class Send(Struct, frozen=True, kw_only=True):
    """The request is sent now."""


class Wait(Struct, frozen=True, kw_only=True):
    """The request waits for capacity, at most `max_ms`."""

    max_ms: int


class Refuse(Struct, frozen=True, kw_only=True):
    """The request is refused; capacity for it is expected in `room_in_ms`."""

    reason: Reason
    room_in_ms: int


class Demand(Struct, frozen=True, kw_only=True):
    """What a request needs, in milliseconds from now.

    `target_ms` is the time left to its target, `remaining_ms` that to its deadline and `hold_ms`
    the longest wait that is left. `ahead_ms` is the time that the requests which go before it are
    expected to take.
    """

    plain: bool
    target_ms: float
    remaining_ms: float
    hold_ms: float
    ahead_ms: float = 0.0


def get_budget_ms(*, plain: bool, target_ms: float) -> float:
    """Return the expected time up to which a request counts as in time for its target."""
    return target_ms * (PLAIN_TARGET_SHARE if plain else ENGINE_TARGET_SHARE)


def get_hold_ms(*, target_ms: int, remaining_ms: int) -> int:
    """Return the longest wait of a request with the target of its route."""
    return max(0, int(min(target_ms, remaining_ms) * HOLD_SHARE))


def is_in_time(demand: Demand, expected: Expected) -> bool:
    """Return whether a request that is sent now is expected to meet its target."""
    budget_ms = get_budget_ms(plain=demand.plain, target_ms=demand.target_ms)
    return expected.total_ms <= budget_ms


def decide(demand: Demand, expected: Expected) -> Send | Wait | Refuse:
    """Return the decision for a request, from its expected time on the best upstream.

    A request that even an idle upstream would serve too late for its target gains nothing from
    waiting. It is sent, as is one whose longest wait has passed, unless it would miss its deadline.
    """
    late_ms = expected.total_ms + demand.ahead_ms - demand.remaining_ms * DEADLINE_SHARE
    if late_ms > 0:
        return Refuse(reason=Reason.TARGET_UNATTAINABLE, room_in_ms=int(late_ms) + 1)
    if demand.ahead_ms == 0 and is_in_time(demand, expected):
        return Send()
    slack_ms = demand.target_ms - expected.own_ms
    max_ms = int(min(slack_ms, demand.hold_ms))
    if max_ms <= 0:
        return Send()
    if demand.ahead_ms > max_ms:
        room_in_ms = int(demand.ahead_ms - max_ms) + 1
        return Refuse(reason=Reason.TARGET_UNATTAINABLE, room_in_ms=room_in_ms)
    return Wait(max_ms=max_ms)
