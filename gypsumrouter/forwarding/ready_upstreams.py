"""The upstreams of each service that are ready, and the state kept of those that were removed."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from gypsumrouter.directory import Directory, Entry, EntryState, Evacuation, Evacuations
from gypsumrouter.forwarding.cache_index import CACHE_TTL_MS
from gypsumrouter.forwarding.trackers import UpstreamTrackers
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.util.clock import Clock

NO_MEMBERS: Final[Mapping[str, Entry]] = MappingProxyType({})


class ReadyUpstreams:
    """Follows the directory, and drops the state of removed upstreams."""

    __slots__ = ("_by_service", "_clock", "_keeps_removed", "_removed_ms", "_trackers")

    def __init__(
        self,
        *,
        clock: Clock,
        directory: Directory,
        evacuations: Evacuations,
        trackers: UpstreamTrackers,
        without: frozenset[Mechanism],
    ) -> None:
        self._clock = clock
        self._trackers = trackers
        self._keeps_removed = Mechanism.CACHE_RETENTION not in without
        self._by_service: dict[str, dict[str, Entry]] = {}
        # When each incarnation was removed from the directory.
        self._removed_ms: dict[str, int] = {}
        directory.on_change(self._handle_entry)
        evacuations.on_change(self._handle_evacuation)

    def get(self, service: str) -> Mapping[str, Entry]:
        """Return the ready upstreams of a service by incarnation."""
        return self._by_service.get(service, NO_MEMBERS)

    def sweep(self, *, now_ms: int) -> None:
        """Drop the cache contents of upstreams that were removed some time ago.

        They are kept for a while: the directory entry may have expired because heartbeats were
        lost, and the prompts that the upstream caches would be prefilled again.
        """
        for incarnation, removed_ms in tuple(self._removed_ms.items()):
            if now_ms - removed_ms >= CACHE_TTL_MS:
                del self._removed_ms[incarnation]
                self._trackers.cache_index.forget_upstream(incarnation)

    def _handle_evacuation(self, evacuation: Evacuation) -> None:
        if evacuation.active:
            return
        for members in self._by_service.values():
            for entry in members.values():
                if entry.data_centre == evacuation.data_centre:
                    self._trackers.slow_start.note_evacuation_ended(entry)

    def _handle_entry(self, entry: Entry) -> None:
        self._trackers.slow_start.update_entry(entry)
        for members in self._by_service.values():
            members.pop(entry.incarnation, None)
        if entry.state is EntryState.READY:
            self._by_service.setdefault(entry.service, {})[entry.incarnation] = entry
        if entry.state is not EntryState.GONE:
            self._removed_ms.pop(entry.incarnation, None)
            return
        if self._keeps_removed:
            self._removed_ms[entry.incarnation] = self._clock.now_ms()
        else:
            self._trackers.cache_index.forget_upstream(entry.incarnation)
        self._trackers.forget(entry.incarnation)
