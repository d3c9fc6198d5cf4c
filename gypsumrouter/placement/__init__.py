"""Placement: which instances to try for a request, in order."""

from __future__ import annotations

from gypsumrouter.placement.models import PlacementKind, PlacementQuery
from gypsumrouter.placement.placement import Placement

__all__ = ["Placement", "PlacementKind", "PlacementQuery"]
