"""State machine of sides with outdated views: minimums are kept and all plans converge."""

from __future__ import annotations

from collections.abc import Iterator

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from msgspec.structs import replace
from orders_fakes import CHAT, POOL, REPORTS, make_orders

from gypsumrouter.configuration.models import OrderedModel, Pool, PoolOrders
from gypsumrouter.const import UpstreamKind
from gypsumrouter.orders.changes import choose_change, get_version
from gypsumrouter.orders.demand import Demand
from gypsumrouter.orders.gates import find_block_reason
from gypsumrouter.orders.local_engine import LocalEngine
from gypsumrouter.orders.models import Change, EngineState, OrderKind
from gypsumrouter.orders.planner import Planner
from gypsumrouter.orders.retries import Retries
from gypsumrouter.orders.table import HoldingTable
from gypsumrouter.util.clock import ManualClock

SIDES = tuple(f"side-{number}" for number in range(4))
MINIMUM = {CHAT: 2, REPORTS: 1}
SHARE = 0.25
ROUNDS = 80
SHIFT_MS = 400
HOLD_MS = 10_000
STEPS = ("announce", "confirm", "end")


class SimulatedSide:
    """One side without I/O: its table of holdings and the state of its engine."""

    def __init__(self, name: str, clock: ManualClock, orders: PoolOrders, held: str) -> None:
        self.name = name
        self.orders = orders
        self.demand = Demand(clock=clock)
        self.demand.window_ms = SHIFT_MS // 4
        self.retries = Retries(clock=clock, seed=1)
        self.local = LocalEngine(name=name, clock=clock, demand=self.demand, retries=self.retries)
        self.local.address = f"{name}:1"
        self.local.state = EngineState(models={held: "1"})
        self.table = HoldingTable(clock=clock)
        self.table.hold_ms = HOLD_MS
        self.planner = Planner(name=name, table=self.table)

    @property
    def models(self) -> dict[str, str]:
        assert self.local.state is not None
        return dict(self.local.state.models)

    def is_replacing(self, name: str) -> bool:
        change = self.local.change
        replaces = change is not None and change.replaces and change.name == name
        return replaces and self.local.confirmed

    def observe(self) -> Change | None:
        """Return the change that is due according to the table of this side."""
        self.local.refresh(due_ms=1_000)
        self.table.record(self.local.holding)
        pool = Pool(name=POOL, kind=UpstreamKind.ENGINE, slots=4, orders=self.orders)
        self.planner.update(pool, self.orders)
        if self.planner.desired is None or self.local.state is None:
            return None
        desired = frozenset(m.name for m in self.orders.models if m.name in self.planner.desired)
        return choose_change(self.orders, desired, self.local.state)

    def is_allowed(self, change: Change) -> bool:
        holdings = self.table.list_available()
        return not find_block_reason(
            own=self.name, change=change, orders=self.orders, holdings=holdings
        )

    def begin(self) -> None:
        change = self.observe()
        if self.local.change is None and change is not None and self.is_allowed(change):
            self.local.begin(change)
            self.observe()

    def end(self, *, loaded: bool) -> None:
        """Finish the change; models in `drops` are unloaded even if the load fails."""
        change = self.local.change
        if change is None or not self.local.confirmed:
            return
        models = {name: held for name, held in self.models.items() if name not in change.drops}
        if change.kind is OrderKind.LOAD and loaded:
            models[change.name] = change.version
            self.retries.clear(change.name)
        elif change.kind is OrderKind.LOAD:
            self.retries.record_failure(change.name, change.version, source="")
        self.local.state = EngineState(models=models)
        self.local.end()
        self.observe()


class OrdersMachine(RuleBasedStateMachine):
    """Sides that receive holdings at random times.

    The only assumption is that an announcement has reached all sides before it is confirmed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(now_ms=1_000)
        self.sides: dict[str, SimulatedSide] = {}
        self.protected: set[str] = set()
        self.orders = make_orders(
            models=tuple(OrderedModel(name=n, min_engines=least) for n, least in MINIMUM.items()),
            change_share=SHARE,
        )

    @initialize(held=st.lists(st.sampled_from((CHAT, REPORTS)), min_size=2, max_size=2))
    def start(self, held: list[str]) -> None:
        for name, model in zip(SIDES, (CHAT, CHAT, *held), strict=True):
            self.sides[name] = SimulatedSide(name, self.clock, self.orders, model)
        self._list_sides()
        self._deliver_all()

    @rule(sender=st.sampled_from(SIDES), receivers=st.sets(st.sampled_from(SIDES), min_size=1))
    def deliver(self, sender: str, receivers: set[str]) -> None:
        side = self.sides.get(sender)
        if side is None:
            return
        side.observe()
        for receiver in receivers & self.sides.keys():
            self.sides[receiver].table.record(side.local.holding)

    @rule(name=st.sampled_from(SIDES), loaded=st.sampled_from((True, True, False)))
    def advance_side(self, name: str, loaded: bool) -> None:
        """Advance the change of one side: announce, confirm or finish it."""
        self.clock.advance(1)
        side = self.sides.get(name)
        if side is None:
            return
        if side.local.change is None:
            side.begin()
        elif side.local.confirmed:
            side.end(loaded=loaded)
        else:
            self._confirm(side)

    def _confirm(self, side: SimulatedSide) -> None:
        for other in self.sides.values():
            other.table.record(side.local.holding)
            side.table.record(other.local.holding)
        change = side.local.change
        if change is not None and side.is_allowed(change):
            side.local.confirmed = True
        else:
            side.local.end()

    @rule(
        name=st.sampled_from((CHAT, REPORTS)),
        version=st.sampled_from("12"),
        receivers=st.sets(st.sampled_from(SIDES)),
    )
    def publish(self, name: str, version: str, receivers: set[str]) -> None:
        models = tuple(
            replace(model, version=version) if model.name == name else model
            for model in self.orders.models
        )
        self.orders = replace(self.orders, models=models)
        for receiver in receivers & self.sides.keys():
            self.sides[receiver].orders = self.orders

    @rule(name=st.sampled_from(SIDES), requests=st.sampled_from((-8, 8)))
    def shift_demand(self, name: str, requests: int) -> None:
        """Change the number of requests for the models of one engine."""
        side = self.sides.get(name)
        for model in () if side is None else side.models:
            if side is not None and side.demand.get_running(model) + requests >= 0:
                side.demand.add(model, requests)
                self.clock.advance(SHIFT_MS)

    @precondition(lambda self: len(self.sides) > 3)
    @rule(name=st.sampled_from(SIDES))
    def remove_side(self, name: str) -> None:
        self.sides.pop(name, None)
        self._list_sides()
        self.protected = set()

    @invariant()
    def minimum_is_kept_once_reached(self) -> None:
        for name, least in MINIMUM.items():
            serving = sum(
                name in side.models and name not in side.local.rejected_models
                for side in self.sides.values()
            )
            if name in self.protected:
                assert serving >= least
            if serving >= least:
                self.protected.add(name)

    @invariant()
    def version_changes_are_limited_to_share(self) -> None:
        for name in MINIMUM:
            holders = [side for side in self.sides.values() if name in side.models]
            changing = [side for side in holders if side.is_replacing(name)]
            assert len(changing) <= max(1, int(len(holders) * SHARE))

    def teardown(self) -> None:
        """Run rounds with full exchange of holdings until nothing changes; check convergence."""
        self.clock.advance(HOLD_MS)
        for _ in range(ROUNDS):
            if not self._run_round():
                break
        else:
            raise AssertionError(f"the sides did not converge within {ROUNDS} rounds")
        for side in self.sides.values():
            assert side.planner.counts == next(iter(self.sides.values())).planner.counts
        for name, least in MINIMUM.items():
            held = [side.models[name] for side in self.sides.values() if name in side.models]
            assert len(held) >= least
            if len(held) > least:
                assert set(held) == {get_version(self.orders, name)}

    def _run_round(self) -> bool:
        """Advance each side with current holdings; return whether any of them changed."""
        before = [side.models for side in self.sides.values()]
        for name, side in self.sides.items():
            side.orders = self.orders
            for _ in STEPS:
                self._deliver_all()
                self.advance_side(name, loaded=True)
        changing = any(side.local.change for side in self.sides.values())
        return changing or before != [side.models for side in self.sides.values()]

    def _list_sides(self) -> None:
        for side in self.sides.values():
            side.table.set_listed(tuple(sorted(self.sides)))

    def _deliver_all(self) -> None:
        for side in self.sides.values():
            side.observe()
        for sender, receiver in self._list_pairs():
            receiver.table.record(sender.local.holding)

    def _list_pairs(self) -> Iterator[tuple[SimulatedSide, SimulatedSide]]:
        for sender in self.sides.values():
            for receiver in self.sides.values():
                yield sender, receiver


TestOrders = OrdersMachine.TestCase
TestOrders.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=50
)
