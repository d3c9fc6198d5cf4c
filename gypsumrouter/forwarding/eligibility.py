"""Selects the upstreams that may receive a request: first attempts, retries and resumed streams."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from msgspec import Struct

from gypsumrouter.directory import Entry, Evacuations
from gypsumrouter.forwarding.health.backoff import BackoffTracker
from gypsumrouter.forwarding.health.slow_start import SlowStartLimiter
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason

# Share of the evacuation bound during which cached prompts may still be copied from an evacuated
# engine. The other half allows for the delay until a router learns of the evacuation.
COPY_WINDOW_SHARE: Final = 0.5


class PlacementRefusal(Struct, frozen=True, kw_only=True):
    """No upstream may receive the request now; retrying within `not_before_ms` is pointless."""

    reason: Reason
    message: str
    not_before_ms: int = 0


NO_UPSTREAM = PlacementRefusal(
    reason=Reason.NO_INSTANCE, message="No upstream can take the request"
)
VERSION_GONE = PlacementRefusal(
    reason=Reason.STREAM_VERSION_GONE,
    message="No upstream has the version at which the stream began",
)
ALL_EVACUATED = PlacementRefusal(
    reason=Reason.EVACUATED, message="All upstreams left are evacuated"
)


def make_late_refusal(late_ms: float) -> PlacementRefusal:
    """Return the refusal of a request whose response is expected to be late by `late_ms`."""
    return PlacementRefusal(
        reason=Reason.TARGET_UNATTAINABLE,
        message="The upstreams have more waiting than they serve in time",
        not_before_ms=int(late_ms),
    )


class Eligibility:
    """Filters out upstreams that are evacuated, back off, are unreachable or are warming up."""

    __slots__ = (
        "_backoffs",
        "_copy_window_ms",
        "_evacuations",
        "_health",
        "_prefers_warm",
        "_skips_unreachable",
        "_slow_start",
    )

    def __init__(
        self,
        *,
        evacuations: Evacuations,
        health: HealthTracker,
        backoffs: BackoffTracker,
        slow_start: SlowStartLimiter,
        evacuation_ms: int,
        without: frozenset[Mechanism],
    ) -> None:
        self._copy_window_ms = evacuation_ms * COPY_WINDOW_SHARE
        self._evacuations = evacuations
        self._health = health
        self._backoffs = backoffs
        self._slow_start = slow_start
        self._skips_unreachable = Mechanism.EXCLUDE_UNREACHABLE not in without
        self._prefers_warm = Mechanism.WARM_FIRST not in without

    def is_evacuated(self, entry: Entry) -> bool:
        """Return whether an operator has evacuated the data centre of an upstream."""
        return self._evacuations.is_active(entry.data_centre)

    def set_evacuation_bound(self, evacuation_ms: int) -> None:
        """Replace the evacuation bound, the time within which an evacuation has to take effect."""
        self._copy_window_ms = evacuation_ms * COPY_WINDOW_SHARE

    def may_copy_from(self, entry: Entry) -> bool:
        """Return whether other engines may copy cached prompts from an upstream.

        Copying from an evacuated engine is allowed at the beginning of the evacuation, so that the
        engines that take over its prompts need not prefill them again.
        """
        if not self.is_evacuated(entry):
            return True
        age_ms = self._evacuations.get_age_ms(entry.data_centre)
        return age_ms is not None and age_ms < self._copy_window_ms

    def select(
        self, entries: Collection[Entry], *, excluded: Collection[str], version: str | None = None
    ) -> tuple[Entry, ...] | PlacementRefusal:
        """Return the upstreams that may receive a request (never empty), or why there is none.

        With `version`, only upstreams whose software has that version may.
        """
        if version is not None:
            entries = [entry for entry in entries if entry.version == version]
            if not entries:
                return VERSION_GONE
        remaining = tuple(entry for entry in entries if entry.incarnation not in excluded)
        if not remaining:
            return NO_UPSTREAM
        in_service = tuple(entry for entry in remaining if not self.is_evacuated(entry))
        if not in_service:
            return ALL_EVACUATED
        accepting = tuple(
            entry for entry in in_service if not self._backoffs.is_backing_off(entry.incarnation)
        )
        if not accepting:
            return self._make_backoff_refusal(in_service)
        reachable = accepting
        if self._skips_unreachable:
            reachable = tuple(e for e in accepting if not self._health.is_down(e.incarnation))
        return self._select_warm(reachable or accepting, accepting)

    def _select_warm(
        self, reachable: tuple[Entry, ...], accepting: tuple[Entry, ...]
    ) -> tuple[Entry, ...] | PlacementRefusal:
        """Return the warm upstreams; without one, the warming ones this router may send to now."""
        warm = tuple(e for e in reachable if not self._slow_start.is_warming(e.incarnation))
        if warm and self._prefers_warm:
            return warm
        warming = tuple(
            e
            for e in reachable
            if self._slow_start.is_warming(e.incarnation)
            and self._slow_start.may_send(e.incarnation)
        )
        if warm or warming:
            return warm + warming
        # Prefer an upstream that was unreachable a moment ago to refusing the request.
        unreachable = tuple(e for e in accepting if not self._slow_start.is_warming(e.incarnation))
        return unreachable or self._make_warm_up_refusal(accepting)

    def _make_backoff_refusal(self, in_service: tuple[Entry, ...]) -> PlacementRefusal:
        waits_ms = (self._backoffs.get_remaining_ms(entry.incarnation) for entry in in_service)
        return PlacementRefusal(
            reason=Reason.UPSTREAMS_BACKING_OFF,
            message="All upstreams are full and want a rest",
            not_before_ms=min(waits_ms),
        )

    def _make_warm_up_refusal(self, accepting: tuple[Entry, ...]) -> PlacementRefusal:
        waits_ms = (self._slow_start.get_wait_ms(entry.incarnation) for entry in accepting)
        return PlacementRefusal(
            reason=Reason.WARMING_UP,
            message="All upstreams warm up and have as much as they bear",
            not_before_ms=min(waits_ms),
        )
