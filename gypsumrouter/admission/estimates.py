"""Service time estimates from recent requests, by kind of work and request size."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.admission.const import (
    BYTES_PER_TOKEN,
    FIRST_TOKEN_SMOOTHING_DOWN,
    FIRST_TOKEN_SMOOTHING_UP,
    HOLD_SMOOTHING,
    INITIAL_FIRST_TOKEN_MS,
    INITIAL_HOLD_MS,
    MIN_RELEASE_INTERVAL_MS,
    SIZE_BUCKET_BYTES,
)
from gypsumrouter.link.models import Open


class ServiceTime(Struct, kw_only=True):
    """Estimated times of requests of one kind and size, in milliseconds.

    `first_token_ms` is a low quantile of the time to first token: a request is refused for its
    deadline only if even a fast response would miss it. `hold_ms` is the mean time a slot is held.
    """

    first_token_ms: float = INITIAL_FIRST_TOKEN_MS
    hold_ms: float = INITIAL_HOLD_MS

    def record_first_token(self, elapsed_ms: int) -> None:
        """Update the estimate with a time from slot grant to first token."""
        error = elapsed_ms - self.first_token_ms
        step = FIRST_TOKEN_SMOOTHING_UP if error > 0 else FIRST_TOKEN_SMOOTHING_DOWN
        self.first_token_ms += step * error

    def record_hold(self, elapsed_ms: int) -> None:
        """Update the estimate with the time that a slot was held."""
        self.hold_ms += HOLD_SMOOTHING * (elapsed_ms - self.hold_ms)


class Estimates:
    """Service times per kind and size bucket; `batch` and `interactive` cover all sizes."""

    __slots__ = ("_all", "_by_kind", "batch", "interactive")

    def __init__(self) -> None:
        self._by_kind = {
            (batch, size): ServiceTime()
            for batch in (False, True)
            for size in range(len(SIZE_BUCKET_BYTES) + 1)
        }
        self._all = ServiceTime()
        self.batch = ServiceTime()
        self.interactive = ServiceTime()

    def find(self, request: Open, *, batch: bool) -> ServiceTime:
        """Return the estimate for requests of the same kind and size bucket."""
        size_bytes = request.prompt_bytes + BYTES_PER_TOKEN * request.max_output_tokens
        size = sum(size_bytes > bound for bound in SIZE_BUCKET_BYTES)
        return self._by_kind[batch, size]

    def record_hold(self, service: ServiceTime, elapsed_ms: int, *, batch: bool) -> None:
        """Record the time a slot was held, in its bucket and in the aggregates."""
        for item in (service, self._all, self._get_aggregate(batch)):
            item.record_hold(elapsed_ms)

    def record_first_token(self, service: ServiceTime, elapsed_ms: int, *, batch: bool) -> None:
        """Record a time to first token, in its bucket and in the aggregate of its kind."""
        for item in (service, self._get_aggregate(batch)):
            item.record_first_token(elapsed_ms)

    def _get_aggregate(self, batch: bool) -> ServiceTime:
        return self.batch if batch else self.interactive

    def get_release_interval_ms(self, slots: int) -> float:
        """Return the expected time between two releases with `slots` slots in use."""
        return max(MIN_RELEASE_INTERVAL_MS, self._all.hold_ms / slots)

    def dump(self) -> dict[str, object]:
        """Return the estimates of all buckets for the state dump."""
        return {
            f"{'batch' if batch else 'interactive'}_{size}": {
                "first_token_ms": round(service.first_token_ms, 1),
                "hold_ms": round(service.hold_ms, 1),
            }
            for (batch, size), service in self._by_kind.items()
        }
