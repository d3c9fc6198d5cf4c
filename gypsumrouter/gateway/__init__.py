"""The gateway: callers' HTTP at a router, and the way of their requests to sides."""

from __future__ import annotations

from gypsumrouter.gateway.gateway import Gateway

__all__ = ["Gateway"]
