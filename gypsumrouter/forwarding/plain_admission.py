"""Admission control for plain requests, which have no prompt: refuses those expected to be late."""

from __future__ import annotations

from collections.abc import Callable, Collection

from gypsumrouter.contention import Expected
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
    """Admits plain requests by their estimated response time.

    Independently of the estimate, each router admits its share of the throughput of the upstreams,
    because the loads reported by peers are old. `count_routers` returns the number of routers that
    share the throughput.
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
        needed_permits: int = 1,
    ) -> PlacementRefusal | None:
        """Admit a request and return None, or return its refusal.

        `entries` are the eligible upstreams, `limit_ms` is the time within which to respond.
        A request that is expected to be late is admitted if there are `needed_permits`.
        """
        lateness_ms = self._estimate_lateness_ms(service, chosen, limit_ms)
        has_permit = self._has_permit(service, entries, now_ms, needed_permits)
        if not has_permit and lateness_ms > 0:
            return make_late_refusal(lateness_ms)
        self._permits.spend(service)
        return None

    def note_answered(self, placed: Placement, *, elapsed_ms: int) -> None:
        """Record the duration of a complete response."""
        entry = placed.entry
        self._times.note(
            service=entry.service,
            upstream=entry.incarnation,
            load=placed.load,
            slots=entry.slots,
            elapsed_ms=elapsed_ms,
        )

    def estimate(self, placed: Placement) -> Expected:
        """Return the expected response time of a placed request; 0 before the first response."""
        entry = placed.entry
        service_ms = self.get_service_ms(entry) or 0.0
        response_ms = estimate_response_ms(
            load=placed.load, slots=entry.slots, service_ms=service_ms
        )
        return Expected(backlog_ms=response_ms - service_ms, own_ms=service_ms)

    def get_service_ms(self, entry: Entry) -> float | None:
        """Return the service time of an upstream, None before the first response."""
        return self._times.get(service=entry.service, upstream=entry.incarnation)

    def forget(self, upstream: str) -> None:
        """Drop the service time of an upstream that was removed."""
        self._times.forget(upstream)

    def _has_permit(
        self, service: str, entries: Collection[Entry], now_ms: int, needed: int
    ) -> bool:
        """Return whether this router's share of the service's throughput has the needed permits."""
        throughput_per_ms = 0.0
        for entry in entries:
            service_ms = self._times.get(service=service, upstream=entry.incarnation)
            if service_ms:
                throughput_per_ms += entry.slots / service_ms
        per_ms = throughput_per_ms / self._count_routers()
        return self._permits.has_permit(service, per_ms=per_ms, now_ms=now_ms, needed=needed)

    def _estimate_lateness_ms(self, service: str, chosen: Candidate, limit_ms: int) -> float:
        """Return by how much the response is expected to be late; 0 or less if it is in time."""
        service_ms = self._times.get(service=service, upstream=chosen.upstream)
        if service_ms is None or chosen.load < chosen.slots:
            return 0.0
        expected_ms = estimate_response_ms(
            load=chosen.load, slots=chosen.slots, service_ms=service_ms
        )
        return expected_ms - limit_ms * MAX_TIME_SHARE
