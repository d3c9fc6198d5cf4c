"""One request of a side: from the link to the upstream and back."""

from __future__ import annotations

from gypsumrouter.exchange.runner import ExchangeRunner

__all__ = ["ExchangeRunner"]
