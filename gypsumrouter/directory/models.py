"""What is published of one upstream, as values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gypsumrouter.fleet.models import Address


class EntryState(StrEnum):
    """Whether an upstream takes new work."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True, kw_only=True, frozen=True)
class Entry:
    """One incarnation of an upstream; `upstream` is its id, which no other start ever has.

    `slots` is how many requests it runs at once, `cold_ms` how much longer it is slow after its
    start. An entry that is gone keeps only its id.
    """

    upstream: str
    state: EntryState
    service: str = ""
    address: Address | None = None
    data_centre: str = ""
    slots: int = 1
    cold_ms: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class Record:
    """An entry with the revision of the list that it is from."""

    revision: int
    entry: Entry
