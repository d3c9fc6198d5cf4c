"""When an engine may change: lanes, minimums, sources, and steps one after the other."""

from __future__ import annotations

import pytest
from orders_world import CHAT, REPORTS, make_holding, make_orders

from gypsumrouter.configuration.models import OrderedAdapter, OrderedModel
from gypsumrouter.link.models import EngineStatus, ModelStatus
from gypsumrouter.orders.changes import choose_change
from gypsumrouter.orders.gates import (
    Step,
    choose_source,
    find_obstacle,
    find_store_obstacle,
    find_turn_obstacle,
)
from gypsumrouter.orders.models import Change, EngineState, OrderKind
from gypsumrouter.orders.ranks import rank_names

NAMES = tuple(f"side-{number}" for number in range(8))
RANKED = rank_names("v2", NAMES)


def list_free(
    *,
    done: set[str],
    changing: set[str] = frozenset(),  # type: ignore[assignment]
    failures: dict[str, int] | None = None,
    minimum: int = 0,
) -> set[str]:
    """Return which of the engines that are neither done nor changing may begin."""
    steps = [
        Step(
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
        if not find_turn_obstacle(own=name, purpose="v2", minimum=minimum, share=0.25, steps=steps)
    }


def hold(name: str, version: str = "1", *, serving: bool = True) -> EngineStatus:
    return make_holding(name, ModelStatus(name=CHAT, version=version, serving=serving))


def test_one_engine_goes_first_alone_and_then_one_in_each_lane() -> None:
    assert list_free(done=set()) == {RANKED[0]}
    assert list_free(done=set(), changing={RANKED[0]}) == set()
    assert list_free(done={RANKED[0]}) == {RANKED[1], RANKED[2]}
    assert list_free(done={RANKED[0]}, changing={RANKED[1]}) == {RANKED[2]}
    assert list_free(done={RANKED[0]}, changing={RANKED[1], RANKED[2]}) == set()
    assert list_free(done=set(RANKED[:3])) == {RANKED[3], RANKED[4]}


def test_the_minimum_narrows_the_lanes() -> None:
    assert list_free(done={RANKED[0]}, minimum=7) == {RANKED[1]}
    assert list_free(done={RANKED[0]}, minimum=8) == set()


def test_an_engine_that_fails_holds_the_others_up_only_while_nothing_is_proven() -> None:
    assert list_free(done=set(), failures={RANKED[0]: 2}) == {RANKED[0]}
    assert list_free(done=set(), failures={RANKED[0]: 3}) == {RANKED[0], RANKED[1]}
    failed = {RANKED[1]: 1}
    assert list_free(done={RANKED[0]}, failures=failed) == set(RANKED[1:4])
    assert list_free(done={RANKED[0]}, changing=set(RANKED[2:4]), failures=failed) == set()


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
def test_requests_are_turned_away_only_while_enough_others_serve(
    others: tuple[EngineStatus, ...], may: bool
) -> None:
    orders = make_orders(models=(OrderedModel(name=CHAT, min_engines=2),))
    change = Change(kind=OrderKind.LOAD, name=REPORTS, drops=(CHAT,), withdraws=(CHAT,))
    holdings = [hold("a"), *others]
    obstacle = find_obstacle(own="a", change=change, orders=orders, holdings=holdings)
    assert (obstacle == "") is may


def test_a_change_of_role_waits_for_its_lane_and_for_each_model() -> None:
    orders = make_orders(role="decode")
    change = Change(kind=OrderKind.SET_ROLE, role="decode", withdraws=(CHAT,))
    first, second = rank_names("decode", ("a", "b"))
    holdings = [hold("a"), hold("b")]
    for own, expected in ((first, ""), (second, f"{first} goes first")):
        found = find_obstacle(own=own, change=change, orders=orders, holdings=holdings)
        assert found == expected
    alone = find_obstacle(own="a", change=change, orders=orders, holdings=holdings[:1])
    assert alone == "only 0 other engines would serve chat, 1 are needed"


def test_weights_come_from_a_neighbour_that_holds_just_that_version() -> None:
    holdings = [hold("a", "2"), hold("b", "1"), hold("c", "2"), hold("d", "2")]

    def choose(*avoided: str) -> str:
        return choose_source(own="a", name=CHAT, version="2", avoided=avoided, holdings=holdings)

    first = choose()
    assert first in {"c:1", "d:1"}
    assert choose(first) in {"c:1", "d:1"} - {first}
    assert choose("c:1", "d:1") == ""


def test_only_one_engine_fetches_a_version_from_the_store_unless_it_fails() -> None:
    def find(failures: int) -> str:
        loading = ModelStatus(name=CHAT, next_version="2", serving=False, failures=failures)
        holdings = [hold("a"), make_holding("b", loading)]
        return find_store_obstacle(own="a", name=CHAT, version="2", holdings=holdings)

    assert find(0) == "b is loading it"
    assert find(2) == "b is loading it"
    assert find(3) == ""


def test_an_engine_goes_through_its_steps_in_order() -> None:
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
