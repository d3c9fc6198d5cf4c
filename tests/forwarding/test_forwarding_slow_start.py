"""Upstreams that warm up: what all routers together send to one of them in any second."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Entry, EntryState
from gypsumrouter.forwarding.slow_start import (
    ALONE_MS,
    SETTLE_MS,
    UNTOLD_MS,
    WINDOW_MS,
    SlowStartBook,
    share_out,
)
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.routing import (
    CallerLimits,
    RoutingConfiguration,
    RoutingTable,
    Service,
    SlowStart,
)
from gypsumrouter.util.clock import ManualClock

FACTOR, SLACK, PER_S = 1.5, 5.0, 13.0
BOUND = PER_S * FACTOR + SLACK
COLD_MS = 6_000
STEP_MS = 20
TRAITS = SlowStart(duration_ms=3_000, requests_per_s=PER_S)


class Routers:
    """What one router knows of the others."""

    def __init__(self, own: str, others: Iterable[str] = (), *, heard: bool = True) -> None:
        self.own = own
        self.others = tuple(others)
        self.grown_ms = 0
        self.heard = heard

    def list_addresses(self) -> Collection[str]:
        """Return the other routers."""
        return self.others

    def get_grown_ms(self) -> int:
        """Return when the last one was learned."""
        return self.grown_ms

    def has_heard(self) -> bool:
        """Return whether anybody was heard."""
        return self.heard


def make_table(traits: SlowStart | None = TRAITS) -> RoutingTable:
    service = Service(name="models", max_connections=10, slow_start=traits)
    configuration = RoutingConfiguration(
        version=1,
        routes=(),
        services=(service,),
        workspaces=(),
        limits=CallerLimits(),
        document=b"",
    )
    return RoutingTable(configuration=configuration)


def make_book(clock: ManualClock, fleet: Routers | None = None) -> SlowStartBook:
    app = Application(name="entry-1", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
    book = SlowStartBook(clock=clock, journal=Journal(app=app), factor=FACTOR, slack=SLACK)
    book.take_table(make_table())
    if fleet is not None:
        book.take_fleet(fleet)
    return book


def make_entry(name: str = "i-1", *, cold_ms: int = 0) -> Entry:
    return Entry(
        upstream=name,
        state=EntryState.READY,
        service="models",
        address=Address(host="127.0.0.1", port=80),
        data_centre="dc-a",
        warm_up_ms=cold_ms,
    )


def test_an_upstream_is_warm_once_the_time_that_it_told_is_over() -> None:
    clock = ManualClock()
    book = make_book(clock)
    book.take_entry(make_entry(cold_ms=2_000))
    assert book.is_warming("i-1")
    clock.advance(1_999)
    assert book.is_warming("i-1")
    clock.advance(1)
    assert not book.is_warming("i-1")
    assert book.has_turn("i-1")


def test_a_start_that_is_not_told_yet_is_known_by_refusals_and_by_the_end_of_an_evacuation() -> (
    None
):
    clock = ManualClock()
    book = make_book(clock)
    book.note_refused(make_entry("i-1"))
    book.note_reopened(make_entry("i-2"))
    assert book.is_warming("i-1")
    assert book.is_warming("i-2")
    clock.advance(TRAITS.duration_ms)
    assert book.is_warming("i-1")
    assert not book.is_warming("i-2")
    clock.advance(UNTOLD_MS)
    assert not book.is_warming("i-1")


def test_upstreams_of_a_service_that_needs_no_time_are_never_warming() -> None:
    book = make_book(ManualClock())
    book.take_table(make_table(None))
    book.note_refused(make_entry("i-1"))
    book.note_reopened(make_entry("i-1"))
    assert not book.is_warming("i-1")


def test_a_router_that_starts_sends_nothing_until_its_view_stands_still() -> None:
    clock = ManualClock(now_ms=1_000)
    fleet = Routers("r0", ("r1", "r2"))
    book = make_book(clock, fleet)
    book.take_entry(make_entry(cold_ms=60_000))
    clock.advance(SETTLE_MS - 1)
    assert not book.has_turn("i-1")
    fleet.grown_ms = clock.now_ms()
    clock.advance(SETTLE_MS - 1)
    assert not book.has_turn("i-1")
    clock.advance(1)
    assert book.has_turn("i-1")


def test_a_router_that_hears_of_nobody_waits_longer() -> None:
    clock = ManualClock(now_ms=1_000)
    book = make_book(clock, Routers("r0", ("r1",), heard=False))
    book.take_entry(make_entry(cold_ms=60_000))
    clock.advance(ALONE_MS - 1)
    assert not book.has_turn("i-1")
    assert book.get_wait_ms("i-1") == 1
    clock.advance(1)
    assert book.has_turn("i-1")


def test_the_wait_says_when_the_next_turn_is() -> None:
    clock = ManualClock()
    book = make_book(clock)
    book.take_entry(make_entry(cold_ms=60_000))
    clock.advance(SETTLE_MS)
    sent = 0
    while book.has_turn("i-1"):
        book.note_sent("i-1")
        sent += 1
    assert sent == int(BOUND / 2)
    clock.advance(200)
    assert book.get_wait_ms("i-1") == WINDOW_MS - 200
    clock.advance(WINDOW_MS - 200)
    assert book.has_turn("i-1")


@pytest.mark.parametrize("routers", [1, 2, 5, 11, 26, 68, 330, 1_000])
def test_what_is_shared_out_is_half_of_the_bound_at_most_and_never_nothing(routers: int) -> None:
    pace = share_out(bound=BOUND, routers=routers)
    assert 1 <= pace.routers <= routers
    assert 1 <= pace.routers * pace.requests <= BOUND / 2


class WarmingFleet:
    """Routers that each send to an upstream that warms up whenever they believe it is their turn.

    Each one knows a part of the others, and some that are long gone. Some start in the middle.
    """

    def __init__(self, *, size: int, unknown: float, seed: int, naive: bool = False) -> None:
        self._random = random.Random(seed)
        self._clock = ManualClock(now_ms=1_000_000)
        self._naive = naive
        self._names = [f"10.0.{number // 100}.{number % 100}:80" for number in range(size)]
        # Views differ by so many routers at most.
        self._unknown = int(unknown * min(size, BOUND / 2))
        self._books = [self._make_book(name) for name in self._names]
        self._sent_ms: list[int] = []

    def play(self) -> int:
        """Return the most requests that arrived within a second."""
        self._clock.advance(SETTLE_MS)
        restarts = dict.fromkeys(
            self._random.sample(range(len(self._names)), len(self._names) // 3)
        )
        for book in self._books:
            book.take_entry(make_entry(cold_ms=COLD_MS))
        for now_ms in range(0, COLD_MS, STEP_MS):
            for number, book in enumerate(self._books):
                if number in restarts and now_ms == COLD_MS // 2:
                    self._books[number] = book = self._make_book(self._names[number])
                    book.take_entry(make_entry(cold_ms=COLD_MS))
                self._send(book)
            self._clock.advance(STEP_MS)
        return self._count_densest()

    def _send(self, book: SlowStartBook) -> None:
        while self._naive or book.has_turn("i-1"):
            book.note_sent("i-1")
            # A connection takes up to 200 ms, and a request may leave on a kept one at once.
            self._sent_ms.append(self._clock.now_ms() + self._random.randint(0, 200))
            if self._naive:
                return

    def _make_book(self, own: str) -> SlowStartBook:
        unknown = set(self._random.sample(self._names, self._unknown))
        others = [name for name in self._names if name != own and name not in unknown]
        fleet = Routers(own, (*others, "10.9.9.9:80"))
        fleet.grown_ms = self._clock.now_ms()
        return make_book(self._clock, fleet)

    def _count_densest(self) -> int:
        times = sorted(self._sent_ms)
        most, first = 0, 0
        for last, time_ms in enumerate(times):
            while time_ms - times[first] >= MS_PER_S:
                first += 1
            most = max(most, last - first + 1)
        return most


@pytest.mark.parametrize("size", [1, 5, 26, 68, 330])
@settings(max_examples=8, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), unknown=st.sampled_from([0.0, 0.3, 0.6]))
def test_all_routers_together_keep_to_the_bound_in_any_second(
    size: int, seed: int, unknown: float
) -> None:
    most = WarmingFleet(size=size, unknown=unknown, seed=seed).play()
    assert 0 < most <= BOUND


def test_routers_that_each_send_what_they_like_do_not() -> None:
    assert WarmingFleet(size=26, unknown=0, seed=1, naive=True).play() > BOUND
