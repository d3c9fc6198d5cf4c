"""What the exchange needs of other aggregates that a side may lack."""

from __future__ import annotations

from typing import Protocol

from gypsumrouter.link.models import Open


class PrefixTransfers(Protocol):
    """Cached prefixes that can be brought from other engines."""

    async def async_fetch(self, request: Open) -> None:
        """Bring the prefix of a request here where that costs less than computing it."""

    def note_served(self, request: Open, *, whole: bool) -> None:
        """Note that the engine ran a request, to its end if it was `whole`."""

    def note_ended(self, request: Open) -> None:
        """Note the end of a run that began with a fetch."""

    def note_engine_died(self) -> None:
        """Forget what the engine held before it started again."""


class NoPrefixTransfers:
    """Stands for the moves where the upstream has no cache."""

    __slots__ = ()

    async def async_fetch(self, request: Open) -> None:
        """Do nothing."""

    def note_served(self, request: Open, *, whole: bool) -> None:
        """Do nothing."""

    def note_ended(self, request: Open) -> None:
        """Do nothing."""

    def note_engine_died(self) -> None:
        """Do nothing."""
