"""What is published of one upstream, as values."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from msgspec import Struct
from msgspec.structs import force_setattr

from gypsumrouter.instances import Address

# The last five digits of a start's time in base 36 repeat after 16 hours; an upstream does not
# start twice at such a distance to the millisecond.
SUFFIX_LENGTH: Final = 5
_DIGITS: Final = "0123456789abcdefghijklmnopqrstuvwxyz"


class EntryState(StrEnum):
    """Whether an upstream takes new work.

    `UNUSABLE` is one whose entry cannot be read now: it gets no new work until a readable one
    follows.
    """

    READY = "ready"
    UNUSABLE = "unusable"
    LEAVING = "leaving"
    GONE = "gone"


class Entry(Struct, frozen=True, kw_only=True):
    """One incarnation of an upstream.

    `upstream` is the id under which it is listed; a later start may have the same id, with a later
    `started_ms` (Unix time; 0 where it is not told). `incarnation` names this start alone: whatever is
    believed of an upstream is kept under that name, so that a new start begins with nothing.
    `slots` is how many requests it runs at once, `warm_up_ms` how much longer it is slow after its
    start. An entry that is gone keeps only its id and its start.
    """

    upstream: str
    state: EntryState
    service: str = ""
    address: Address | None = None
    data_centre: str = ""
    slots: int = 1
    warm_up_ms: int = 0
    started_ms: int = 0
    incarnation: str = ""

    def __post_init__(self) -> None:
        name = name_incarnation(upstream=self.upstream, started_ms=self.started_ms)
        force_setattr(self, "incarnation", name)


class Record(Struct, frozen=True, kw_only=True):
    """An entry with the revision of the list that it is from."""

    revision: int
    entry: Entry


def name_incarnation(*, upstream: str, started_ms: int) -> str:
    """Return the name of one start of an upstream; without a time of the start it is the id."""
    if started_ms <= 0:
        return upstream
    digits = []
    for _ in range(SUFFIX_LENGTH):
        started_ms, digit = divmod(started_ms, len(_DIGITS))
        digits.append(_DIGITS[digit])
    return f"{upstream}~{''.join(reversed(digits))}"
