"""State exchange between the forwarders of a fleet, over their links."""

from __future__ import annotations

from gypsumrouter.peers.mesh import Mesh

__all__ = ["Mesh"]
