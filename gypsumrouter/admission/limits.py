"""Slot and queue limits of one upstream, from its pool's settings and its weight."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.admission.const import SLOTS_PER_RESERVED_SLOT
from gypsumrouter.configuration.models import Pool


class Limits(Struct, frozen=True, kw_only=True):
    """Limits of one upstream, in requests.

    `reserve` slots are never used for batch work. `cap` is the highest allowed multiple of the
    pool's mean load, and `floor` the load up to which the cap does not apply.
    """

    slots: int
    queue: int
    reserve: int
    cap: float
    floor: int

    @property
    def capacity(self) -> int:
        """Return the number of requests that may run or wait."""
        return self.slots + self.queue


def make_limits(*, pool: Pool, weight: float) -> Limits:
    """Return the limits of an upstream with the given weight."""
    slots = max(1, int(pool.slots * weight))
    reserve = -(-slots // SLOTS_PER_RESERVED_SLOT) if slots > 1 else 0
    return Limits(
        slots=slots,
        queue=int(pool.queue * weight),
        reserve=reserve,
        cap=pool.cap,
        floor=pool.floor,
    )
