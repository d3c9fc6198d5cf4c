"""Upstreams and data centre evacuations, as published in the platform's store."""

from __future__ import annotations

from gypsumrouter.directory.directory import Directory
from gypsumrouter.directory.evacuations import Evacuation, Evacuations
from gypsumrouter.directory.models import Entry, EntryState, Record, name_incarnation

__all__ = [
    "Directory",
    "Entry",
    "EntryState",
    "Evacuation",
    "Evacuations",
    "Record",
    "name_incarnation",
]
