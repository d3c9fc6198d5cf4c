"""Whether a request without a prompt is taken on, or refused since it could not be in time."""

from __future__ import annotations

from collections.abc import Callable, Collection

from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.eligibility import NoPlace, make_hopeless
from gypsumrouter.forwarding.placed import Placed
from gypsumrouter.forwarding.placement import Candidate
from gypsumrouter.forwarding.service_time import EXPECTED_SHARE, FairShare, ServiceTimes, expect_ms


class PlainAdmission:
    """Admits plain requests by how long their upstreams take and how many wait there.

    Loads of peers are old, so that each router also goes on with its part of what the upstreams
    serve, whatever it believes of their queues. `count_routers` is how many routers share it.
    """

    __slots__ = ("_count_routers", "_fair_share", "_times")

    def __init__(self, *, count_routers: Callable[[], int]) -> None:
        self._count_routers = count_routers
        self._times = ServiceTimes()
        self._fair_share = FairShare()

    def admit(
        self,
        *,
        service: str,
        entries: Collection[Entry],
        chosen: Candidate,
        limit_ms: int,
        now_ms: int,
    ) -> NoPlace | None:
        """Count a request that is taken on; return the refusal of one that is not.

        `entries` are the upstreams that may get it, `limit_ms` is how much time it has.
        """
        late_ms = self._expect_late_ms(service, chosen, limit_ms)
        if not self._has_part(service, entries, now_ms) and late_ms > 0:
            return make_hopeless(late_ms)
        self._fair_share.spend(service)
        return None

    def note_answered(self, placed: Placed, *, elapsed_ms: int) -> None:
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

    def _has_part(self, service: str, entries: Collection[Entry], now_ms: int) -> bool:
        """Return whether this router has a part left of what a service's upstreams serve."""
        served_per_ms = 0.0
        for entry in entries:
            service_ms = self._times.get(service=service, upstream=entry.incarnation)
            if service_ms:
                served_per_ms += entry.slots / service_ms
        per_ms = served_per_ms / self._count_routers()
        return self._fair_share.has_left(service, per_ms=per_ms, now_ms=now_ms)

    def _expect_late_ms(self, service: str, chosen: Candidate, limit_ms: int) -> float:
        """Return by how much the answer is expected later than it is worth waiting for."""
        service_ms = self._times.get(service=service, upstream=chosen.upstream)
        if service_ms is None or chosen.load < chosen.slots:
            return 0.0
        expected_ms = expect_ms(load=chosen.load, slots=chosen.slots, service_ms=service_ms)
        return expected_ms - limit_ms * EXPECTED_SHARE
