"""What placement is asked, and what it needs to know of other aggregates."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from msgspec import Struct

from gypsumrouter.configuration.models import Pool
from gypsumrouter.instances import Instance
from gypsumrouter.link.models import Status


class PlacementKind(StrEnum):
    """How instances are ordered for a request; all but the first are baselines."""

    RENDEZVOUS = "rendezvous"
    ROUND_ROBIN = "round_robin"
    RANDOM = "random"
    POWER_OF_TWO = "least_of_two"
    MODULO = "modulo"
    STICKY = "sticky"


class PlacementQuery(Struct, frozen=True, kw_only=True):
    """What is known of a request before it is placed.

    `chat` is empty where no later request will profit from the same instance. `hint` is what the
    caller brought back of an earlier answer, empty without one; it is not trusted. `batch` work
    waits for gaps.
    """

    pool: Pool
    workspace: str
    chat: str = ""
    model: str = ""
    hint: str = ""
    returning: bool = False
    batch: bool = False


class StatusView(Protocol):
    """The last word of a side, and its age in milliseconds."""

    @property
    def status(self) -> Status:
        """Return what the side said."""

    @property
    def age_ms(self) -> int:
        """Return how long ago it said so."""


class StatusSource(Protocol):
    """Where statuses of sides are found."""

    def status(self, name: str) -> StatusView | None:
        """Return the last status of an instance, None if it never sent one."""


class MemberSource(Protocol):
    """Where the usable instances of a pool are found."""

    def members(self, pool: str) -> tuple[Instance, ...]:
        """Return the usable instances of a pool, sorted by name."""
