"""The heap of a process that has started: what will stay is left out of later collections."""

from __future__ import annotations

import gc
import logging

_LOGGER = logging.getLogger(__name__)


def freeze_heap() -> None:
    """Collect once, never look again at what is left, and collect as usual from then on.

    A full collection stops the loop for a time that grows with the heap. Most of the heap of a
    process are its modules and its configuration, which stay until they are replaced; what is no
    cycle is still freed then.
    """
    gc.collect()
    gc.freeze()
    gc.enable()
    _LOGGER.debug("%d objects are left out of collections", gc.get_freeze_count())
