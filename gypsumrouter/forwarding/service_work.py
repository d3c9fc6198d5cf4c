"""Work and demand at a service, for the admission queue."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from msgspec import Struct

from gypsumrouter.contention import ServiceWork
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.util.clock import Clock

# How long the sums over all upstreams of a service are used; peers report every 100 ms or more.
SUMS_TTL_MS: Final = 100
# How long the eligible upstreams and their service times are used. Reading them takes 1 ms of
# processor time for 930 upstreams.
UPSTREAMS_TTL_MS: Final = 500


class _Upstreams(Struct, frozen=True, kw_only=True):
    """The eligible upstreams of a service, with the work of a running request there.

    At plain upstreams it is the service time divided by the slots, in milliseconds. At model
    engines it is 0, because their work is the pending prefill. `slots` is the sum over all.
    """

    read_ms: int
    slots: int
    request_ms: dict[str, float]


class _PeerSums(Struct, frozen=True, kw_only=True):
    """Sums of the peers' loads over the eligible upstreams of a service."""

    read_ms: int
    work_ms: float
    running: int


class ServiceWorkReader:
    """Reads the work at a service from the loads of its upstreams.

    The figures of peers may be `SUMS_TTL_MS` older than their reports.
    """

    __slots__ = ("_clock", "_peer_sums", "_placer", "_upstreams")

    def __init__(self, *, clock: Clock, placer: Placer) -> None:
        self._clock = clock
        self._placer = placer
        self._upstreams: dict[str, _Upstreams] = {}
        self._peer_sums: dict[str, _PeerSums] = {}

    def read(self, service: str) -> ServiceWork:
        """Return the work of this router and of its peers at a service."""
        now_ms = self._clock.now_ms()
        upstreams = self._get_upstreams(service, now_ms)
        request_ms = upstreams.request_ms
        peers = self._get_peer_sums(service, request_ms, now_ms)
        loads = self._placer.loads
        own_ms, own_running = 0.0, 0
        for upstream, load in loads.get_own_loads().items():
            if upstream in request_ms:
                own_ms += load.running * request_ms[upstream]
                own_ms += load.pending_tokens / self._placer.prefill_speed.tokens_per_ms
                own_running += load.running
        return ServiceWork(
            own_ms=own_ms,
            peers_ms=peers.work_ms,
            upstreams=len(request_ms),
            slots=upstreams.slots,
            own_running=own_running,
            peers_running=peers.running,
            peers_known=loads.has_peer_loads(now_ms=now_ms),
            peers_age_ms=loads.get_oldest_peer_age_ms(now_ms=now_ms),
            routers=self._placer.slow_start.count_routers(),
        )

    def _get_upstreams(self, service: str, now_ms: int) -> _Upstreams:
        known = self._upstreams.get(service)
        if known is not None and now_ms - known.read_ms < UPSTREAMS_TTL_MS:
            return known
        plain = self._placer.plain
        eligible = self._placer.list_eligible(service)
        request_ms = {
            entry.incarnation: (plain.get_service_ms(entry, now_ms=now_ms) or 0.0)
            / max(1, entry.slots)
            for entry in eligible
        }
        slots = sum(max(1, entry.slots) for entry in eligible)
        upstreams = _Upstreams(read_ms=now_ms, slots=slots, request_ms=request_ms)
        self._upstreams[service] = upstreams
        return upstreams

    def _get_peer_sums(
        self, service: str, request_ms: Mapping[str, float], now_ms: int
    ) -> _PeerSums:
        known = self._peer_sums.get(service)
        if known is not None and now_ms - known.read_ms < SUMS_TTL_MS:
            return known
        loads = self._placer.loads
        tokens = loads.sum_peer_pending(request_ms, now_ms=now_ms)
        work_ms = tokens / self._placer.prefill_speed.tokens_per_ms
        running = 0
        for upstream, each_ms in request_ms.items():
            count = loads.get_peer_running(upstream)
            running += count
            work_ms += count * each_ms
        sums = _PeerSums(read_ms=now_ms, work_ms=work_ms, running=running)
        self._peer_sums[service] = sums
        return sums
