"""Time slots that limit a pool's rate of loads from the weight store without coordination."""

from __future__ import annotations

from collections.abc import Sequence

from gypsumrouter.const import MS_PER_S

# A load may start only in this first part of its slot, which tolerates small clock differences.
USABLE_SHARE = 0.5


class StoreSlots:
    """Slots of wall time for one load each, assigned round-robin to the members of the pool.

    The assignment follows from the order of the names, so sides with the same list agree on it.
    Each slot is used once.
    """

    __slots__ = ("_used",)

    def __init__(self) -> None:
        self._used = -1

    def get_wait_ms(
        self, *, own: str, members: Sequence[str], loads_per_s: float, wall_ms: int
    ) -> int:
        """Return the time until the next slot of `own`, 0 within an unused one."""
        slot_ms = MS_PER_S / loads_per_s
        index = members.index(own)
        number = int(wall_ms // slot_ms)
        slots_ahead = (index - number) % len(members)
        if slots_ahead == 0 and number != self._used and wall_ms % slot_ms < slot_ms * USABLE_SHARE:
            return 0
        slots_left = slots_ahead or len(members)
        return max(1, round((number + slots_left) * slot_ms - wall_ms))

    def use(self, *, loads_per_s: float, wall_ms: int) -> None:
        """Mark the slot at this time as used."""
        self._used = int(wall_ms // (MS_PER_S / loads_per_s))
