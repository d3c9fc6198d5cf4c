"""Which upstreams may get a new request now; first tries, second tries and resumes all ask here."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final

from msgspec import Struct

from gypsumrouter.directory import Entry, Evacuations
from gypsumrouter.forwarding.health import HealthTracker
from gypsumrouter.forwarding.rests import BackoffTracker
from gypsumrouter.forwarding.slow_start import SlowStartLimiter
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason

# The part of the bound on evacuations within which an evacuated engine may be copied from: news of
# the evacuation may be late by the other half.
COPY_WINDOW_SHARE: Final = 0.5


class PlacementRefusal(Struct, frozen=True, kw_only=True):
    """No upstream may get a request now; another try is of no use before `not_before_ms`."""

    reason: Reason
    message: str
    not_before_ms: int = 0


NO_UPSTREAM = PlacementRefusal(
    reason=Reason.NO_INSTANCE, message="No upstream can take the request"
)
ALL_EVACUATED = PlacementRefusal(
    reason=Reason.EVACUATED, message="All upstreams left are evacuated"
)


def make_late_refusal(late_ms: float) -> PlacementRefusal:
    """Return the refusal of a request whose answer would come so much too late."""
    return PlacementRefusal(
        reason=Reason.TARGET_HOPELESS,
        message="The upstreams have more waiting than they serve in time",
        not_before_ms=int(late_ms),
    )


class Eligibility:
    """Tells upstreams that take new work from those that rest, are evacuated, lost or warm up."""

    __slots__ = (
        "_backoffs",
        "_copy_ms",
        "_evacuations",
        "_health",
        "_rest_when_down",
        "_slow_start",
        "_warm_first",
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
        self._copy_ms = evacuation_ms * COPY_WINDOW_SHARE
        self._evacuations = evacuations
        self._health = health
        self._backoffs = backoffs
        self._slow_start = slow_start
        self._rest_when_down = Mechanism.REST_WHEN_DOWN not in without
        self._warm_first = Mechanism.WARM_FIRST not in without

    def is_evacuated(self, entry: Entry) -> bool:
        """Return whether an upstream gets nothing new by the operator's word."""
        return self._evacuations.is_active(entry.data_centre)

    def set_evacuation_bound(self, evacuation_ms: int) -> None:
        """Keep another bound on evacuations from now on."""
        self._copy_ms = evacuation_ms * COPY_WINDOW_SHARE

    def may_copy_from(self, entry: Entry) -> bool:
        """Return whether other engines may copy what an upstream holds.

        From an evacuated one only at the beginning: what it holds would else be read again by the
        engines that take over its prompts.
        """
        if not self.is_evacuated(entry):
            return True
        age_ms = self._evacuations.get_age_ms(entry.data_centre)
        return age_ms is not None and age_ms < self._copy_ms

    def select(
        self, entries: Iterable[Entry], *, excluded: Collection[str]
    ) -> tuple[Entry, ...] | PlacementRefusal:
        """Return those of a service's upstreams that may get a request, at least one of them."""
        left = tuple(entry for entry in entries if entry.incarnation not in excluded)
        if not left:
            return NO_UPSTREAM
        settled = tuple(entry for entry in left if not self.is_evacuated(entry))
        if not settled:
            return ALL_EVACUATED
        awake = tuple(
            entry for entry in settled if not self._backoffs.is_backing_off(entry.incarnation)
        )
        if not awake:
            return self._make_resting(settled)
        reachable = awake
        if self._rest_when_down:
            reachable = tuple(e for e in awake if not self._health.is_down(e.incarnation))
        return self._select_warm(reachable or awake, awake)

    def _select_warm(
        self, reachable: tuple[Entry, ...], awake: tuple[Entry, ...]
    ) -> tuple[Entry, ...] | PlacementRefusal:
        """Return the upstreams that are warm, or those that warm up at which it is our turn."""
        warm = tuple(e for e in reachable if not self._slow_start.is_warming(e.incarnation))
        if warm and self._warm_first:
            return warm
        warming = tuple(
            e
            for e in reachable
            if self._slow_start.is_warming(e.incarnation)
            and self._slow_start.may_send(e.incarnation)
        )
        if warm or warming:
            return warm + warming
        # One that took no connection a moment ago is better than none.
        down = tuple(e for e in awake if not self._slow_start.is_warming(e.incarnation))
        return down or self._make_refusal(awake)

    def _make_resting(self, settled: tuple[Entry, ...]) -> PlacementRefusal:
        waits_ms = (self._backoffs.get_remaining_ms(entry.incarnation) for entry in settled)
        return PlacementRefusal(
            reason=Reason.UPSTREAMS_REST,
            message="All upstreams are full and want a rest",
            not_before_ms=min(waits_ms),
        )

    def _make_refusal(self, awake: tuple[Entry, ...]) -> PlacementRefusal:
        waits_ms = (self._slow_start.get_wait_ms(entry.incarnation) for entry in awake)
        return PlacementRefusal(
            reason=Reason.WARMING_UP,
            message="All upstreams warm up and have as much as they bear",
            not_before_ms=min(waits_ms),
        )
