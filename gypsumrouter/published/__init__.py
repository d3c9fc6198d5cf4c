"""Client side of the platform's store: reading, watching, and handling its outages."""

from __future__ import annotations

from gypsumrouter.published.confirmation import QUESTION_TIMEOUT_MS, ListConfirmation
from gypsumrouter.published.follower import Follower
from gypsumrouter.published.models import (
    HistoryLost,
    Item,
    ItemBatch,
    PublishedStore,
    StoreUnavailable,
)
from gypsumrouter.published.watch_state import (
    LIST_RESPONSE_TIMEOUT_MS,
    LIST_WATCH_TIMEOUT_MS,
    WatchState,
)

__all__ = [
    "LIST_RESPONSE_TIMEOUT_MS",
    "LIST_WATCH_TIMEOUT_MS",
    "QUESTION_TIMEOUT_MS",
    "Follower",
    "HistoryLost",
    "Item",
    "ItemBatch",
    "ListConfirmation",
    "PublishedStore",
    "StoreUnavailable",
    "WatchState",
]
