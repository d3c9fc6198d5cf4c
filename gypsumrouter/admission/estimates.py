"""Estimates of service times from those of recent requests of the same kind."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.admission.const import (
    BYTES_PER_TOKEN,
    FIRST_TOKEN_START_MS,
    FIRST_TOKEN_STEP_DOWN,
    FIRST_TOKEN_STEP_UP,
    HOLD_START_MS,
    HOLD_STEP,
    MIN_RELEASE_INTERVAL_MS,
    SIZE_BYTES,
)
from gypsumrouter.link.models import Open


class ServiceTime(Struct, kw_only=True):
    """Times of requests of one kind and size, in milliseconds.

    `first_token_ms` leans to the short side: a request is called hopeless only where even a quick
    one would be late. `hold_ms` is the mean time that a slot is held.
    """

    first_token_ms: float = FIRST_TOKEN_START_MS
    hold_ms: float = HOLD_START_MS

    def record_first_token(self, passed_ms: int) -> None:
        """Take in the time from the grant of a slot to the first token."""
        error = passed_ms - self.first_token_ms
        step = FIRST_TOKEN_STEP_UP if error > 0 else FIRST_TOKEN_STEP_DOWN
        self.first_token_ms += step * error

    def note_hold(self, passed_ms: int) -> None:
        """Take in how long a slot was held."""
        self.hold_ms += HOLD_STEP * (passed_ms - self.hold_ms)


class Estimates:
    """Service times by batch or interactive and by size; `batch` and `interactive` of any size."""

    __slots__ = ("_all", "_by_kind", "batch", "interactive")

    def __init__(self) -> None:
        self._by_kind = {
            (batch, size): ServiceTime()
            for batch in (False, True)
            for size in range(len(SIZE_BYTES) + 1)
        }
        self._all = ServiceTime()
        self.batch = ServiceTime()
        self.interactive = ServiceTime()

    def find(self, request: Open, *, batch: bool) -> ServiceTime:
        """Return the estimate for requests of this kind and size."""
        size_bytes = request.prompt_bytes + BYTES_PER_TOKEN * request.max_output_tokens
        size = sum(size_bytes > bound for bound in SIZE_BYTES)
        return self._by_kind[batch, size]

    def note_hold(self, service: ServiceTime, passed_ms: int, *, batch: bool) -> None:
        """Take in how long a slot was held, for its kind and for all together."""
        for item in (service, self._all, self._get_together(batch)):
            item.note_hold(passed_ms)

    def record_first_token(self, service: ServiceTime, passed_ms: int, *, batch: bool) -> None:
        """Take in the time from the grant of a slot to the first token."""
        for item in (service, self._get_together(batch)):
            item.record_first_token(passed_ms)

    def _get_together(self, batch: bool) -> ServiceTime:
        return self.batch if batch else self.interactive

    def get_release_interval_ms(self, slots: int) -> float:
        """Return the expected time between two releases while all slots are taken."""
        return max(MIN_RELEASE_INTERVAL_MS, self._all.hold_ms / slots)

    def dump(self) -> dict[str, object]:
        """Return all estimates."""
        return {
            f"{'batch' if batch else 'interactive'}_{size}": {
                "first_token_ms": round(service.first_token_ms, 1),
                "hold_ms": round(service.hold_ms, 1),
            }
            for (batch, size), service in self._by_kind.items()
        }
