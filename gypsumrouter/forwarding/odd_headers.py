"""Counts and names response headers of upstreams whose values can't be read."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import Final

from gypsumrouter.forwarding.models import OddHeader
from gypsumrouter.helpers.metrics import MetricRegistry

_LOGGER = logging.getLogger(__name__)

# Pairs of an upstream and a header that have been logged; above it, the oldest is logged again.
MAX_LOGGED: Final = 4_096


class OddHeaders:
    """Counts odd headers by name, and logs each of them once for each upstream."""

    __slots__ = ("_counter", "_logged")

    def __init__(self, *, metrics: MetricRegistry) -> None:
        self._counter = metrics.counter(
            "gypsumrouter_odd_headers_total", "Response headers of upstreams that can't be read"
        )
        self._logged: dict[tuple[str, str], None] = {}

    def note(self, upstream: str, odd_headers: Iterable[OddHeader]) -> None:
        """Count the odd headers of a response, and log those that are new for its upstream."""
        for odd in odd_headers:
            self._counter.inc(labels=(("header", odd.name),))
            key = (upstream, odd.name)
            if key in self._logged:
                continue
            if len(self._logged) >= MAX_LOGGED:
                del self._logged[next(iter(self._logged))]
            self._logged[key] = None
            _LOGGER.warning(
                "Ignoring %s of upstream %s: value %r can't be read",
                odd.name,
                upstream,
                odd.value,
            )
