"""How many requests an upstream gets while it warms up after its start.

Answers this load: upstreams come back together, after a loss or an evacuation, and look idle to
some hundred routers, which see each other's requests late. One that warms up bears few requests a
second and crashes well above that. No router asks another one before it sends: each upstream has an
order of the routers by rendezvous hashing, only the selected of them send to it, and each of these at
its own share, so that the sum keeps within the bound whoever starts, dies or is cut off.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from typing import Final, Protocol

import xxhash
from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.directory import Entry, EntryState
from gypsumrouter.forwarding.const import CONNECT_MS
from gypsumrouter.journal import Journal, UpstreamWarming
from gypsumrouter.routing import RoutingTable, SlowStart
from gypsumrouter.util.clock import Clock

# A request may be on its way for as long as a connection takes, so that two that left further apart
# than a second may arrive within one.
WINDOW_MS: Final = MS_PER_S + CONNECT_MS
# The part of the bound that is shared out. Routers whose views of the fleet differ may send as
# much again.
BOUND_SHARE: Final = 0.5
# A router that starts sends nothing to what warms up until its view of the fleet stands still:
# with half of the fleet unknown it would take twice its share.
SETTLE_MS: Final = 1_200
# A router that hears of nobody else takes itself for the only one after this time.
NO_PEERS_MS: Final = 5_000
# An upstream that starts again within its lease goes on under its entry, which tells of the start
# up to this much later: three heartbeats until the lease ends, and one until the news are here.
UNLISTED_RESTART_MS: Final = 3_000
# Which routers come selected for an upstream is worked out again this often.
SELECTION_TTL_MS: Final = 500

REASON_LISTED: Final = "listed"
REASON_REFUSED: Final = "refused a connection"
REASON_EVACUATED: Final = "evacuation ended"
REASON_WARM: Final = "warm"


class Fleet(Protocol):
    """The routers that are known, this one not among them."""

    own: str

    def list_addresses(self) -> Collection[str]:
        """Return the addresses of all routers that may live, whether they were heard or not."""

    def get_grown_ms(self) -> int:
        """Return when a router was last heard of for the selected time."""

    def has_heard(self) -> bool:
        """Return whether any other router was ever heard."""


class SingleRouter:
    """A fleet without other routers."""

    __slots__ = ("own",)

    def __init__(self) -> None:
        self.own = ""

    def list_addresses(self) -> Collection[str]:
        """Return no other router."""
        return ()

    def get_grown_ms(self) -> int:
        """Return that nobody was ever heard of."""
        return 0

    def has_heard(self) -> bool:
        """Return that there is nobody to hear."""
        return True


class SendShare(Struct, frozen=True, kw_only=True):
    """How the requests to one upstream are shared out: so many routers send so many a window."""

    routers: int
    requests: int


class SendWindow:
    """What one router knows of its window at one upstream."""

    __slots__ = ("selected", "selected_ms", "sent_ms")

    def __init__(self) -> None:
        # Whether this router is among the selected of the upstream's order, and since when.
        self.selected = False
        self.selected_ms: int | None = None
        self.sent_ms: deque[int] = deque()


class Warming(Struct, kw_only=True):
    """An upstream that warms up; `until_ms` is when it bears as much as others."""

    entry: Entry
    until_ms: int


def split_bound(*, bound: float, routers: int) -> SendShare:
    """Return the share at which a fleet of so many routers keeps to `bound` requests a second."""
    shared = max(1, int(bound * BOUND_SHARE))
    if routers >= shared:
        return SendShare(routers=shared, requests=1)
    return SendShare(routers=routers, requests=shared // routers)


def is_selected_sender(own: str, others: Iterable[str], *, upstream: str, count: int) -> bool:
    """Return whether a router is among the selected `count` in the order of an upstream."""
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
    """Which upstreams warm up, and when this router may send something to one of them."""

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
        """Keep another bound from now on: `factor` times the published rate and `slack` more."""
        self._factor = factor
        self._slack = slack

    def set_fleet(self, fleet: Fleet) -> None:
        """Share what upstreams bear with these routers from now on."""
        self._fleet = fleet

    def count_routers(self) -> int:
        """Return how many routers share what upstreams bear."""
        return 1 + len(self._fleet.list_addresses())

    def set_table(self, table: RoutingTable) -> None:
        """Take what upstreams of each service bear."""
        self._services = {
            service.name: service.slow_start
            for service in table.configuration.services
            if service.slow_start is not None
        }

    def update_entry(self, entry: Entry) -> None:
        """Take what the list says of an upstream."""
        if entry.state is EntryState.GONE:
            self._warming.pop(entry.incarnation, None)
            self._windows.pop(entry.incarnation, None)
        elif entry.cold_ms > 0:
            self._start_warming(entry, entry.cold_ms, REASON_LISTED)

    def note_refused(self, entry: Entry) -> None:
        """Note that an upstream refused a connection: when it is back it has started again."""
        traits = self._services.get(entry.service)
        if traits is not None:
            self._start_warming(entry, traits.duration_ms + UNLISTED_RESTART_MS, REASON_REFUSED)

    def note_evacuation_ended(self, entry: Entry) -> None:
        """Note that the evacuation of an upstream's data centre ended, where it may have rested."""
        traits = self._services.get(entry.service)
        if traits is not None:
            self._start_warming(entry, traits.duration_ms, REASON_EVACUATED)

    def is_warming(self, upstream: str) -> bool:
        """Return whether an upstream bears few requests now."""
        warming = self._warming.get(upstream)
        return warming is not None and self._clock.now_ms() < warming.until_ms

    def may_send(self, upstream: str) -> bool:
        """Return whether this router may send a request to an upstream that warms up."""
        return self.get_wait_ms(upstream) == 0

    def get_wait_ms(self, upstream: str) -> int:
        """Return how long this router has to wait before it may send a request to an upstream."""
        warming = self._warming.get(upstream)
        now_ms = self._clock.now_ms()
        if warming is None or now_ms >= warming.until_ms:
            return 0
        left_ms = warming.until_ms - now_ms
        traits = self._services.get(warming.entry.service)
        if traits is None:
            return 0
        settling_ms = self._get_settling_ms(now_ms)
        if settling_ms > 0:
            return min(left_ms, settling_ms)
        others = self._fleet.list_addresses()
        bound = traits.requests_per_s * self._factor + self._slack
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
        """Note a request that goes to an upstream."""
        if self.is_warming(upstream):
            self._windows.setdefault(upstream, SendWindow()).sent_ms.append(self._clock.now_ms())

    def sweep(self) -> None:
        """Forget upstreams that are warm; call it about once a second."""
        now_ms = self._clock.now_ms()
        for upstream, warming in tuple(self._warming.items()):
            if now_ms >= warming.until_ms:
                del self._warming[upstream]
                self._windows.pop(upstream, None)
                self._record(upstream, warming=False, reason=REASON_WARM, left_ms=0)

    def _start_warming(self, entry: Entry, duration_ms: int, reason: str) -> None:
        until_ms = self._clock.now_ms() + duration_ms
        upstream = entry.incarnation
        known = self._warming.get(upstream)
        if known is None:
            self._warming[upstream] = Warming(entry=entry, until_ms=until_ms)
            self._record(upstream, warming=True, reason=reason, left_ms=duration_ms)
            return
        known.until_ms = max(known.until_ms, until_ms)

    def _get_settling_ms(self, now_ms: int) -> int:
        """Return how long this router's view of the fleet has to stand still yet."""
        since_ms = max(self._started_ms, self._fleet.get_grown_ms())
        if not self._fleet.has_heard():
            return max(0, self._started_ms + NO_PEERS_MS - now_ms)
        return max(0, since_ms + SETTLE_MS - now_ms)

    def _is_selected(
        self,
        window: SendWindow,
        upstream: str,
        others: Collection[str],
        share: SendShare,
        now_ms: int,
    ) -> bool:
        if window.selected_ms is None or now_ms - window.selected_ms >= SELECTION_TTL_MS:
            own = self._fleet.own
            window.selected = is_selected_sender(
                own, others, upstream=upstream, count=share.routers
            )
            window.selected_ms = now_ms
        return window.selected

    def _record(self, upstream: str, *, warming: bool, reason: str, left_ms: int) -> None:
        self._journal.record(
            UpstreamWarming(upstream=upstream, warming=warming, reason=reason, left_ms=left_ms)
        )
