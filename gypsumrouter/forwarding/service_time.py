"""Estimates of service and response times of plain services, for admission control.

When a service is overloaded, for instance after the loss of an upstream, its queues fill up and all
responses are late. Refusing at once the requests that would be late keeps the others in time.
"""

from __future__ import annotations

from typing import Final

# Weight of a new response in the exponentially weighted moving averages.
EWMA_WEIGHT: Final = 0.2
# Measured service times are limited to this many times the current estimate.
OUTLIER_FACTOR: Final = 3.0
# Share of a request's time that the estimated response time may use. The remainder allows for the
# variance of service times and for callers that retry with less time left.
MAX_TIME_SHARE: Final = 0.6
# Upper bound on the unused permits that a router accumulates per service.
MAX_SAVED_PERMITS: Final = 2.0


class ServiceTimes:
    """Moving averages of the service time per upstream and per service, without queueing."""

    __slots__ = ("_by_service", "_by_upstream")

    def __init__(self) -> None:
        self._by_service: dict[str, float] = {}
        self._by_upstream: dict[str, float] = {}

    def note(
        self,
        *,
        service: str,
        upstream: str,
        load: int,
        slots: int,
        elapsed_ms: int,
        pace: float = 1.0,
    ) -> None:
        """Record a response; `load` is the number of requests the upstream had before it.

        The service time is recorded at the usual pace: it is divided by `pace`, which is how long
        work took as a multiple of the usual time.
        """
        service_ms = elapsed_ms / (1 + get_queue_factor(load=load, slots=slots)) / pace
        current_ms = self.get(service=service, upstream=upstream)
        if current_ms is None:
            self._by_service[service] = self._by_upstream[upstream] = service_ms
            return
        service_ms = min(service_ms, OUTLIER_FACTOR * current_ms)
        self._by_upstream[upstream] = current_ms + EWMA_WEIGHT * (service_ms - current_ms)
        mean_ms = self._by_service[service]
        self._by_service[service] = mean_ms + EWMA_WEIGHT * (service_ms - mean_ms)

    def get(self, *, service: str, upstream: str) -> float | None:
        """Return the service time of an upstream, or of its service if it has not answered yet."""
        current_ms = self._by_upstream.get(upstream)
        return self._by_service.get(service) if current_ms is None else current_ms

    def forget(self, upstream: str) -> None:
        """Drop the estimate of an upstream that was removed."""
        self._by_upstream.pop(upstream, None)


class AdmissionPermits:
    """Token buckets per service that are filled at this router's share of the service's throughput.

    Peers' load reports are old: if they alone decided, all routers would refuse requests while the
    last report shows full queues, and the upstreams would become idle.
    """

    __slots__ = ("_permits", "_refilled_ms")

    def __init__(self) -> None:
        self._permits: dict[str, float] = {}
        self._refilled_ms: dict[str, int] = {}

    def has_permit(self, service: str, *, per_ms: float, now_ms: int, needed: int = 1) -> bool:
        """Refill the bucket at `per_ms` permits per millisecond; return whether it has enough."""
        refill = (now_ms - self._refilled_ms.get(service, now_ms)) * per_ms
        self._refilled_ms[service] = now_ms
        # Permits that are left for others must not reduce those that can be saved.
        limit = MAX_SAVED_PERMITS + needed - 1
        permits = min(limit, self._permits.get(service, MAX_SAVED_PERMITS) + refill)
        self._permits[service] = permits
        return permits >= needed

    def spend(self, service: str) -> None:
        """Use up a permit for an admitted request, if there is one."""
        self._permits[service] = max(0.0, self._permits.get(service, MAX_SAVED_PERMITS) - 1)


def get_queue_factor(*, load: int, slots: int) -> float:
    """Return the queueing time of a request, in units of the service time."""
    return max(0, load + 1 - slots) / slots


def estimate_response_ms(*, load: int, slots: int, service_ms: float) -> float:
    """Return the estimated response time of an upstream that has `load` requests."""
    return service_ms * (1 + get_queue_factor(load=load, slots=slots))
