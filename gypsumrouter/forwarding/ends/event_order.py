"""Whether the events of another run go on behind those that a caller has."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Final

import xxhash
from msgspec import Struct, field

from gypsumrouter.helpers.numbers import Digits, read_digits, read_number

# Ids of one stream that are remembered where they are not rising numbers, about 0.3 MB. Of a longer
# stream these are the newest ones, and the first one.
MAX_KNOWN_IDS: Final = 4_096


class OrderFault(StrEnum):
    """Why an event can't follow those that the caller has; the values appear in the journal."""

    NO_ID = "without an id"
    NO_NUMBER = "no number"
    REPEATED = "repeated"
    BACK = "back"
    GAP = "gap"
    POSSIBLE_GAP = "possible gap"

    @property
    def is_certain(self) -> bool:
        """Return whether the run can't be a proper continuation, whatever the step of its ids."""
        return self is not OrderFault.POSSIBLE_GAP

    @property
    def is_gap(self) -> bool:
        """Return whether ids were left out, unless the event takes the place of several."""
        return self in (OrderFault.GAP, OrderFault.POSSIBLE_GAP)


class RelayedIds(Struct, kw_only=True):
    """The ids of a stream's events that the caller has: the first, the last, and their count.

    Of a stream that its caller has taken up, one id is known before the first event, and is `last`
    alone if it is no number. `is_named`: only the caller says so, and runs may go on from there in
    another step. `shows_gaps`: the step comes from an earlier run, so that an id which is left out
    can be told. While ids are numbers that rise, no others are remembered.
    """

    first: str | None = None
    last: str | None = None
    count: int = 0
    is_named: bool = False
    shows_gaps: bool = True
    # The largest number and the digests of the newest ids, since one came that doesn't rise.
    largest: Digits | None = None
    known: dict[int, None] = field(default_factory=dict)

    @property
    def rose_one_by_one(self) -> bool:
        """Return whether first, last and count show that each id was one above that before.

        A single event shows no step, but one with the id 0 or 1 is taken as the first of a count.
        """
        first, last = read_number(self.first), read_number(self.last)
        if first is None or last is None or last - first != self.count - 1:
            return False
        return self.count > 1 or first <= 1

    def begin_run(self) -> None:
        """Note that what comes from now on is that of another run."""
        self.shows_gaps = True

    def note(self, last: str, *, count: int, list_ids: Callable[[], Iterable[str]]) -> None:
        """Note that the caller gets `count` ids up to `last`; `list_ids` is called if needed."""
        if not self.known and self._rises_to(last, count):
            if count == 1:
                self._restart_steps(last)
            self.first = self.first or last
            self.last = last
        else:
            for event_id in list_ids():
                self._note_one(event_id)
        self.count += count

    def has(self, event_id: str) -> bool:
        """Return whether the caller has an event with this id, as far as ids are remembered."""
        if event_id in (self.first, self.last):
            return True
        return bool(self.known) and xxhash.xxh3_64_intdigest(event_id.encode()) in self.known

    def find_largest(self) -> Digits | None:
        """Return the largest number among the ids, None if none is a number.

        Digits beyond a plain number that only a caller has named are taken as text.
        """
        if self.known:
            return self.largest
        if self.first is None and read_number(self.last) is None:
            return None
        return read_digits(self.last)

    def _rises_to(self, event_id: str, count: int) -> bool:
        """Return whether it shows without the ids between that all are numbers that rise."""
        if count == 1:
            digits = read_digits(event_id)
            if digits is None or self.last is None:
                return digits is not None
            largest = read_digits(self.last)
            return largest is not None and digits > largest
        last, number = read_number(self.last), read_number(event_id)
        return last is not None and number is not None and number - last == count

    def _restart_steps(self, event_id: str) -> None:
        """Begin with this id if it isn't next to the one that only the caller has named."""
        named, number = read_number(self.last), read_number(event_id)
        if self.is_named and named is not None and number is not None and number > named + 1:
            self.first, self.count = event_id, 0
            self.shows_gaps = False
        self.is_named = False

    def _note_one(self, event_id: str) -> None:
        self._restart_steps(event_id)
        if self.known or not self._rises_to(event_id, 1):
            if not self.known:
                self.largest = self.find_largest()
                if self.last is not None:
                    self._remember(self.last)
            self._remember(event_id)
            digits = read_digits(event_id)
            if digits is not None and (self.largest is None or digits > self.largest):
                self.largest = digits
        self.first = self.first or event_id
        self.last = event_id

    def _remember(self, event_id: str) -> None:
        digest = xxhash.xxh3_64_intdigest(event_id.encode())
        self.known.pop(digest, None)
        self.known[digest] = None
        if len(self.known) > MAX_KNOWN_IDS:
            del self.known[next(iter(self.known))]


def find_order_fault(
    relayed: RelayedIds, event_id: str | None, *, begins: bool
) -> OrderFault | None:
    """Return why an event of another run can't follow the relayed ones, None if it can.

    With `begins` it is the first event of its run, which has to show that the run goes on. Where
    ids rise in other steps than one, or are no numbers, an event that is left out can't be told.
    A gap is told at the first event only: within a run, ids may begin to rise in other steps.
    """
    if relayed.last is None:
        return None
    if event_id is None:
        return OrderFault.NO_ID if begins else None
    if event_id == relayed.last:
        return OrderFault.REPEATED
    if relayed.has(event_id):
        return OrderFault.BACK
    largest, digits = relayed.find_largest(), read_digits(event_id)
    if largest is not None and digits is not None and digits <= largest:
        return OrderFault.REPEATED if digits == largest else OrderFault.BACK
    last, number = read_number(relayed.last), read_number(event_id)
    if last is None:
        # Of ids that are no numbers nothing but equality can be told.
        last_is_number = largest is not None and read_digits(relayed.last) is not None
        is_out_of_kind = digits is None and last_is_number
        return OrderFault.NO_NUMBER if begins and is_out_of_kind else None
    if number is None:
        return OrderFault.NO_NUMBER if begins else None
    if begins and number > last + 1 and relayed.shows_gaps and relayed.rose_one_by_one:
        return OrderFault.GAP if relayed.count > 1 else OrderFault.POSSIBLE_GAP
    return None


def find_gap_fault(
    relayed: RelayedIds, gap: OrderFault, *, first_id: str | None, second_id: str | None
) -> OrderFault | None:
    """Return why a run can't go on whose first event may leave ids out, None if it can.

    Its second event shows the step of its ids. If that is one, the ids before the first event are
    missing; if it is larger, an event takes the place of several ids. Behind a single event, whose
    step isn't known, the first step may not be the larger one of both.
    """
    last = read_number(relayed.last)
    first, second = read_number(first_id), read_number(second_id)
    if last is None or first is None or second is None:
        return OrderFault.POSSIBLE_GAP
    if second <= first:
        return OrderFault.REPEATED if second == first else OrderFault.BACK
    if second == first + 1:
        return gap
    return gap if gap is OrderFault.POSSIBLE_GAP and first - last > second - first else None
