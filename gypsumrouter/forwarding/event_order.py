"""Whether the events of another run go on behind those that a caller has."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from gypsumrouter.helpers.numbers import read_number


class OrderFault(StrEnum):
    """Why an event can't follow those that the caller has; the values appear in the journal."""

    NO_ID = "without an id"
    NO_NUMBER = "no number"
    REPEATED = "repeated"
    BACK = "back"
    GAP = "gap"


class RelayedIds(Struct, kw_only=True):
    """The ids of a stream's events that the caller has: the first, the last, and their count.

    Of a stream that its caller has taken up, only `last` is known before the first event.
    """

    first: str | None = None
    last: str | None = None
    count: int = 0

    @property
    def rose_one_by_one(self) -> bool:
        """Return whether first, last and count show that each id was one above that before.

        A single event shows no step, but one with the id 0 or 1 is taken as the first of a count.
        """
        first, last = read_number(self.first), read_number(self.last)
        if first is None or last is None or last - first != self.count - 1:
            return False
        return self.count > 1 or first <= 1


def find_order_fault(
    relayed: RelayedIds, event_id: str | None, *, begins: bool
) -> OrderFault | None:
    """Return why an event of another run can't follow the relayed ones, None if it can.

    With `begins` it is the first event of its run, which has to show that the run goes on. Where
    ids rise in other steps than one, or are no numbers, an event that is left out can't be told.
    """
    if relayed.last is None:
        return None
    if event_id is None:
        return OrderFault.NO_ID if begins else None
    if event_id == relayed.last:
        return OrderFault.REPEATED
    last, number = read_number(relayed.last), read_number(event_id)
    if last is None:
        # Only equality can be compared; a run that begins anew has the id of the first event.
        return OrderFault.BACK if begins and event_id == relayed.first else None
    if number is None:
        return OrderFault.NO_NUMBER if begins else None
    if number <= last:
        return OrderFault.REPEATED if number == last else OrderFault.BACK
    if number > last + 1 and relayed.rose_one_by_one:
        return OrderFault.GAP
    return None
