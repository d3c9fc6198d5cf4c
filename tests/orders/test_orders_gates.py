"""Preconditions of changes: rollout lanes, minimums, load sources, and the order of changes."""

from __future__ import annotations

import pytest
from orders_fakes import CHAT, REPORTS, make_holding, make_orders

from gypsumrouter.configuration.models import OrderedAdapter, OrderedModel
from gypsumrouter.link.models import EngineStatus, ModelStatus
from gypsumrouter.orders.changes import choose_change
from gypsumrouter.orders.gates import (
    EngineProgress,
    choose_source,
    find_block_reason,
    find_rollout_block_reason,
    find_store_block_reason,
)
from gypsumrouter.orders.models import Change, EngineState, OrderKind
from gypsumrouter.orders.ranks import rank_names

NAMES = tuple(f"side-{number}" for number in range(8))
RANKED = rank_names("v2", NAMES)


def list_allowed(
    *,
    done: set[str],
    changing: set[str] = frozenset(),  # type: ignore[assignment]
    failures: dict[str, int] | None = None,
    minimum: int = 0,
) -> set[str]:
    """Return the engines, of those neither done nor changing, that may start to change."""
    engines = [
        EngineProgress(
            name=name,
            done=name in done,
            changing=name in changing,
            failures=(failures or {}).get(name, 0),
        )
        for name in NAMES
    ]
    return {
        name
        for name in set(NAMES) - done - changing
        if not find_rollout_block_reason(
            own=name, purpose="v2", minimum=minimum, share=0.25, engines=engines
        )
    }


def hold(name: str, version: str = "1", *, serving: bool = True) -> EngineStatus:
    return make_holding(name, ModelStatus(name=CHAT, version=version, serving=serving))


def test_rollout_starts_with_one_engine_then_one_per_lane() -> None:
    assert list_allowed(done=set()) == {RANKED[0]}
    assert list_allowed(done=set(), changing={RANKED[0]}) == set()
    assert list_allowed(done={RANKED[0]}) == {RANKED[1], RANKED[2]}
    assert list_allowed(done={RANKED[0]}, changing={RANKED[1]}) == {RANKED[2]}
    assert list_allowed(done={RANKED[0]}, changing={RANKED[1], RANKED[2]}) == set()
    assert list_allowed(done=set(RANKED[:3])) == {RANKED[3], RANKED[4]}


def test_minimum_limits_number_of_lanes() -> None:
    assert list_allowed(done={RANKED[0]}, minimum=7) == {RANKED[1]}
    assert list_allowed(done={RANKED[0]}, minimum=8) == set()


def test_failed_engine_is_skipped_after_another_success_or_three_failures() -> None:
    assert list_allowed(done=set(), failures={RANKED[0]: 2}) == {RANKED[0]}
    assert list_allowed(done=set(), failures={RANKED[0]: 3}) == {RANKED[0], RANKED[1]}
    failed = {RANKED[1]: 1}
    assert list_allowed(done={RANKED[0]}, failures=failed) == set(RANKED[1:4])
    assert list_allowed(done={RANKED[0]}, changing=set(RANKED[2:4]), failures=failed) == set()


@pytest.mark.parametrize(
    ("others", "may"),
    [
        ((hold("b"), hold("c")), True),
        ((hold("b"),), False),
        ((hold("b"), hold("c", serving=False)), False),
        (
            (hold("b"), make_holding("c", ModelStatus(name=CHAT, next_version="1", serving=False))),
            False,
        ),
    ],
)
def test_withdrawal_requires_minimum_of_other_serving_engines(
    others: tuple[EngineStatus, ...], may: bool
) -> None:
    orders = make_orders(models=(OrderedModel(name=CHAT, min_engines=2),))
    change = Change(kind=OrderKind.LOAD, name=REPORTS, drops=(CHAT,), withdraws=(CHAT,))
    holdings = [hold("a"), *others]
    block_reason = find_block_reason(own="a", change=change, orders=orders, holdings=holdings)
    assert (block_reason == "") is may


def test_role_change_waits_for_lane_and_minimum() -> None:
    orders = make_orders(role="decode")
    change = Change(kind=OrderKind.SET_ROLE, role="decode", withdraws=(CHAT,))
    first, second = rank_names("decode", ("a", "b"))
    holdings = [hold("a"), hold("b")]
    for own, expected in ((first, ""), (second, f"{first} goes first")):
        found = find_block_reason(own=own, change=change, orders=orders, holdings=holdings)
        assert found == expected
    alone = find_block_reason(own="a", change=change, orders=orders, holdings=holdings[:1])
    assert alone == "only 0 other engines would serve chat, 1 are needed"


def test_source_is_engine_that_holds_requested_version() -> None:
    holdings = [hold("a", "2"), hold("b", "1"), hold("c", "2"), hold("d", "2")]

    def choose(*avoided: str) -> str:
        return choose_source(own="a", name=CHAT, version="2", avoided=avoided, holdings=holdings)

    first = choose()
    assert first in {"c:1", "d:1"}
    assert choose(first) in {"c:1", "d:1"} - {first}
    assert choose("c:1", "d:1") == ""


def test_one_engine_loads_version_from_store_until_third_failure() -> None:
    def find(failures: int) -> str:
        loading = ModelStatus(name=CHAT, next_version="2", serving=False, failures=failures)
        holdings = [hold("a"), make_holding("b", loading)]
        return find_store_block_reason(own="a", name=CHAT, version="2", holdings=holdings)

    assert find(0) == "b is loading it"
    assert find(2) == "b is loading it"
    assert find(3) == ""


def test_changes_are_chosen_in_order() -> None:
    model = OrderedModel(
        name=CHAT, version="2", adapters=(OrderedAdapter(name="school", version="7"),)
    )
    orders = make_orders(models=(model, OrderedModel(name=REPORTS)), role="decode")
    state = EngineState(models={REPORTS: "1", "stranger": "1"}, role="both")
    taken: list[tuple[OrderKind, str, tuple[str, ...]]] = []
    while (change := choose_change(orders, frozenset({CHAT}), state)) is not None:
        taken.append((change.kind, change.name, change.drops))
        models = {name: held for name, held in state.models.items() if name not in change.drops}
        if change.kind is OrderKind.LOAD:
            models[change.name] = "1" if change.name not in state.models else change.version
        state = EngineState(models=models, role=change.role or state.role)
    assert taken == [
        (OrderKind.SET_ROLE, "", ()),
        (OrderKind.LOAD, CHAT, (REPORTS,)),
        (OrderKind.LOAD, "school", ()),
        (OrderKind.LOAD, CHAT, ()),
        (OrderKind.LOAD, "school", ()),
        (OrderKind.UNLOAD, "", ("stranger",)),
    ]
