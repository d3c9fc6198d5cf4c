"""Retry budget of the whole fleet, of which each router spends its own share."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from gypsumrouter.util.clock import Clock

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


class _Bucket:
    """Retries that can be made for one service, as of `updated_ms`."""

    __slots__ = ("tokens", "updated_ms")

    def __init__(self, *, tokens: float, updated_ms: int) -> None:
        self.tokens = tokens
        self.updated_ms = updated_ms


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
        self._buckets: dict[str, _Bucket] = {}
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
        bucket = self._refill(service)
        bucket.tokens = min(self._get_capacity(), bucket.tokens + SAFETY_FACTOR * self._ratio)

    def try_acquire(self, service: str) -> bool:
        """Spend one retry of the budget; return whether there was one left."""
        bucket = self._refill(service)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def get_usage(self, service: str) -> RetryUsage:
        """Return the state of the budget for a service."""
        return RetryUsage(
            available=self._refill(service).tokens,
            capacity=self._get_capacity(),
            routers=self._routers,
        )

    def _refill(self, service: str) -> _Bucket:
        """Return the bucket of a service, with the tokens that have accrued since its last use."""
        now_ms = self._clock.now_ms()
        capacity = self._get_capacity()
        bucket = self._buckets.get(service)
        if bucket is None:
            tokens = capacity if self._first_start else 0.0
            bucket = self._buckets[service] = _Bucket(tokens=tokens, updated_ms=self._started_ms)
        accruing = (1 - BURST_SHARE) * self._get_slack_share()
        accrued = accruing * (now_ms - bucket.updated_ms) / self._window_ms
        bucket.tokens = min(capacity, bucket.tokens + accrued)
        bucket.updated_ms = now_ms
        return bucket

    def _get_capacity(self) -> float:
        return max(1.0, BURST_SHARE * self._get_slack_share())

    def _get_slack_share(self) -> float:
        return SAFETY_FACTOR * self._slack / self._routers
