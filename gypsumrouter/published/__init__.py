"""Client side of the platform's store: reading, watching, and handling its outages."""

from __future__ import annotations

from gypsumrouter.published.follower import (
    LIST_RESPONSE_TIMEOUT_MS,
    LIST_WATCH_TIMEOUT_MS,
    Follower,
)
from gypsumrouter.published.models import (
    HistoryLost,
    Item,
    ItemBatch,
    PublishedStore,
    StoreUnavailable,
)
from gypsumrouter.published.watch_state import WatchState

__all__ = [
    "LIST_RESPONSE_TIMEOUT_MS",
    "LIST_WATCH_TIMEOUT_MS",
    "Follower",
    "HistoryLost",
    "Item",
    "ItemBatch",
    "PublishedStore",
    "StoreUnavailable",
    "WatchState",
]
