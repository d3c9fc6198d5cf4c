"""Excludes long-lived objects of a started process from garbage collections."""

from __future__ import annotations

import gc
import logging

_LOGGER = logging.getLogger(__name__)


def freeze_heap() -> None:
    """Run a full collection, exclude the surviving objects from later ones, and enable collection.

    A full collection blocks the event loop for a time that grows with the heap. Most of the heap
    consists of modules and configuration, which are long-lived. Frozen objects are still freed by
    reference counting.
    """
    gc.collect()
    gc.freeze()
    gc.enable()
    _LOGGER.debug(
        "Froze the heap: %d objects are excluded from garbage collections", gc.get_freeze_count()
    )
