"""Retry budget: the bound on the retries of all routers together."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumrouter.forwarding.budget import FLEET_SIZE_HOLD_MS, SAFETY_FACTOR, RetryBudget
from gypsumrouter.util.clock import ManualClock

RATIO = 0.2
SLACK = 50.0
WINDOW_MS = 10_000


class BudgetFleet:
    """Routers that share a retry budget, and the times of all requests and granted retries."""

    def __init__(self, *, routers: int, first_start: bool = True) -> None:
        self.clock = ManualClock()
        self.requests_ms: list[int] = []
        self.retries_ms: list[int] = []
        self._routers = routers
        self.budgets = [self._make_budget(first_start=first_start) for _ in range(routers)]

    def _make_budget(self, *, first_start: bool) -> RetryBudget:
        budget = RetryBudget(
            clock=self.clock,
            ratio=RATIO,
            slack=SLACK,
            window_ms=WINDOW_MS,
            first_start=first_start,
        )
        budget.set_routers(self._routers)
        return budget

    def restart(self, router: int) -> None:
        """Replace the process of a router by a new one."""
        self.budgets[router] = self._make_budget(first_start=False)

    def send(self, router: int, *, retries: int) -> None:
        """Send a request through a router and try to retry it."""
        self.requests_ms.append(self.clock.now_ms())
        self.budgets[router].note_request("records")
        for _ in range(retries):
            if self.budgets[router].try_acquire("records"):
                self.retries_ms.append(self.clock.now_ms())

    def drain(self, router: int) -> int:
        """Retry as often as a router allows; return how often that was."""
        before = len(self.retries_ms)
        while self.budgets[router].try_acquire("records"):
            self.retries_ms.append(self.clock.now_ms())
        return len(self.retries_ms) - before

    def get_excess(self) -> float:
        """Return by how much the retries of the worst window exceed the bound, or less than 0."""
        return max(
            (self._get_window_excess(start_ms) for start_ms in self.retries_ms), default=-SLACK
        )

    def _get_window_excess(self, start_ms: int) -> float:
        retries = sum(start_ms <= at_ms < start_ms + WINDOW_MS for at_ms in self.retries_ms)
        requests = sum(start_ms <= at_ms < start_ms + WINDOW_MS for at_ms in self.requests_ms)
        return retries - RATIO * requests - SLACK


def send_failing_requests(fleet: BudgetFleet, *, duration_ms: int) -> None:
    """Send 50 requests a second through the routers in turn, each retried twice."""
    for number in range(duration_ms // 20):
        fleet.send(number % len(fleet.budgets), retries=2)
        fleet.clock.advance(20)


def test_retries_stay_within_the_budget_when_all_routers_are_killed_twice() -> None:
    fleet = BudgetFleet(routers=3)
    fleet.clock.advance(WINDOW_MS)
    for _ in range(500):
        fleet.send(len(fleet.requests_ms) % 3, retries=0)
        fleet.clock.advance(20)
    for _ in range(3):
        send_failing_requests(fleet, duration_ms=2_500)
        for router in range(3):
            fleet.restart(router)
    assert fleet.get_excess() <= 0


def test_retries_stay_within_the_budget_when_callers_move_to_other_routers() -> None:
    fleet = BudgetFleet(routers=2)
    for _ in range(500):
        fleet.send(0, retries=0)
        fleet.clock.advance(20)
    for _ in range(100):
        fleet.send(0, retries=2)
    for _ in range(490):
        fleet.clock.advance(20)
        fleet.send(1, retries=2)
    assert fleet.get_excess() <= 0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    steps=st.lists(
        st.one_of(
            st.tuples(st.just("send"), st.integers(0, 2), st.integers(0, 3)),
            st.tuples(st.just("wait"), st.sampled_from((1, 50, 900, 5_000)), st.just(0)),
            st.tuples(st.just("drain"), st.integers(0, 2), st.just(0)),
            st.tuples(st.just("restart"), st.integers(0, 2), st.just(0)),
        ),
        max_size=200,
    ),
    first_start=st.booleans(),
)
def test_retries_stay_within_the_budget_for_any_restarts_and_moves(
    steps: list[tuple[str, int, int]], first_start: bool
) -> None:
    fleet = BudgetFleet(routers=3, first_start=first_start)
    for step, value, retries in steps:
        match step:
            case "send":
                fleet.send(value, retries=retries)
            case "wait":
                fleet.clock.advance(value)
            case "drain":
                fleet.drain(value)
            case "restart":
                fleet.restart(value)
    assert fleet.get_excess() <= 0


def test_router_that_loses_sight_of_the_others_keeps_its_share() -> None:
    fleet = BudgetFleet(routers=3)
    fleet.clock.advance(WINDOW_MS)
    for budget in fleet.budgets:
        budget.set_routers(1)
    assert sum(fleet.drain(router) for router in range(3)) <= SLACK
    fleet.clock.advance(FLEET_SIZE_HOLD_MS)
    fleet.budgets[0].set_routers(1)
    assert fleet.drain(0) > SAFETY_FACTOR * SLACK / 3


def test_retry_budget_limits_retries_when_all_requests_fail() -> None:
    """All requests of three routers fail for a window; the routers use most of the budget."""
    fleet = BudgetFleet(routers=3)
    fleet.clock.advance(WINDOW_MS)
    for _ in range(100):
        for router in range(3):
            fleet.send(router, retries=2)
        fleet.clock.advance(WINDOW_MS // 100)
    taken = len(fleet.retries_ms)
    assert taken <= SAFETY_FACTOR * (RATIO * 300 + SLACK)
    assert taken >= 0.8 * SAFETY_FACTOR * (RATIO * 300 + SLACK)


def test_retry_budget_is_replenished_after_its_window() -> None:
    fleet = BudgetFleet(routers=1)
    first = fleet.drain(0)
    assert first > 0
    fleet.clock.advance(WINDOW_MS - 1)
    second = fleet.drain(0)
    assert first + second <= SAFETY_FACTOR * SLACK
    for _ in range(4):
        fleet.clock.advance(WINDOW_MS)
    assert fleet.drain(0) == first


def test_services_have_separate_retry_budgets() -> None:
    fleet = BudgetFleet(routers=1)
    fleet.drain(0)
    assert fleet.budgets[0].try_acquire("models")
