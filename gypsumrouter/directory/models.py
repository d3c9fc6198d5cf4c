"""Value types of the upstream directory."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from msgspec import Struct
from msgspec.structs import force_setattr

from gypsumrouter.instances import Address

# Number of base-36 digits of the start time that an incarnation name ends with. They repeat after
# about 16 hours; two incarnations collide only if they start exactly that far apart.
SUFFIX_LENGTH: Final = 5
_DIGITS: Final = "0123456789abcdefghijklmnopqrstuvwxyz"


class EntryState(StrEnum):
    """Whether an upstream accepts new requests.

    `UNUSABLE` marks an upstream whose current entry cannot be decoded: it gets no new requests
    until a valid entry replaces it. `LEAVING` is draining, `GONE` is removed from the store.
    """

    READY = "ready"
    UNUSABLE = "unusable"
    LEAVING = "leaving"
    GONE = "gone"


class Entry(Struct, frozen=True, kw_only=True):
    """One incarnation of an upstream, that is one start of its process.

    `upstream` is the id in the store; a restarted upstream may keep the id, with a later
    `started_ms` (Unix time; 0 if unknown). `incarnation` is unique to this start and is the key for
    all per-upstream state, so that a restarted upstream begins with a clean state. `slots` is the
    number of requests it runs concurrently, `warm_up_ms` the remaining duration of its slow start.
    `version` is the version of its software, empty if it states none.
    In the state `GONE` only the id and `started_ms` are set.
    """

    upstream: str
    state: EntryState
    service: str = ""
    address: Address | None = None
    data_centre: str = ""
    slots: int = 1
    warm_up_ms: int = 0
    started_ms: int = 0
    version: str = ""
    incarnation: str = ""

    def __post_init__(self) -> None:
        name = name_incarnation(upstream=self.upstream, started_ms=self.started_ms)
        force_setattr(self, "incarnation", name)


class Record(Struct, frozen=True, kw_only=True):
    """An entry and the store revision at which it was written."""

    revision: int
    entry: Entry


class DeferredChange(Struct, frozen=True, kw_only=True):
    """A change that is applied only at `due_at`, in responsive time (see `GracePeriod`)."""

    record: Record
    due_at: int


def name_incarnation(*, upstream: str, started_ms: int) -> str:
    """Return the name of an incarnation; the plain id if the start time is unknown."""
    if started_ms <= 0:
        return upstream
    digits = []
    for _ in range(SUFFIX_LENGTH):
        started_ms, digit = divmod(started_ms, len(_DIGITS))
        digits.append(_DIGITS[digit])
    return f"{upstream}~{''.join(reversed(digits))}"
