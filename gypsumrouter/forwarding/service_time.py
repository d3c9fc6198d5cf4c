"""How long upstreams of plain services take, and what a request there has to expect.

Answers this load: a service loses one of a few upstreams for seconds, and somewhat more arrives
than the others serve. Their queues fill up, and then every answer is late. What cannot be in time
is refused at once instead: its caller may come back in time, and what is taken is in time.
"""

from __future__ import annotations

from typing import Final

# The weight of a new answer in what is expected of the next ones.
EWMA_WEIGHT: Final = 0.2
# One answer that took longer than this many times the usual is an outlier.
OUTLIER_FACTOR: Final = 3.0
# The part of a request's time that its expected answer may take: service times spread, and callers
# that were refused before have less left than the target.
MAX_TIME_SHARE: Final = 0.6
# Requests that a router may save up of its part.
MAX_SAVED_PERMITS: Final = 2.0


class ServiceTimes:
    """The mean time that upstreams take for a request once they begin it, in milliseconds."""

    __slots__ = ("_by_service", "_by_upstream")

    def __init__(self) -> None:
        self._by_service: dict[str, float] = {}
        self._by_upstream: dict[str, float] = {}

    def note(self, *, service: str, upstream: str, load: int, slots: int, elapsed_ms: int) -> None:
        """Note an answer; `load` is what its upstream was believed to have before it."""
        service_ms = elapsed_ms / (1 + get_queue_factor(load=load, slots=slots))
        current_ms = self.get(service=service, upstream=upstream)
        if current_ms is None:
            self._by_service[service] = self._by_upstream[upstream] = service_ms
            return
        service_ms = min(service_ms, OUTLIER_FACTOR * current_ms)
        self._by_upstream[upstream] = current_ms + EWMA_WEIGHT * (service_ms - current_ms)
        mean_ms = self._by_service[service]
        self._by_service[service] = mean_ms + EWMA_WEIGHT * (service_ms - mean_ms)

    def get(self, *, service: str, upstream: str) -> float | None:
        """Return the time of an upstream, of its service where it has not answered yet."""
        current_ms = self._by_upstream.get(upstream)
        return self._by_service.get(service) if current_ms is None else current_ms

    def forget(self, upstream: str) -> None:
        """Forget an upstream that ended."""
        self._by_upstream.pop(upstream, None)


class AdmissionPermits:
    """This router's part of what the upstreams of each service can take on.

    Loads that peers tell are old: where they alone decide, all routers refuse for as long as the
    news of full queues last, and the upstreams fall idle meanwhile. So each router goes on with its
    part of what they serve.
    """

    __slots__ = ("_filled_ms", "_permits")

    def __init__(self) -> None:
        self._permits: dict[str, float] = {}
        self._filled_ms: dict[str, int] = {}

    def has_permit(self, service: str, *, per_ms: float, now_ms: int) -> bool:
        """Return whether a request is left of the part, which grows by `per_ms`."""
        grown = (now_ms - self._filled_ms.get(service, now_ms)) * per_ms
        self._filled_ms[service] = now_ms
        left = min(MAX_SAVED_PERMITS, self._permits.get(service, MAX_SAVED_PERMITS) + grown)
        self._permits[service] = left
        return left >= 1

    def spend(self, service: str) -> None:
        """Count a request that is taken on, whether or not one was left."""
        self._permits[service] = max(0.0, self._permits.get(service, MAX_SAVED_PERMITS) - 1)


def get_queue_factor(*, load: int, slots: int) -> float:
    """Return how long a request waits for a slot, in units of the service time."""
    return max(0, load + 1 - slots) / slots


def estimate_response_ms(*, load: int, slots: int, service_ms: float) -> float:
    """Return when the answer of an upstream is expected that has `load` requests already."""
    return service_ms * (1 + get_queue_factor(load=load, slots=slots))
