"""Handling of requests in a side, the process that runs in front of one upstream.

A request arrives over the link from a router, is sent to the upstream, and its response is returned
over the same link.
"""

from __future__ import annotations

from gypsumrouter.exchange.runner import ExchangeRunner

__all__ = ["ExchangeRunner"]
