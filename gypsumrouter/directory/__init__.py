"""Directory: which upstreams exist, merged from the platform's list and from peers."""

from __future__ import annotations

from gypsumrouter.directory.directory import Directory
from gypsumrouter.directory.models import Entry, EntryState, Record

__all__ = ["Directory", "Entry", "EntryState", "Record"]
