"""How a pool keeps to its part of the weight store's rate without a word between its sides."""

from __future__ import annotations

from collections.abc import Sequence

from gypsumrouter.const import MS_PER_S

# A load begins in the first part of its slot, so that small differences of clocks do not matter.
USABLE_SHARE = 0.5


class StoreSlots:
    """Wall time cut into slots of one load each, which the members take by turns.

    The turn follows from the order of the names, so two sides agree on it while their lists do.
    Each slot is used once.
    """

    __slots__ = ("_used",)

    def __init__(self) -> None:
        self._used = -1

    def get_wait_ms(
        self, *, own: str, members: Sequence[str], loads_per_s: float, wall_ms: int
    ) -> int:
        """Return the milliseconds until the next slot of `own`, 0 in one that is unused."""
        slot_ms = MS_PER_S / loads_per_s
        turn = members.index(own)
        number = int(wall_ms // slot_ms)
        ahead = (turn - number) % len(members)
        if ahead == 0 and number != self._used and wall_ms % slot_ms < slot_ms * USABLE_SHARE:
            return 0
        steps = ahead or len(members)
        return max(1, round((number + steps) * slot_ms - wall_ms))

    def use(self, *, loads_per_s: float, wall_ms: int) -> None:
        """Note that the slot of this time is used."""
        self._used = int(wall_ms // (MS_PER_S / loads_per_s))
