"""Admission control for plain requests, which have no prompt: refuses those expected to be late."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from gypsumrouter.contention import Expected
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.eligibility import PlacementRefusal, make_late_refusal
from gypsumrouter.forwarding.load_reports import USUAL_PACE, LoadReports
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
    share the throughput. `reports` are the loads that upstreams report, None to ignore them.
    """

    __slots__ = ("_actual_times", "_count_routers", "_permits", "_reports", "_usual_times")

    def __init__(
        self, *, count_routers: Callable[[], int], reports: LoadReports | None = None
    ) -> None:
        self._count_routers = count_routers
        self._reports = reports
        self._actual_times = ServiceTimes()
        # Divided by the pace that the upstream reported: a slow moment would otherwise count twice
        # in an estimate, by the pace and by the service time, and for longer than it lasts.
        self._usual_times = ServiceTimes()
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
        lateness_ms = self._estimate_lateness_ms(service, chosen, limit_ms, now_ms)
        has_permit = self._has_permit(service, entries, now_ms, needed_permits)
        if not has_permit and lateness_ms > 0:
            return make_late_refusal(lateness_ms)
        self._permits.spend(service)
        return None

    def estimate_all(
        self, service: str, candidates: Sequence[Candidate], *, now_ms: int
    ) -> dict[str, float]:
        """Return the expected completion time in ms of a request at each candidate.

        It is empty if no candidate has reported its load recently, or none has served a request.
        """
        reports = self._reports
        if reports is None:
            return {}
        reported = [reports.get_held(c.upstream, now_ms=now_ms) for c in candidates]
        if not any(held is not None for held in reported):
            return {}
        expected_ms: dict[str, float] = {}
        for candidate, held in zip(candidates, reported, strict=True):
            load = max(candidate.load, held or 0)
            response_ms = self._estimate_response_ms(service, candidate, load, now_ms)
            if response_ms is not None:
                expected_ms[candidate.upstream] = response_ms
        return expected_ms

    def note_answered(self, placed: Placement, *, elapsed_ms: int, now_ms: int) -> None:
        """Record the duration of a complete response."""
        entry = placed.entry
        pace = self._get_pace(entry.incarnation, now_ms)
        for times, at_pace in ((self._usual_times, pace), (self._actual_times, USUAL_PACE)):
            times.note(
                service=entry.service,
                upstream=entry.incarnation,
                load=placed.load,
                slots=entry.slots,
                elapsed_ms=elapsed_ms,
                pace=at_pace,
            )

    def estimate(self, placed: Placement, *, now_ms: int) -> Expected:
        """Return the expected response time of a placed request; 0 before the first response."""
        entry = placed.entry
        service_ms = self.get_service_ms(entry, now_ms=now_ms) or 0.0
        load = self._get_held(entry.incarnation, counted=placed.load, now_ms=now_ms)
        response_ms = estimate_response_ms(load=load, slots=entry.slots, service_ms=service_ms)
        return Expected(backlog_ms=response_ms - service_ms, own_ms=service_ms)

    def get_service_ms(self, entry: Entry, *, now_ms: int) -> float | None:
        """Return the service time of an upstream, None before the first response."""
        return self._get_service_ms(entry.service, entry.incarnation, now_ms)

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream that was removed."""
        self._usual_times.forget(upstream)
        self._actual_times.forget(upstream)

    def _has_permit(
        self, service: str, entries: Collection[Entry], now_ms: int, needed: int
    ) -> bool:
        """Return whether this router's share of the service's throughput has the needed permits."""
        throughput_per_ms = 0.0
        for entry in entries:
            service_ms = self._actual_times.get(service=service, upstream=entry.incarnation)
            if service_ms:
                throughput_per_ms += entry.slots / service_ms
        per_ms = throughput_per_ms / self._count_routers()
        return self._permits.has_permit(service, per_ms=per_ms, now_ms=now_ms, needed=needed)

    def _estimate_lateness_ms(
        self, service: str, chosen: Candidate, limit_ms: int, now_ms: int
    ) -> float:
        """Return by how much the response is expected to be late; 0 or less if it is in time."""
        load = self._get_held(chosen.upstream, counted=chosen.load, now_ms=now_ms)
        expected_ms = self._estimate_response_ms(service, chosen, load, now_ms)
        if expected_ms is None or load < chosen.slots:
            return 0.0
        return expected_ms - limit_ms * MAX_TIME_SHARE

    def _estimate_response_ms(
        self, service: str, candidate: Candidate, load: int, now_ms: int
    ) -> float | None:
        """Return the expected response time, None if no upstream has served a request."""
        service_ms = self._get_service_ms(service, candidate.upstream, now_ms)
        if service_ms is None:
            return None
        return estimate_response_ms(load=load, slots=candidate.slots, service_ms=service_ms)

    def _get_service_ms(self, service: str, upstream: str, now_ms: int) -> float | None:
        """Return the service time at the present pace.

        The less current the reported pace is, the more the average of actual times counts: an
        upstream that is slow for minutes remains so between two reports.
        """
        usual_ms = self._usual_times.get(service=service, upstream=upstream)
        actual_ms = self._actual_times.get(service=service, upstream=upstream)
        if self._reports is None or usual_ms is None or actual_ms is None:
            return actual_ms
        certainty = self._reports.get_pace_certainty(upstream, now_ms=now_ms)
        if certainty == 0:
            return actual_ms
        paced_ms = usual_ms * self._get_pace(upstream, now_ms)
        return paced_ms + (1 - certainty) * (actual_ms - usual_ms)

    def _get_held(self, upstream: str, *, counted: int, now_ms: int) -> int:
        """Return the larger of the counted and the reported requests at an upstream."""
        reports = self._reports
        held = None if reports is None else reports.get_held(upstream, now_ms=now_ms)
        return counted if held is None else max(counted, held)

    def _get_pace(self, upstream: str, now_ms: int) -> float:
        reports = self._reports
        return USUAL_PACE if reports is None else reports.get_pace(upstream, now_ms=now_ms)
