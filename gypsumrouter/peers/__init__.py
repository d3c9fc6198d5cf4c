"""Peers: what routers without sides tell each other over their links."""

from __future__ import annotations

from gypsumrouter.peers.mesh import Mesh

__all__ = ["Mesh"]
