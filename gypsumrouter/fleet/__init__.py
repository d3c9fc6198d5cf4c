"""Fleet membership from the platform's instance list, link health and announcements of leaving."""

from __future__ import annotations

from gypsumrouter.fleet.fleet import Fleet
from gypsumrouter.fleet.source import HttpInstanceListSource, InstanceListSource, Unchanged
from gypsumrouter.instances import Address, Instance, InstanceList

__all__ = [
    "Address",
    "Fleet",
    "HttpInstanceListSource",
    "Instance",
    "InstanceList",
    "InstanceListSource",
    "Unchanged",
]
