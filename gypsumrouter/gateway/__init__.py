"""The gateway of a router: serves callers over HTTP and dispatches their requests to sides.

A side is the process that runs next to an upstream and executes requests on it.
"""

from __future__ import annotations

from gypsumrouter.gateway.gateway import Gateway

__all__ = ["Gateway"]
