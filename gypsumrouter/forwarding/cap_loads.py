"""Loads as the load cap compares them: cautious where counts are late or include lost responses."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import Final

from gypsumrouter.forwarding.load_reports import LoadReports
from gypsumrouter.forwarding.loads import REPORT_DELAY_MS, LoadTracker, UpstreamLoad, get_mean
from gypsumrouter.mechanisms import Mechanism

# The estimate of unreported requests is multiplied by a random factor from 0 to this. In the replay
# 2.0 to 2.4% of the requests exceeded the load cap, 7.2% without the estimate.
MAX_UNREPORTED_RATIO: Final = 1.75


class CapLoads:
    """Estimates what the counted loads of upstreams miss, and the mean load of a service."""

    __slots__ = ("_allows_for_unreported", "_loads", "_reports", "_uses_reports")

    def __init__(
        self, *, loads: LoadTracker, reports: LoadReports, without: frozenset[Mechanism]
    ) -> None:
        self._loads = loads
        self._reports = reports
        self._uses_reports = Mechanism.LOAD_REPORTS not in without
        self._allows_for_unreported = Mechanism.CAP_MARGIN not in without

    def estimate_unreported(
        self, upstream: str, load: UpstreamLoad, *, peers_age_ms: int, now_ms: int
    ) -> float:
        """Return the requests at an upstream that the counted load is likely to miss.

        It is the lower one of two estimates, from the age of the peers' reports and from the
        upstream's own report, times a random factor. With a fixed factor all routers stop sending
        to a popular upstream at the same time, and start again at the same time.
        """
        unreported = math.inf
        if self._allows_for_unreported:
            within_ms = peers_age_ms + REPORT_DELAY_MS
            unreported = self._loads.estimate_arrived(upstream, within_ms=within_ms)
        if self._uses_reports:
            unreported = min(unreported, self._count_unreported(upstream, load, now_ms))
        if unreported == math.inf:
            return 0.0
        return unreported * random.uniform(0.0, MAX_UNREPORTED_RATIO)

    def get_mean(self, loads: Mapping[str, UpstreamLoad], *, now_ms: int) -> float:
        """Return the mean load of a service, the lower one of counted and reported loads.

        Requests whose responses are lost stay counted although their upstream is done with them.
        A mean that included them would let the other upstreams exceed the cap. The sums are
        compared, not the loads of each upstream: their lower values would add up to too little.
        """
        counted = get_mean(loads)
        if not self._uses_reports:
            return counted
        reported = 0
        for upstream, load in loads.items():
            held = self._reports.get_held(upstream, now_ms=now_ms)
            reported += load.running if held is None else held
        return min(counted, reported / len(loads))

    def _count_unreported(self, upstream: str, load: UpstreamLoad, now_ms: int) -> float:
        """Return by how much an upstream's own report exceeds the counted load, inf without one."""
        held = self._reports.get_held(upstream, now_ms=now_ms)
        age_ms = self._reports.get_age_ms(upstream, now_ms=now_ms)
        if held is None or age_ms is None:
            return math.inf
        arrived = 0.0
        if self._allows_for_unreported:
            arrived = self._loads.estimate_arrived(upstream, within_ms=age_ms)
        return max(0.0, held + arrived - load.running)
