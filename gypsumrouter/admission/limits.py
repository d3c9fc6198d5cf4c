"""What one upstream may run and hold waiting, by its pool's settings and its weight."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.admission.const import SLOTS_PER_RESERVED_SLOT
from gypsumrouter.configuration.models import Pool


class Limits(Struct, frozen=True, kw_only=True):
    """Bounds of one upstream, in requests; `reserve` slots are kept free of batch work."""

    slots: int
    queue: int
    reserve: int
    cap: float
    floor: int

    @property
    def capacity(self) -> int:
        """Return how much load there is room for."""
        return self.slots + self.queue


def make_limits(*, pool: Pool, weight: float) -> Limits:
    """Return the bounds of an upstream of this weight."""
    slots = max(1, int(pool.slots * weight))
    reserve = -(-slots // SLOTS_PER_RESERVED_SLOT) if slots > 1 else 0
    return Limits(
        slots=slots,
        queue=int(pool.queue * weight),
        reserve=reserve,
        cap=pool.cap,
        floor=pool.floor,
    )
