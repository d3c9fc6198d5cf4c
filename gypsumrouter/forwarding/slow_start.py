"""How many requests an upstream gets while it warms up after its start.

Answers this load: upstreams come back together, after a loss or an evacuation, and look idle to
some hundred routers, which see each other's requests late. One that warms up bears few requests a
second and crashes well above that. No router asks another one before it sends: each upstream has an
order of the routers by rendezvous hashing, only the first of them send to it, and each of these at
its own pace, so that the sum keeps within the bound whoever starts, dies or is cut off.
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
SHARED_OUT: Final = 0.5
# A router that starts sends nothing to what warms up until its view of the fleet stands still:
# with half of the fleet unknown it would take twice its share.
SETTLE_MS: Final = 1_200
# A router that hears of nobody else takes itself for the only one after this time.
ALONE_MS: Final = 5_000
# An upstream that starts again within its lease goes on under its entry, which tells of the start
# up to this much later: three heartbeats until the lease ends, and one until the news are here.
UNTOLD_MS: Final = 3_000
# Which routers come first for an upstream is worked out again this often.
RANK_MS: Final = 500

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
        """Return when a router was last heard of for the first time."""

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


class Pace(Struct, frozen=True, kw_only=True):
    """How the requests to one upstream are shared out: so many routers send so many a window."""

    routers: int
    requests: int


class Turns:
    """What one router knows of its turns at one upstream."""

    __slots__ = ("first", "ranked_ms", "sent_ms")

    def __init__(self) -> None:
        # Whether this router is among the first of the upstream's order, and since when.
        self.first = False
        self.ranked_ms: int | None = None
        self.sent_ms: deque[int] = deque()


class Warming(Struct, kw_only=True):
    """An upstream that warms up; `until_ms` is when it bears as much as others."""

    entry: Entry
    until_ms: int


def share_out(*, bound: float, routers: int) -> Pace:
    """Return the pace at which a fleet of so many routers keeps to `bound` requests a second."""
    shared = max(1, int(bound * SHARED_OUT))
    if routers >= shared:
        return Pace(routers=shared, requests=1)
    return Pace(routers=routers, requests=shared // routers)


def is_among_first(own: str, others: Iterable[str], *, upstream: str, count: int) -> bool:
    """Return whether a router is among the first `count` in the order of an upstream."""
    seed = xxhash.xxh3_64_intdigest(upstream.encode())
    key = xxhash.xxh3_64_intdigest(own.encode(), seed)
    before = 0
    for other in others:
        if other != own and xxhash.xxh3_64_intdigest(other.encode(), seed) < key:
            before += 1
            if before >= count:
                return False
    return True


class SlowStartBook:
    """Which upstreams warm up, and when this router may send something to one of them."""

    __slots__ = (
        "_clock",
        "_factor",
        "_fleet",
        "_journal",
        "_services",
        "_slack",
        "_started_ms",
        "_turns",
        "_warming",
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
        self._turns: dict[str, Turns] = {}

    def take_bound(self, *, factor: float, slack: float) -> None:
        """Keep another bound from now on: `factor` times the published rate and `slack` more."""
        self._factor = factor
        self._slack = slack

    def take_fleet(self, fleet: Fleet) -> None:
        """Share what upstreams bear with these routers from now on."""
        self._fleet = fleet

    def count_routers(self) -> int:
        """Return how many routers share what upstreams bear."""
        return 1 + len(self._fleet.list_addresses())

    def take_table(self, table: RoutingTable) -> None:
        """Take what upstreams of each service bear."""
        self._services = {
            service.name: service.slow_start
            for service in table.configuration.services
            if service.slow_start is not None
        }

    def take_entry(self, entry: Entry) -> None:
        """Take what the list says of an upstream."""
        if entry.state is EntryState.GONE:
            self._warming.pop(entry.incarnation, None)
            self._turns.pop(entry.incarnation, None)
        elif entry.warm_up_ms > 0:
            self._note(entry, entry.warm_up_ms, REASON_LISTED)

    def note_refused(self, entry: Entry) -> None:
        """Note that an upstream refused a connection: when it is back it has started again."""
        traits = self._services.get(entry.service)
        if traits is not None:
            self._note(entry, traits.duration_ms + UNTOLD_MS, REASON_REFUSED)

    def note_reopened(self, entry: Entry) -> None:
        """Note that the evacuation of an upstream's data centre ended, where it may have rested."""
        traits = self._services.get(entry.service)
        if traits is not None:
            self._note(entry, traits.duration_ms, REASON_EVACUATED)

    def is_warming(self, upstream: str) -> bool:
        """Return whether an upstream bears few requests now."""
        warming = self._warming.get(upstream)
        return warming is not None and self._clock.now_ms() < warming.until_ms

    def has_turn(self, upstream: str) -> bool:
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
        unsettled_ms = self._get_unsettled_ms(now_ms)
        if unsettled_ms > 0:
            return min(left_ms, unsettled_ms)
        others = self._fleet.list_addresses()
        bound = traits.requests_per_s * self._factor + self._slack
        pace = share_out(bound=bound, routers=1 + len(others))
        turns = self._turns.setdefault(upstream, Turns())
        if not self._is_first(turns, upstream, others, pace, now_ms):
            return left_ms
        while turns.sent_ms and now_ms - turns.sent_ms[0] >= WINDOW_MS:
            turns.sent_ms.popleft()
        if len(turns.sent_ms) < pace.requests:
            return 0
        return min(left_ms, turns.sent_ms[-pace.requests] + WINDOW_MS - now_ms)

    def note_sent(self, upstream: str) -> None:
        """Note a request that goes to an upstream."""
        if self.is_warming(upstream):
            self._turns.setdefault(upstream, Turns()).sent_ms.append(self._clock.now_ms())

    def sweep(self) -> None:
        """Forget upstreams that are warm; call it about once a second."""
        now_ms = self._clock.now_ms()
        for upstream, warming in tuple(self._warming.items()):
            if now_ms >= warming.until_ms:
                del self._warming[upstream]
                self._turns.pop(upstream, None)
                self._tell(upstream, warming=False, reason=REASON_WARM, left_ms=0)

    def _note(self, entry: Entry, duration_ms: int, reason: str) -> None:
        until_ms = self._clock.now_ms() + duration_ms
        upstream = entry.incarnation
        known = self._warming.get(upstream)
        if known is None:
            self._warming[upstream] = Warming(entry=entry, until_ms=until_ms)
            self._tell(upstream, warming=True, reason=reason, left_ms=duration_ms)
            return
        known.until_ms = max(known.until_ms, until_ms)

    def _get_unsettled_ms(self, now_ms: int) -> int:
        """Return how long this router's view of the fleet has to stand still yet."""
        since_ms = max(self._started_ms, self._fleet.get_grown_ms())
        if not self._fleet.has_heard():
            return max(0, self._started_ms + ALONE_MS - now_ms)
        return max(0, since_ms + SETTLE_MS - now_ms)

    def _is_first(
        self, turns: Turns, upstream: str, others: Collection[str], pace: Pace, now_ms: int
    ) -> bool:
        if turns.ranked_ms is None or now_ms - turns.ranked_ms >= RANK_MS:
            own = self._fleet.own
            turns.first = is_among_first(own, others, upstream=upstream, count=pace.routers)
            turns.ranked_ms = now_ms
        return turns.first

    def _tell(self, upstream: str, *, warming: bool, reason: str, left_ms: int) -> None:
        self._journal.record(
            UpstreamWarming(upstream=upstream, warming=warming, reason=reason, left_ms=left_ms)
        )
