"""Placement: chooses the instances to try for a request, in order of preference."""

from __future__ import annotations

from gypsumrouter.placement.models import PlacementKind, PlacementQuery
from gypsumrouter.placement.placement import Placement
from gypsumrouter.placement.rendezvous import MemberTable, hash_chat

__all__ = ["MemberTable", "Placement", "PlacementKind", "PlacementQuery", "hash_chat"]
