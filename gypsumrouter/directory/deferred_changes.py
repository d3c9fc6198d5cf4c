"""Changes of upstreams that wait for the end of a grace period."""

from __future__ import annotations

from collections.abc import Collection

from gypsumrouter.directory.grace_period import GracePeriod
from gypsumrouter.directory.models import DeferredChange, Record
from gypsumrouter.journal import ChangeDeferred, Journal


class DeferredChanges:
    """Holds the latest deferred change of one kind for each upstream."""

    __slots__ = ("_changes", "_grace", "_journal")

    def __init__(self, *, grace: GracePeriod, journal: Journal) -> None:
        self._grace = grace
        self._journal = journal
        self._changes: dict[str, DeferredChange] = {}

    @property
    def upstreams(self) -> Collection[str]:
        """Return the ids of the upstreams with a deferred change."""
        return self._changes.keys()

    def defer(self, record: Record, source: str) -> None:
        """Defer a change, or replace a deferred one, which does not prolong its time."""
        upstream = record.entry.upstream
        earlier = self._changes.get(upstream)
        due_at = self._grace.due_at if earlier is None else earlier.due_at
        self._changes[upstream] = DeferredChange(record=record, due_at=due_at)
        self._journal.record(
            ChangeDeferred(
                upstream=upstream,
                state=record.entry.state.value,
                revision=record.revision,
                source=source,
            )
        )

    def drop(self, upstream: str) -> None:
        """Drop the deferred change of an upstream, which a later one supersedes."""
        self._changes.pop(upstream, None)

    def take_due(self) -> list[Record]:
        """Remove the changes that may be applied and return them."""
        now_at = self._grace.responsive_ms
        due = [change.record for change in self._changes.values() if change.due_at <= now_at]
        for record in due:
            del self._changes[record.entry.upstream]
        return due
