"""Work and demand at a service, for the admission queue."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from msgspec import Struct

from gypsumrouter.contention import ServiceWork
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.loads import UpstreamLoad
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.util.clock import Clock

# How long the sums over all upstreams of a service are used; peers report every 100 ms or more.
SUMS_TTL_MS: Final = 50


class _Sums(Struct, frozen=True, kw_only=True):
    """Sums over the eligible upstreams of a service at one time."""

    read_ms: int
    upstreams: dict[str, Entry]
    peers_ms: float
    peers_running: int


class ServiceWorkReader:
    """Reads the work at a service from the loads of its upstreams."""

    __slots__ = ("_clock", "_placer", "_sums")

    def __init__(self, *, clock: Clock, placer: Placer) -> None:
        self._clock = clock
        self._placer = placer
        self._sums: dict[str, _Sums] = {}

    def read(self, service: str) -> ServiceWork:
        """Return the work of this router and of its peers at a service.

        The figures of peers may be `SUMS_TTL_MS` older than their reports.
        """
        now_ms = self._clock.now_ms()
        sums = self._sums.get(service)
        if sums is None or now_ms - sums.read_ms >= SUMS_TTL_MS:
            sums = self._sums[service] = self._add_up(service, now_ms)
        loads = self._placer.loads
        own = [
            (entry, load)
            for upstream, load in loads.get_own_loads().items()
            if (entry := sums.upstreams.get(upstream)) is not None
        ]
        return ServiceWork(
            own_ms=self._get_work_ms(own),
            peers_ms=sums.peers_ms,
            upstreams=len(sums.upstreams),
            own_running=sum(load.running for _, load in own),
            peers_running=sums.peers_running,
            peers_known=loads.has_peer_loads(now_ms=now_ms),
            peers_age_ms=loads.get_oldest_peer_age_ms(now_ms=now_ms),
            routers=self._placer.slow_start.count_routers(),
        )

    def _add_up(self, service: str, now_ms: int) -> _Sums:
        entries = {entry.incarnation: entry for entry in self._placer.list_eligible(service)}
        loads = self._placer.loads.get_all(entries, now_ms=now_ms)
        peers = []
        for upstream, entry in entries.items():
            total, own = loads[upstream], self._placer.loads.get_own(upstream)
            load = UpstreamLoad(
                running=total.running - own.running,
                pending_tokens=total.pending_tokens - own.pending_tokens,
            )
            peers.append((entry, load))
        return _Sums(
            read_ms=now_ms,
            upstreams=entries,
            peers_ms=self._get_work_ms(peers),
            peers_running=sum(load.running for _, load in peers),
        )

    def _get_work_ms(self, loads: Iterable[tuple[Entry, UpstreamLoad]]) -> float:
        """Return the work of requests in milliseconds of one upstream.

        At model engines it is the prefill that is pending; plain upstreams have none, but a known
        service time.
        """
        tokens = 0
        plain_ms = 0.0
        for entry, load in loads:
            tokens += load.pending_tokens
            service_ms = self._placer.plain.get_service_ms(entry, now_ms=self._clock.now_ms())
            if service_ms is not None:
                plain_ms += load.running * service_ms / entry.slots
        return plain_ms + tokens / self._placer.prefill_speed.tokens_per_ms
