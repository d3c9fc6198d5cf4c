"""Placement queries, and the interfaces that placement needs from the fleet and the links."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from msgspec import Struct

from gypsumrouter.configuration.models import Pool
from gypsumrouter.instances import Instance
from gypsumrouter.link.models import Status


class PlacementKind(StrEnum):
    """The algorithm that orders instances; all but the first are baselines."""

    RENDEZVOUS = "rendezvous"
    ROUND_ROBIN = "round_robin"
    RANDOM = "random"
    POWER_OF_TWO = "least_of_two"
    MODULO = "modulo"
    STICKY = "sticky"


class PlacementQuery(Struct, frozen=True, kw_only=True):
    """The attributes of a request that placement uses.

    `chat` is empty if no later request can reuse the cached prefix. `hint` is the hint that the
    caller returned from an earlier response, or empty; it is not trusted. `returning` marks a
    request that continues a chat, and `batch` one without a first-token target.
    """

    pool: Pool
    workspace: str
    chat: str = ""
    model: str = ""
    hint: str = ""
    returning: bool = False
    batch: bool = False


class StatusView(Protocol):
    """The last status received from an instance, and its age in milliseconds."""

    @property
    def status(self) -> Status:
        """Return the status."""

    @property
    def age_ms(self) -> int:
        """Return the age of the status."""


class StatusSource(Protocol):
    """Provides the last status of each instance."""

    def status(self, name: str) -> StatusView | None:
        """Return the last status of an instance, or None if it has not sent one."""


class MemberSource(Protocol):
    """Provides the usable members of each pool."""

    def members(self, pool: str) -> tuple[Instance, ...]:
        """Return the usable instances of a pool, sorted by name."""
