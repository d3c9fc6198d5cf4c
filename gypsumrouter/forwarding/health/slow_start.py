"""Slow start: bounds the requests per second that the fleet sends to an upstream that warms up.

Upstreams that restart together look idle to all routers at once, and crash if the warm-up rate is
far exceeded. Routers keep the bound without communication: for each upstream they are ranked by
rendezvous hashing, and only the first of them send to it, each its share of the bound.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from typing import Final, Protocol

import xxhash
from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.directory import Entry, EntryState
from gypsumrouter.forwarding.const import CONNECT_TIMEOUT_MS
from gypsumrouter.journal import Journal, UpstreamWarming
from gypsumrouter.routing import RoutingTable, SlowStart
from gypsumrouter.util.clock import Clock

# Length of the rate window. It exceeds a second by the connection timeout, so that requests with
# different connection times still keep the bound in each second of arrival.
WINDOW_MS: Final = MS_PER_S + CONNECT_TIMEOUT_MS
# Share of the bound that is divided among the routers. The remainder allows for routers whose views
# of the fleet differ.
BOUND_SHARE: Final = 0.5
# A router sends nothing to warming upstreams until its view of the fleet has not grown for this
# long: with an incomplete view its share would be too large.
SETTLE_MS: Final = 1_200
# A router that has received nothing from other routers assumes after this time that it is alone.
NO_PEERS_MS: Final = 5_000
# Added to the warm-up of an upstream that refused a connection: if it restarted within its lease,
# the directory shows the restart up to this much later.
UNLISTED_RESTART_MS: Final = 3_000
# The ranking of routers for an upstream is computed again after this time.
SELECTION_TTL_MS: Final = 500

REASON_LISTED: Final = "listed"
REASON_REFUSED: Final = "refused a connection"
REASON_EVACUATED: Final = "evacuation ended"
REASON_WARM: Final = "warm"


class Fleet(Protocol):
    """This router's view of the other routers."""

    own_address: str

    def list_addresses(self) -> Collection[str]:
        """Return the addresses of all other routers that may be running, reachable or not."""

    def get_last_added_ms(self) -> int:
        """Return when a router was last added to the view."""

    def has_received_update(self) -> bool:
        """Return whether a message of another router was ever received."""


class SingleRouter:
    """The view of a router that is the only one."""

    __slots__ = ("own_address",)

    def __init__(self) -> None:
        self.own_address = ""

    def list_addresses(self) -> Collection[str]:
        """Return an empty collection."""
        return ()

    def get_last_added_ms(self) -> int:
        """Return 0: no router was ever added."""
        return 0

    def has_received_update(self) -> bool:
        """Return True: there is no other router to wait for."""
        return True


class RateShare(Struct, frozen=True, kw_only=True):
    """The division of the bound: `routers` routers each send `requests` requests per window."""

    routers: int
    requests: int


class SendWindow:
    """The requests that this router sent to a warming upstream within the rate window."""

    __slots__ = ("selected", "selected_ms", "sent_ms")

    def __init__(self) -> None:
        # Whether this router is among those selected to send, and when that was computed.
        self.selected = False
        self.selected_ms: int | None = None
        self.sent_ms: deque[int] = deque()


class Warming(Struct, kw_only=True):
    """An upstream that is warming up until `until_ms`."""

    entry: Entry
    until_ms: int


def split_bound(*, bound: float, routers: int) -> RateShare:
    """Divide a bound in requests per second among a fleet of `routers` routers."""
    shared = max(1, int(bound * BOUND_SHARE))
    if routers >= shared:
        return RateShare(routers=shared, requests=1)
    return RateShare(routers=routers, requests=shared // routers)


def is_selected_sender(own: str, others: Iterable[str], *, upstream: str, count: int) -> bool:
    """Return whether a router is among the first `count` in the rendezvous order of an upstream."""
    seed = xxhash.xxh3_64_intdigest(upstream.encode())
    key = xxhash.xxh3_64_intdigest(own.encode(), seed)
    before = 0
    for other in others:
        if other != own and xxhash.xxh3_64_intdigest(other.encode(), seed) < key:
            before += 1
            if before >= count:
                return False
    return True


class SlowStartLimiter:
    """Tracks the upstreams that warm up, and when this router may send a request to them."""

    __slots__ = (
        "_clock",
        "_factor",
        "_fleet",
        "_journal",
        "_services",
        "_slack",
        "_started_ms",
        "_warming",
        "_windows",
    )

    def __init__(
        self, *, clock: Clock, journal: Journal, factor: float = 1.5, slack: float = 5.0
    ) -> None:
        self._clock = clock
        self._journal = journal
        self._factor = factor
        self._slack = slack
        self._fleet: Fleet = SingleRouter()
        self._started_ms = clock.now_ms()
        self._services: dict[str, SlowStart] = {}
        self._warming: dict[str, Warming] = {}
        self._windows: dict[str, SendWindow] = {}

    def set_bound(self, *, factor: float, slack: float) -> None:
        """Set the bound: `factor` times the configured warm-up rate, plus `slack`."""
        self._factor = factor
        self._slack = slack

    def set_fleet(self, fleet: Fleet) -> None:
        """Set the view of the routers among which the bound is divided."""
        self._fleet = fleet

    def count_routers(self) -> int:
        """Return the number of routers in the fleet, including this one."""
        return 1 + len(self._fleet.list_addresses())

    def get_rank(self) -> int:
        """Return the rank of this router in the fleet, from 0."""
        own = self._fleet.own_address
        return sum(address < own for address in self._fleet.list_addresses())

    def set_table(self, table: RoutingTable) -> None:
        """Read the slow-start settings of the services from the routing table."""
        self._services = {
            service.name: service.slow_start
            for service in table.configuration.services
            if service.slow_start is not None
        }

    def update_entry(self, entry: Entry) -> None:
        """Update an upstream from its directory entry."""
        if entry.state is EntryState.GONE:
            self._warming.pop(entry.incarnation, None)
            self._windows.pop(entry.incarnation, None)
        elif entry.warm_up_ms > 0:
            self._start_warming(entry, entry.warm_up_ms, REASON_LISTED)

    def note_refused(self, entry: Entry) -> None:
        """Treat an upstream that refused a connection as restarting."""
        settings = self._services.get(entry.service)
        if settings is not None:
            self._start_warming(entry, settings.duration_ms + UNLISTED_RESTART_MS, REASON_REFUSED)

    def note_evacuation_ended(self, entry: Entry) -> None:
        """Treat an upstream as warming up after the evacuation of its data centre ended."""
        settings = self._services.get(entry.service)
        if settings is not None:
            self._start_warming(entry, settings.duration_ms, REASON_EVACUATED)

    def is_warming(self, upstream: str) -> bool:
        """Return whether an upstream is warming up."""
        warming = self._warming.get(upstream)
        return warming is not None and self._clock.now_ms() < warming.until_ms

    def may_send(self, upstream: str) -> bool:
        """Return whether this router may send a request to an upstream now."""
        return self.get_wait_ms(upstream) == 0

    def get_wait_ms(self, upstream: str) -> int:
        """Return how long to wait before sending a request to an upstream; 0 if allowed now."""
        warming = self._warming.get(upstream)
        now_ms = self._clock.now_ms()
        if warming is None or now_ms >= warming.until_ms:
            return 0
        left_ms = warming.until_ms - now_ms
        settings = self._services.get(warming.entry.service)
        if settings is None:
            return 0
        settling_ms = self._get_settling_ms(now_ms)
        if settling_ms > 0:
            return min(left_ms, settling_ms)
        others = self._fleet.list_addresses()
        bound = settings.requests_per_s * self._factor + self._slack
        share = split_bound(bound=bound, routers=1 + len(others))
        window = self._windows.setdefault(upstream, SendWindow())
        if not self._is_selected(window, upstream, others, share, now_ms):
            return left_ms
        while window.sent_ms and now_ms - window.sent_ms[0] >= WINDOW_MS:
            window.sent_ms.popleft()
        if len(window.sent_ms) < share.requests:
            return 0
        return min(left_ms, window.sent_ms[-share.requests] + WINDOW_MS - now_ms)

    def note_sent(self, upstream: str) -> None:
        """Record a request that is sent to an upstream."""
        if self.is_warming(upstream):
            self._windows.setdefault(upstream, SendWindow()).sent_ms.append(self._clock.now_ms())

    def sweep(self) -> None:
        """Drop upstreams whose warm-up has ended; call this about once a second."""
        now_ms = self._clock.now_ms()
        for upstream, warming in tuple(self._warming.items()):
            if now_ms >= warming.until_ms:
                del self._warming[upstream]
                self._windows.pop(upstream, None)
                self._record_change(upstream, warming=False, reason=REASON_WARM, left_ms=0)

    def _start_warming(self, entry: Entry, duration_ms: int, reason: str) -> None:
        until_ms = self._clock.now_ms() + duration_ms
        upstream = entry.incarnation
        known = self._warming.get(upstream)
        if known is None:
            self._warming[upstream] = Warming(entry=entry, until_ms=until_ms)
            self._record_change(upstream, warming=True, reason=reason, left_ms=duration_ms)
            return
        known.until_ms = max(known.until_ms, until_ms)

    def _get_settling_ms(self, now_ms: int) -> int:
        """Return how long the view of the fleet must still stay unchanged before sending."""
        since_ms = max(self._started_ms, self._fleet.get_last_added_ms())
        if not self._fleet.has_received_update():
            return max(0, self._started_ms + NO_PEERS_MS - now_ms)
        return max(0, since_ms + SETTLE_MS - now_ms)

    def _is_selected(
        self,
        window: SendWindow,
        upstream: str,
        others: Collection[str],
        share: RateShare,
        now_ms: int,
    ) -> bool:
        if window.selected_ms is None or now_ms - window.selected_ms >= SELECTION_TTL_MS:
            own = self._fleet.own_address
            window.selected = is_selected_sender(
                own, others, upstream=upstream, count=share.routers
            )
            window.selected_ms = now_ms
        return window.selected

    def _record_change(self, upstream: str, *, warming: bool, reason: str, left_ms: int) -> None:
        self._journal.record(
            UpstreamWarming(upstream=upstream, warming=warming, reason=reason, left_ms=left_ms)
        )
