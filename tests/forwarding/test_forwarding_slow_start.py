"""Slow start: all routers together keep to the bound of a warming upstream in any second."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Entry, EntryState
from gypsumrouter.forwarding.health.slow_start import (
    NO_PEERS_MS,
    SETTLE_MS,
    UNLISTED_RESTART_MS,
    WINDOW_MS,
    SlowStartLimiter,
    split_bound,
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
SETTINGS = SlowStart(duration_ms=3_000, requests_per_s=PER_S)


class Routers:
    """A router's view of the other routers."""

    def __init__(self, own: str, others: Iterable[str] = (), *, heard: bool = True) -> None:
        self.own_address = own
        self.others = tuple(others)
        self.grown_ms = 0
        self.heard = heard

    def list_addresses(self) -> Collection[str]:
        """Return the other routers."""
        return self.others

    def get_last_added_ms(self) -> int:
        """Return when the last one was added."""
        return self.grown_ms

    def has_received_update(self) -> bool:
        """Return whether a message of another router was received."""
        return self.heard


def make_table(settings: SlowStart | None = SETTINGS) -> RoutingTable:
    service = Service(name="models", max_connections=10, slow_start=settings)
    configuration = RoutingConfiguration(
        version=1,
        routes=(),
        services=(service,),
        workspaces=(),
        limits=CallerLimits(),
        document=b"",
    )
    return RoutingTable(configuration=configuration)


def make_limiter(clock: ManualClock, fleet: Routers | None = None) -> SlowStartLimiter:
    app = Application(name="entry-1", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
    limiter = SlowStartLimiter(clock=clock, journal=Journal(app=app), factor=FACTOR, slack=SLACK)
    limiter.set_table(make_table())
    if fleet is not None:
        limiter.set_fleet(fleet)
    return limiter


def make_entry(name: str = "i-1", *, cold_ms: int = 0) -> Entry:
    return Entry(
        upstream=name,
        state=EntryState.READY,
        service="models",
        address=Address(host="127.0.0.1", port=80),
        data_centre="dc-a",
        warm_up_ms=cold_ms,
    )


def test_upstream_is_warm_after_the_announced_time() -> None:
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.update_entry(make_entry(cold_ms=2_000))
    assert limiter.is_warming("i-1")
    clock.advance(1_999)
    assert limiter.is_warming("i-1")
    clock.advance(1)
    assert not limiter.is_warming("i-1")
    assert limiter.may_send("i-1")


def test_warm_up_starts_after_a_refusal_and_after_an_evacuation() -> None:
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.note_refused(make_entry("i-1"))
    limiter.note_evacuation_ended(make_entry("i-2"))
    assert limiter.is_warming("i-1")
    assert limiter.is_warming("i-2")
    clock.advance(SETTINGS.duration_ms)
    assert limiter.is_warming("i-1")
    assert not limiter.is_warming("i-2")
    clock.advance(UNLISTED_RESTART_MS)
    assert not limiter.is_warming("i-1")


def test_upstreams_of_a_service_without_slow_start_never_warm_up() -> None:
    limiter = make_limiter(ManualClock())
    limiter.set_table(make_table(None))
    limiter.note_refused(make_entry("i-1"))
    limiter.note_evacuation_ended(make_entry("i-1"))
    assert not limiter.is_warming("i-1")


def test_starting_router_sends_nothing_until_its_view_is_settled() -> None:
    clock = ManualClock(now_ms=1_000)
    fleet = Routers("r0", ("r1", "r2"))
    limiter = make_limiter(clock, fleet)
    limiter.update_entry(make_entry(cold_ms=60_000))
    clock.advance(SETTLE_MS - 1)
    assert not limiter.may_send("i-1")
    fleet.grown_ms = clock.now_ms()
    clock.advance(SETTLE_MS - 1)
    assert not limiter.may_send("i-1")
    clock.advance(1)
    assert limiter.may_send("i-1")


def test_router_without_messages_from_others_waits_longer() -> None:
    clock = ManualClock(now_ms=1_000)
    limiter = make_limiter(clock, Routers("r0", ("r1",), heard=False))
    limiter.update_entry(make_entry(cold_ms=60_000))
    clock.advance(NO_PEERS_MS - 1)
    assert not limiter.may_send("i-1")
    assert limiter.get_wait_ms("i-1") == 1
    clock.advance(1)
    assert limiter.may_send("i-1")


def test_wait_time_ends_when_the_next_request_is_allowed() -> None:
    clock = ManualClock()
    limiter = make_limiter(clock)
    limiter.update_entry(make_entry(cold_ms=60_000))
    clock.advance(SETTLE_MS)
    sent = 0
    while limiter.may_send("i-1"):
        limiter.note_sent("i-1")
        sent += 1
    assert sent == int(BOUND / 2)
    clock.advance(200)
    assert limiter.get_wait_ms("i-1") == WINDOW_MS - 200
    clock.advance(WINDOW_MS - 200)
    assert limiter.may_send("i-1")


@pytest.mark.parametrize("routers", [1, 2, 5, 11, 26, 68, 330, 1_000])
def test_shares_sum_to_at_most_half_of_the_bound_and_at_least_one(routers: int) -> None:
    share = split_bound(bound=BOUND, routers=routers)
    assert 1 <= share.routers <= routers
    assert 1 <= share.routers * share.requests <= BOUND / 2


class WarmingFleet:
    """Simulation of routers that send to a warming upstream whenever their limiter allows it.

    Each router's view lacks some of the others and includes one that no longer exists. A third of
    the routers restart halfway.
    """

    def __init__(self, *, size: int, unknown: float, seed: int, naive: bool = False) -> None:
        self._random = random.Random(seed)
        self._clock = ManualClock(now_ms=1_000_000)
        self._naive = naive
        self._names = [f"10.0.{number // 100}.{number % 100}:80" for number in range(size)]
        # Number of routers that are missing from each view.
        self._unknown = int(unknown * min(size, BOUND / 2))
        self._limiters = [self._make_limiter(name) for name in self._names]
        self._sent_ms: list[int] = []

    def play(self) -> int:
        """Return the maximum number of requests that arrived within any second."""
        self._clock.advance(SETTLE_MS)
        restarts = dict.fromkeys(
            self._random.sample(range(len(self._names)), len(self._names) // 3)
        )
        for limiter in self._limiters:
            limiter.update_entry(make_entry(cold_ms=COLD_MS))
        for now_ms in range(0, COLD_MS, STEP_MS):
            for number, limiter in enumerate(self._limiters):
                if number in restarts and now_ms == COLD_MS // 2:
                    self._limiters[number] = limiter = self._make_limiter(self._names[number])
                    limiter.update_entry(make_entry(cold_ms=COLD_MS))
                self._send(limiter)
            self._clock.advance(STEP_MS)
        return self._count_densest()

    def _send(self, limiter: SlowStartLimiter) -> None:
        while self._naive or limiter.may_send("i-1"):
            limiter.note_sent("i-1")
            # A new connection takes up to 200 ms; a pooled one is used at once.
            self._sent_ms.append(self._clock.now_ms() + self._random.randint(0, 200))
            if self._naive:
                return

    def _make_limiter(self, own: str) -> SlowStartLimiter:
        unknown = set(self._random.sample(self._names, self._unknown))
        others = [name for name in self._names if name != own and name not in unknown]
        fleet = Routers(own, (*others, "10.9.9.9:80"))
        fleet.grown_ms = self._clock.now_ms()
        return make_limiter(self._clock, fleet)

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


def test_simulation_exceeds_the_bound_without_the_limiter() -> None:
    assert WarmingFleet(size=26, unknown=0, seed=1, naive=True).play() > BOUND
