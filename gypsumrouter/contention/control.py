"""Admission of first attempts, with one queue for each service."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from gypsumrouter.contention.const import TICK_MS, WAIT_BUCKETS
from gypsumrouter.contention.models import (
    Admitted,
    Claim,
    NoShares,
    Refused,
    ServiceWork,
    Waiting,
    WorkspaceExcess,
)
from gypsumrouter.contention.queue import ContentionQueue
from gypsumrouter.core import Application
from gypsumrouter.helpers.metrics import Labels, MetricRegistry
from gypsumrouter.journal import Journal, RequestQueued, RequestReleased
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.outcomes import Reason
from gypsumrouter.routing import RoutingTable
from gypsumrouter.settings import Contention

KIND_ENGINE = "engine"
KIND_PLAIN = "plain"


class ContentionMetrics:
    """Counts decisions and observes waits, by kind of service."""

    __slots__ = ("_decisions", "_waits")

    def __init__(
        self, *, registry: MetricRegistry, read_waiting: Callable[[], Mapping[Labels, float]]
    ) -> None:
        self._decisions = registry.counter(
            "gypsumrouter_contention_decisions_total",
            "Admission decisions by kind of service and decision",
        )
        self._waits = registry.histogram(
            "gypsumrouter_contention_wait_ms", "Time that released requests waited", WAIT_BUCKETS
        )
        registry.gauge(
            "gypsumrouter_contention_waiting", "Waiting requests by kind of service", read_waiting
        )

    def count_decision(self, decision: str, *, plain: bool) -> None:
        """Count a decision: `send`, `release`, `gone` or the reason of a refusal."""
        self._decisions.inc(labels=(("kind", get_kind(plain=plain)), ("decision", decision)))

    def observe_wait(self, waited_ms: int, *, plain: bool) -> None:
        """Record how long a released request waited."""
        self._waits.observe(waited_ms, (("kind", get_kind(plain=plain)),))


def get_kind(*, plain: bool) -> str:
    """Return the label of a kind of service."""
    return KIND_PLAIN if plain else KIND_ENGINE


GetServiceWork = Callable[[str], ServiceWork]


class ContentionControl:
    """Decides which requests are sent, wait or are refused before their first attempt.

    `get_work` returns the work and the demand at a service. The forwarder asks for requests to
    model engines only; plain requests are admitted by `forwarding.plain_admission`.
    """

    __slots__ = (
        "_app",
        "_by_urgency",
        "_get_work",
        "_journal",
        "_metrics",
        "_queues",
        "_sequence",
        "_settings",
        "_ticking",
        "shares",
    )

    def __init__(
        self,
        *,
        app: Application,
        journal: Journal,
        settings: Contention,
        get_work: GetServiceWork,
        shares: WorkspaceExcess | None = None,
        without: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._app = app
        self._journal = journal
        self._settings = settings
        self._get_work = get_work
        self._by_urgency = Mechanism.URGENCY_ORDER not in without
        self._queues: dict[str, ContentionQueue] = {}
        self._sequence = 0
        self._ticking = False
        self.shares: WorkspaceExcess = shares or NoShares()
        self._metrics = ContentionMetrics(registry=app.metrics, read_waiting=self._count_waiting)
        app.add_dump_section("contention", self._dump)
        app.on_stop(self._async_stop)

    async def async_admit(self, claim: Claim) -> Admitted | Refused:
        """Return whether a request may be sent; waits while the upstreams lack capacity for it.

        If the task is cancelled because the caller has disconnected, the place is dropped.
        """
        now_ms = self._app.clock.now_ms()
        queue = self._get_queue(claim.service)
        self._sequence += 1
        outcome = queue.decide(
            claim, sequence=self._sequence, now_ms=now_ms, returned=claim.returned
        )
        match outcome:
            case Admitted():
                self._metrics.count_decision("send", plain=claim.plain)
                return outcome
            case Refused(reason=reason):
                self._metrics.count_decision(reason.value, plain=claim.plain)
                return outcome
        return await self._async_wait(queue, outcome)

    def note_changed(self, service: str) -> None:
        """Release waiting requests after the load of a service has changed."""
        queue = self._queues.get(service)
        if queue is None:
            return
        now_ms = self._app.clock.now_ms()
        queue.sample_demand(now_ms=now_ms)
        queue.release(now_ms=now_ms)

    def set_table(self, table: RoutingTable) -> None:
        """Apply the targets and priorities of a new configuration to the waiting requests."""
        routes = {route.name: route for route in table.configuration.routes}
        priorities = {
            workspace.name: workspace.priority for workspace in table.configuration.workspaces
        }
        for service, queue in self._queues.items():
            if table.get_service(service) is None:
                queue.refuse_all(Reason.NO_INSTANCE, "The service was removed")
            for item in queue.waiting.values():
                route = routes.get(item.claim.caller_class)
                if route is None:
                    continue
                priority = priorities.get(item.claim.workspace)
                item.set_target(
                    route_target_ms=route.target_latency_ms,
                    priority=route.priority if priority is None else priority,
                )
            queue.sort(now_ms=self._app.clock.now_ms())

    async def _async_wait(self, queue: ContentionQueue, item: Waiting) -> Admitted | Refused:
        claim = item.claim
        self._record_queued(queue, item)
        queue.release_after_arrival(item, now_ms=self._app.clock.now_ms())
        self._start_ticking()
        try:
            outcome = await item.future
        except BaseException:
            self._metrics.count_decision("gone", plain=claim.plain)
            raise
        finally:
            queue.remove(item)
        match outcome:
            case Admitted(waited_ms=waited_ms):
                self._metrics.count_decision("release", plain=claim.plain)
                self._metrics.observe_wait(waited_ms, plain=claim.plain)
                self._record_released(item, waited_ms)
            case Refused(reason=reason):
                self._metrics.count_decision(reason.value, plain=claim.plain)
        return outcome

    def _get_queue(self, service: str) -> ContentionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ContentionQueue(
                max_waiting=self._settings.max_waiting,
                shares=self.shares,
                get_work=lambda: self._get_work(service),
                by_urgency=self._by_urgency,
            )
        return queue

    def _start_ticking(self) -> None:
        if not self._ticking:
            self._ticking = True
            self._app.async_create_task(self._async_tick(), "contention queues")

    async def _async_tick(self) -> None:
        """Check the queues until no request waits."""
        try:
            while any(queue.waiting for queue in self._queues.values()):
                await self._app.clock.async_sleep(TICK_MS)
                now_ms = self._app.clock.now_ms()
                for queue in tuple(self._queues.values()):
                    queue.release(now_ms=now_ms)
        finally:
            self._ticking = False

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests since the process stops."""
        for queue in self._queues.values():
            queue.refuse_all(Reason.LEAVING, "This router is stopping")

    async def _async_stop(self) -> None:
        self.refuse_waiting()

    def _record_queued(self, queue: ContentionQueue, item: Waiting) -> None:
        work = self._get_work(item.claim.service)
        self._journal.record(
            RequestQueued(
                request_id=item.claim.request_id,
                service=item.claim.service,
                position=queue.get_position(item),
                room=round(queue.get_share(work), 3),
                own_demand=work.own_running,
                peers_demand=work.peers_running,
                peers_age_ms=work.peers_age_ms,
                expected_ms=round(item.expected_ms),
                longest_ms=item.hold_until_ms - item.arrived_ms,
            )
        )

    def _record_released(self, item: Waiting, waited_ms: int) -> None:
        now_ms = self._app.clock.now_ms()
        excess = self.shares.get_excess(item.claim.workspace, now_ms=now_ms)
        self._journal.record(
            RequestReleased(
                request_id=item.claim.request_id,
                service=item.claim.service,
                waited_ms=waited_ms,
                excess=round(excess, 2),
            )
        )

    def _count_waiting(self) -> Mapping[Labels, float]:
        counts: dict[Labels, float] = {}
        for queue in self._queues.values():
            for item in queue.waiting.values():
                labels = (("kind", get_kind(plain=item.claim.plain)),)
                counts[labels] = counts.get(labels, 0) + 1
        return counts

    def _dump(self) -> object:
        return {service: queue.dump() for service, queue in sorted(self._queues.items())}
