"""Whether a request without a prompt is taken on, or refused since it could not be in time."""

from __future__ import annotations

from collections.abc import Callable, Collection

from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.eligibility import PlacementRefusal, make_late_refusal
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.forwarding.placement import Candidate
from gypsumrouter.forwarding.service_time import (
    MAX_TIME_SHARE,
    AdmissionPermits,
    ServiceTimes,
    estimate_response_ms,
)


class PlainAdmission:
    """Admits plain requests by how long their upstreams take and how many wait there.

    Loads of peers are old, so that each router also goes on with its part of what the upstreams
    serve, whatever it believes of their queues. `count_routers` is how many routers share it.
    """

    __slots__ = ("_count_routers", "_permits", "_times")

    def __init__(self, *, count_routers: Callable[[], int]) -> None:
        self._count_routers = count_routers
        self._times = ServiceTimes()
        self._permits = AdmissionPermits()

    def admit(
        self,
        *,
        service: str,
        entries: Collection[Entry],
        chosen: Candidate,
        limit_ms: int,
        now_ms: int,
    ) -> PlacementRefusal | None:
        """Count a request that is taken on; return the refusal of one that is not.

        `entries` are the upstreams that may get it, `limit_ms` is how much time it has.
        """
        lateness_ms = self._estimate_lateness_ms(service, chosen, limit_ms)
        if not self._has_permit(service, entries, now_ms) and lateness_ms > 0:
            return make_late_refusal(lateness_ms)
        self._permits.spend(service)
        return None

    def note_answered(self, placed: Placement, *, elapsed_ms: int) -> None:
        """Note a whole answer."""
        entry = placed.entry
        self._times.note(
            service=entry.service,
            upstream=entry.incarnation,
            load=placed.load,
            slots=entry.slots,
            elapsed_ms=elapsed_ms,
        )

    def forget(self, upstream: str) -> None:
        """Forget an upstream that ended."""
        self._times.forget(upstream)

    def _has_permit(self, service: str, entries: Collection[Entry], now_ms: int) -> bool:
        """Return whether this router has a part left of what a service's upstreams serve."""
        served_per_ms = 0.0
        for entry in entries:
            service_ms = self._times.get(service=service, upstream=entry.incarnation)
            if service_ms:
                served_per_ms += entry.slots / service_ms
        per_ms = served_per_ms / self._count_routers()
        return self._permits.has_permit(service, per_ms=per_ms, now_ms=now_ms)

    def _estimate_lateness_ms(self, service: str, chosen: Candidate, limit_ms: int) -> float:
        """Return by how much the answer is expected later than it is worth waiting for."""
        service_ms = self._times.get(service=service, upstream=chosen.upstream)
        if service_ms is None or chosen.load < chosen.slots:
            return 0.0
        expected_ms = estimate_response_ms(
            load=chosen.load, slots=chosen.slots, service_ms=service_ms
        )
        return expected_ms - limit_ms * MAX_TIME_SHARE
