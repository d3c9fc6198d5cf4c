"""Client side of the platform's store: reading, watching, and handling its outages."""

from __future__ import annotations

from gypsumrouter.published.follower import Follower
from gypsumrouter.published.models import (
    HistoryLost,
    Item,
    ItemBatch,
    PublishedStore,
    StoreUnavailable,
)
from gypsumrouter.published.watch_state import WatchState

__all__ = [
    "Follower",
    "HistoryLost",
    "Item",
    "ItemBatch",
    "PublishedStore",
    "StoreUnavailable",
    "WatchState",
]
