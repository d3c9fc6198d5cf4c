"""Published: following what the platform publishes, through its outages."""

from __future__ import annotations

from gypsumrouter.published.follower import Follower
from gypsumrouter.published.models import (
    HistoryLost,
    Item,
    Listed,
    PublishedStore,
    StoreUnavailable,
)

__all__ = ["Follower", "HistoryLost", "Item", "Listed", "PublishedStore", "StoreUnavailable"]
