"""Versions that the services had while a stream that may be taken up was able to begin."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gypsumrouter.directory import Directory, Entry, EntryState
from gypsumrouter.util.clock import Clock

# A stream that broke off may be taken up for this long. The longest deadline of a caller is 16 s.
STREAM_RETENTION_MS: Final = 30_000
# A list of upstreams that was confirmed longer ago may lack a version. A watch of the list returns
# within 1.2 s, and its response is awaited for 0.8 s.
MAX_LIST_AGE_MS: Final = 3_000
# In this time after its start, other routers may not have a link to a router yet, over which they
# would ask it for the streams that began there.
START_MS: Final = 3_000
# Versions were observed since before any stream could begin.
ALWAYS_MS: Final = -(1 << 62)


class VersionHistory:
    """Observes the list of upstreams.

    The history has a gap where the list was older than `MAX_LIST_AGE_MS`, where this process stood
    still for as long, and where an upstream was removed that was never seen: a version may have
    come and gone. `first_start` means that no stream can be older than this process. A router
    that starts later, or behind a gap, takes the word of another one for the time before.

    That no other version was seen says nothing of the time since the store last spoke.
    `get_list_as_of` returns the revision up to which the list is known, None before it was read.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_get_list_age_ms",
        "_get_list_as_of",
        "_last_seen_ms",
        "_present",
        "_since_ms",
        "_since_revision",
        "_starting_until_ms",
        "_updated_ms",
        "_vouched",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        directory: Directory,
        get_list_age_ms: Callable[[], int],
        get_list_as_of: Callable[[], int | None],
        first_start: bool,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._get_list_age_ms = get_list_age_ms
        self._get_list_as_of = get_list_as_of
        self._updated_ms: int | None = None
        # Service and version of each upstream that is listed.
        self._present: dict[str, tuple[str, str]] = {}
        # When an upstream of a service and version was last listed, for those that left.
        self._last_seen_ms: dict[tuple[str, str], int] = {}
        self._since_ms: int | None = ALWAYS_MS if first_start else None
        # The list was followed from this revision on.
        self._since_revision = 0
        self._starting_until_ms = ALWAYS_MS if first_start else clock.now_ms() + START_MS
        # Services of which another router has observed what this one has not.
        self._vouched: set[str] = set()
        directory.on_change(self._handle_entry)
        directory.on_unseen_removal(self._note_gap)

    def update(self) -> None:
        """Note whether the list is up to date; to be called several times a second."""
        now_ms = self._clock.now_ms()
        paused_ms = 0 if self._updated_ms is None else now_ms - self._updated_ms
        self._updated_ms = now_ms
        if not self._directory.loaded.is_set() or self._get_list_as_of() is None:
            return
        if self._since_ms is None or not self.list_is_current or paused_ms > MAX_LIST_AGE_MS:
            self._note_gap(self.list_as_of)
        expired_ms = now_ms - STREAM_RETENTION_MS
        for key, seen_ms in tuple(self._last_seen_ms.items()):
            if seen_ms < expired_ms:
                del self._last_seen_ms[key]

    def _note_gap(self, revision: int) -> None:
        """Follow the list anew, from a revision on."""
        self._since_ms = self._clock.now_ms()
        self._since_revision = revision
        self._vouched.clear()

    @property
    def list_as_of(self) -> int:
        """Return the revision up to which the list is known, 0 before it was read."""
        return self._get_list_as_of() or 0

    @property
    def list_age_ms(self) -> int:
        """Return the time since the store last responded as to the list."""
        return self._get_list_age_ms()

    @property
    def list_is_current(self) -> bool:
        """Return whether the list was confirmed recently."""
        return self.list_age_ms <= MAX_LIST_AGE_MS

    @property
    def is_starting(self) -> bool:
        """Return whether this process has just started, while other routers ran."""
        return self._clock.now_ms() < self._starting_until_ms

    def list_versions(self, service: str) -> set[str]:
        """Return the versions that a service has, or has had while a stream was able to begin."""
        expired_ms = self._clock.now_ms() - STREAM_RETENTION_MS
        listed = {version for known, version in self._present.values() if known == service}
        left = {
            version
            for (known, version), seen_ms in self._last_seen_ms.items()
            if known == service and seen_ms >= expired_ms
        }
        return listed | left

    def is_complete(self, service: str) -> bool:
        """Return whether all versions of the retention time were observed, up to the known list.

        In a grace period the list may lack upstreams that are there.
        """
        if self._since_ms is None or not self.list_is_current or self._directory.in_grace_period:
            return False
        if service in self._vouched:
            return True
        return self._since_ms <= self._clock.now_ms() - STREAM_RETENTION_MS

    def list_incomplete(self) -> list[str]:
        """Return the services with one version that may have had others."""
        services = {service for service, _ in self._present.values()}
        return [
            service
            for service in sorted(services)
            if not self.is_complete(service) and len(self.list_versions(service)) == 1
        ]

    def note_vouched(self, service: str, *, as_of: int) -> None:
        """Record that another router has seen no other version up to the revision `as_of`.

        It counts if this router has followed the list since then.
        """
        if self._since_ms is not None and as_of >= self._since_revision and self.list_is_current:
            self._vouched.add(service)

    def get_only_version(self, service: str) -> str | None:
        """Return the one version that a service has had, None if there may have been others."""
        if not self.is_complete(service):
            return None
        versions = self.list_versions(service)
        return versions.pop() if len(versions) == 1 else None

    def dump(self) -> dict[str, str]:
        """Return the services that have had one version only, with that version."""
        services = sorted({service for service, _ in self._present.values()})
        found = ((service, self.get_only_version(service)) for service in services)
        return {service: version for service, version in found if version is not None}

    def _handle_entry(self, entry: Entry) -> None:
        earlier = self._present.pop(entry.incarnation, None)
        if earlier is not None:
            self._last_seen_ms[earlier] = self._clock.now_ms()
        if entry.state in (EntryState.READY, EntryState.LEAVING, EntryState.UNUSABLE):
            key = (entry.service, entry.version)
            self._present[entry.incarnation] = key
            self._last_seen_ms.pop(key, None)
