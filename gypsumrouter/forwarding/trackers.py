"""What a router knows of upstreams beside their directory entries: health, load, caches, speed."""

from __future__ import annotations

from gypsumrouter.forwarding.cache_index import CacheIndex
from gypsumrouter.forwarding.health.backoff import BackoffTracker
from gypsumrouter.forwarding.health.slow_start import SlowStartLimiter
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.forwarding.load_reports import LoadReports
from gypsumrouter.forwarding.loads import LoadTracker
from gypsumrouter.forwarding.plain_admission import PlainAdmission
from gypsumrouter.forwarding.prefill_speed import PrefillSpeed
from gypsumrouter.forwarding.uneven_load import UnevenLoad
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.settings import Contention


class UpstreamTrackers:
    """Holds the trackers that placement reads and the progress of requests updates."""

    __slots__ = (
        "backoffs",
        "cache_index",
        "health",
        "load_reports",
        "loads",
        "plain",
        "prefill_speed",
        "slow_start",
        "uneven_load",
    )

    def __init__(
        self,
        *,
        health: HealthTracker,
        backoffs: BackoffTracker,
        slow_start: SlowStartLimiter,
        contention: Contention | None,
        without: frozenset[Mechanism],
    ) -> None:
        self.health = health
        self.backoffs = backoffs
        self.slow_start = slow_start
        self.prefill_speed = PrefillSpeed()
        self.uneven_load = UnevenLoad(
            contention=contention, without=without, prefill_speed=self.prefill_speed
        )
        self.cache_index = CacheIndex(prompt_spread=self.uneven_load.prompt_spread)
        self.load_reports = LoadReports()
        self.plain = PlainAdmission(
            count_routers=slow_start.count_routers,
            reports=None if Mechanism.LOAD_REPORTS in without else self.load_reports,
        )
        self.loads = LoadTracker(
            prefill_speed=self.prefill_speed,
            engine_speeds=self.uneven_load.engine_speeds,
            extrapolates_prefill=Mechanism.PREFILL_PROGRESS not in without,
        )

    def sweep(self, *, now_ms: int) -> None:
        """Drop expired state."""
        self.slow_start.sweep()
        self.backoffs.sweep()
        self.health.sweep()
        self.uneven_load.sweep(now_ms=now_ms)

    def forget(self, upstream: str) -> None:
        """Drop the state of an upstream that was removed, except for its cache contents."""
        self.health.forget(upstream)
        self.plain.forget(upstream)
        self.loads.forget(upstream)
        self.load_reports.forget(upstream)
        self.uneven_load.forget(upstream)
