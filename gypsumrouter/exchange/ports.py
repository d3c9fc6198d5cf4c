"""Interface to the prefix cache transfers, which only sides of some engines have."""

from __future__ import annotations

from typing import Protocol

from gypsumrouter.link.models import Open


class PrefixTransfers(Protocol):
    """Fetches cached prefixes from other engines before a request runs."""

    async def async_fetch(self, request: Open) -> None:
        """Fetch the prefix of a request where that is cheaper than its prefill."""

    def record_served(self, request: Open, *, complete: bool) -> None:
        """Record that the engine ran a request, to completion if `complete`."""

    def record_run_ended(self, request: Open) -> None:
        """Record the end of a run that began with a fetch."""

    def handle_engine_crash(self) -> None:
        """Drop the record of the engine's cache, which the crash has emptied."""


class NoPrefixTransfers:
    """No-op implementation for upstreams without a prefix cache."""

    __slots__ = ()

    async def async_fetch(self, request: Open) -> None:
        """Do nothing."""

    def record_served(self, request: Open, *, complete: bool) -> None:
        """Do nothing."""

    def record_run_ended(self, request: Open) -> None:
        """Do nothing."""

    def handle_engine_crash(self) -> None:
        """Do nothing."""
