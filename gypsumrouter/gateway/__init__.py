"""The gateway: callers' HTTP at a router, and the way of their requests to sides."""

from __future__ import annotations

from gypsumrouter.gateway.body import async_read_body
from gypsumrouter.gateway.budget import HeldBytes, MemoryBudget
from gypsumrouter.gateway.errors import Rejection, make_error_response
from gypsumrouter.gateway.gateway import Gateway
from gypsumrouter.gateway.listener import CallerConnection, CallerListener, CallerServer
from gypsumrouter.gateway.watch import abort_connection

__all__ = [
    "CallerConnection",
    "CallerListener",
    "CallerServer",
    "Gateway",
    "HeldBytes",
    "MemoryBudget",
    "Rejection",
    "abort_connection",
    "async_read_body",
    "make_error_response",
]
