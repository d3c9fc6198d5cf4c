"""Decisions of the forwarder while upstreams lack capacity for all requests."""

from __future__ import annotations

from gypsumrouter.contention.peer_usage import MAX_ENTRIES
from gypsumrouter.contention.workspaces import WorkspaceShares

__all__ = ["MAX_ENTRIES", "WorkspaceShares"]
