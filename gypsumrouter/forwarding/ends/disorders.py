"""Counts and names upstreams whose runs don't go on behind the events that callers have."""

from __future__ import annotations

import logging
from collections.abc import Collection
from typing import Final

from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.ends.event_order import OrderFault
from gypsumrouter.helpers.metrics import MetricRegistry

_LOGGER = logging.getLogger(__name__)

# Incarnations that are remembered; above it, the oldest is forgotten.
MAX_REMEMBERED: Final = 4_096


class StreamDisorders:
    """Remembers the incarnations of upstreams that failed to go on with a stream.

    Each is logged once. Others are preferred to them for further streams that have to go on.
    """

    __slots__ = ("_counter", "_remembered")

    def __init__(self, *, metrics: MetricRegistry) -> None:
        self._counter = metrics.counter(
            "gypsumrouter_streams_out_of_order_total",
            "Runs broken off since they did not go on behind the events that their callers have",
        )
        self._remembered: dict[str, None] = {}

    def note(self, entry: Entry, fault: OrderFault, *, is_proven: bool) -> None:
        """Count a run that was broken off for a fault.

        If it `is_proven` by events that this router has relayed, the upstream is remembered, and
        logged the first time.
        """
        self._counter.inc(labels=(("fault", fault.value),))
        if not is_proven or entry.incarnation in self._remembered:
            return
        if len(self._remembered) >= MAX_REMEMBERED:
            del self._remembered[next(iter(self._remembered))]
        self._remembered[entry.incarnation] = None
        _LOGGER.warning(
            "Upstream %s does not go on with a stream after its Last-Event-Id: event %s",
            entry.incarnation,
            fault.value,
        )

    def list_all(self) -> Collection[str]:
        """Return the incarnations that are remembered."""
        return self._remembered.keys()
