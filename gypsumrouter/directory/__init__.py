"""Directory: which upstreams exist, merged from the platform's list and from peers."""

from __future__ import annotations

from gypsumrouter.directory.directory import Directory
from gypsumrouter.directory.models import Entry, EntryState, Record, name_incarnation

__all__ = ["Directory", "Entry", "EntryState", "Record", "name_incarnation"]
