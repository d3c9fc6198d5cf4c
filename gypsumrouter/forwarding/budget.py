"""Retry budget of the whole fleet, of which each router spends its own share."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from gypsumrouter.util.clock import Clock
from gypsumrouter.util.token_bucket import TokenBucket

# Factor on each router's share, because routers' views of the fleet size differ temporarily.
SAFETY_FACTOR: Final = 0.85
# Part of a router's share of the slack that it can spend at once; the rest accrues over the window.
BURST_SHARE: Final = 0.7
# How long a router that is no longer seen still counts: it may be cut off and serve callers.
FLEET_SIZE_HOLD_MS: Final = 60_000


class RetryUsage(Struct, frozen=True, kw_only=True):
    """Retries that are available for a service, the most that can be, and the sharing routers."""

    available: float
    capacity: float
    routers: int


class RetryBudget:
    """Token buckets that bound the retries of the whole fleet for each service.

    Within any window of `window_ms` the fleet may send `ratio` retries per request, plus `slack`.
    Each request adds `ratio` tokens at the router that forwards it. The capacity of the buckets of
    all routers and what accrues in them during a window add up to the slack. A bucket starts empty,
    since the process that this one replaces may have spent its own, except at the first start of
    the fleet. So the bound holds whichever routers restart and whichever serve the callers.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_first_start",
        "_ratio",
        "_refilled_ms",
        "_routers",
        "_routers_ms",
        "_slack",
        "_started_ms",
        "_window_ms",
    )

    def __init__(
        self, *, clock: Clock, ratio: float, slack: float, window_ms: int, first_start: bool
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._first_start = first_start
        self._started_ms = clock.now_ms()
        self._buckets: dict[str, TokenBucket] = {}
        self._refilled_ms: dict[str, int] = {}
        self._routers = 1
        self._routers_ms = self._started_ms

    def set_bounds(self, *, ratio: float, slack: float, window_ms: int) -> None:
        """Replace the bounds; available retries stay available up to the new capacity."""
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms

    def set_routers(self, count: int) -> None:
        """Set the number of routers that share the slack; a decrease takes effect with a delay."""
        now_ms = self._clock.now_ms()
        if count >= self._routers or now_ms - self._routers_ms >= FLEET_SIZE_HOLD_MS:
            self._routers = max(1, count)
            self._routers_ms = now_ms

    def note_request(self, service: str) -> None:
        """Count a request of a caller to a service."""
        self._refill(service).add(SAFETY_FACTOR * self._ratio)

    def try_acquire(self, service: str) -> bool:
        """Spend one retry of the budget; return whether there was one left."""
        return self._refill(service).try_take()

    def has_spare(self, service: str, *, reserved: float) -> bool:
        """Return whether a retry is left beside the share `reserved` of the capacity (0 to 1)."""
        bucket = self._refill(service)
        return bucket.tokens - 1 >= reserved * (bucket.capacity - 1)

    def try_acquire_spare(self, service: str, *, reserved: float) -> bool:
        """Spend one retry if `has_spare`; return whether there was one."""
        return self.has_spare(service, reserved=reserved) and self.try_acquire(service)

    def get_usage(self, service: str) -> RetryUsage:
        """Return the state of the budget for a service."""
        bucket = self._refill(service)
        return RetryUsage(available=bucket.tokens, capacity=bucket.capacity, routers=self._routers)

    def get_accrued_slack(self) -> float:
        """Return how many retries have accrued of the slack since the start, whoever used them."""
        elapsed_ms = self._clock.now_ms() - self._started_ms
        return (1 - BURST_SHARE) * self._get_slack_share() * elapsed_ms / self._window_ms

    def _refill(self, service: str) -> TokenBucket:
        """Return the bucket of a service, with the tokens that have accrued since its last use."""
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._refilled_ms.get(service, self._started_ms)
        self._refilled_ms[service] = now_ms
        capacity = self._get_capacity()
        bucket = self._buckets.get(service)
        if bucket is None:
            tokens = capacity if self._first_start else 0.0
            bucket = self._buckets[service] = TokenBucket(capacity=capacity, tokens=tokens)
        bucket.set_capacity(capacity)
        bucket.add((1 - BURST_SHARE) * self._get_slack_share() * elapsed_ms / self._window_ms)
        return bucket

    def _get_capacity(self) -> float:
        return max(1.0, BURST_SHARE * self._get_slack_share())

    def _get_slack_share(self) -> float:
        return SAFETY_FACTOR * self._slack / self._routers
