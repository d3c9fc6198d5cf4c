"""How a new entry of an upstream changes the known one."""

from __future__ import annotations

from msgspec.structs import replace

from gypsumrouter.directory.models import Entry, EntryState


def is_relevant(entry: Entry, known: Entry) -> bool:
    """Return whether an entry affects the known incarnation or a later one.

    Writes of an earlier incarnation may arrive late. An unreadable entry affects only an upstream
    that is ready.
    """
    if entry.started_ms and entry.started_ms < known.started_ms:
        return False
    return entry.state is not EntryState.UNUSABLE or known.state is EntryState.READY


def combine(entry: Entry, known: Entry) -> Entry:
    """Return the entry that results from a new entry and the known one."""
    if entry.started_ms > known.started_ms:
        return entry
    # An entry without a start time belongs to the known incarnation.
    entry = replace(entry, started_ms=known.started_ms)
    if entry.state is EntryState.UNUSABLE:
        return replace(known, state=EntryState.UNUSABLE)
    if known.state is EntryState.LEAVING and entry.state is EntryState.READY:
        # A delayed write of an upstream that is leaving does not make it ready again.
        return replace(entry, state=EntryState.LEAVING)
    return entry
