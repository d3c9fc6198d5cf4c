"""Evacuations of data centres: the highest revision wins, and only a removal ends one."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumrouter.bootstrap_followers import read_evacuations
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Evacuation, Evacuations
from gypsumrouter.directory.evacuations import STARTUP_MS
from gypsumrouter.journal import Journal
from gypsumrouter.published import Item
from gypsumrouter.util.clock import ManualClock

NAMES = ("dc-a", "dc-b")


def make_evacuations(clock: ManualClock | None = None) -> Evacuations:
    app = Application(
        name="entry-1",
        role=Role.FORWARDER,
        data_centre="a",
        region="r",
        clock=clock or ManualClock(),
    )
    return Evacuations(app=app, journal=Journal(app=app))


def make(name: str, revision: int, *, active: bool = True) -> Evacuation:
    return Evacuation(data_centre=name, revision=revision, active=active)


def test_evacuation_is_active_until_its_removal() -> None:
    evacuations = make_evacuations()
    evacuations.merge(make("dc-a", 10), source="p")
    assert evacuations.is_active("dc-a")
    assert not evacuations.is_active("dc-b")
    evacuations.merge(make("dc-a", 9, active=False), source="peer that is behind")
    assert evacuations.is_active("dc-a")
    evacuations.merge(make("dc-a", 11, active=False), source="p")
    assert not evacuations.is_active("dc-a")
    evacuations.merge(make("dc-a", 10), source="peer that is behind")
    assert not evacuations.is_active("dc-a")


def test_full_list_ends_missing_evacuations_unless_newer() -> None:
    evacuations = make_evacuations()
    evacuations.merge(make("dc-a", 10), source="p")
    evacuations.merge(make("dc-b", 30), source="peer")
    evacuations.replace_all([], revision=20, source="p")
    assert not evacuations.is_active("dc-a")
    assert evacuations.is_active("dc-b")


def test_listeners_are_called_only_on_begin_and_end() -> None:
    evacuations = make_evacuations()
    calls: list[bool] = []
    evacuations.on_change(lambda evacuation: calls.append(evacuation.active))
    for revision, active in ((1, False), (2, True), (3, True), (4, False), (5, False)):
        evacuations.merge(make("dc-a", revision, active=active), source="p")
    assert calls == [True, False]


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(NAMES), st.integers(1, 30), st.booleans()),
        unique_by=lambda change: (change[0], change[1]),
    ).flatmap(lambda changes: st.tuples(st.just(changes), st.permutations(changes)))
)
def test_result_is_independent_of_merge_order(
    orders: tuple[list[tuple[str, int, bool]], list[tuple[str, int, bool]]],
) -> None:
    results = []
    for changes in orders:
        evacuations = make_evacuations()
        for name, revision, active in changes:
            evacuations.merge(make(name, revision, active=active), source="p")
        results.append({name: evacuations.is_active(name) for name in NAMES})
    assert results[0] == results[1]


def test_operator_items_are_decoded_as_evacuations() -> None:
    items = (
        Item(key="op/config", revision=1, value=b"{}"),
        Item(key="op/evacuate/dc-a", revision=2, value=b"{}"),
        Item(key="op/evacuate/dc-b", revision=3, value=None),
        Item(key="op/evacuate/", revision=4, value=b"{}"),
        # The value is ignored; the item's existence marks the evacuation.
        Item(key="op/evacuate/dc-c", revision=5, value=b"\xff"),
    )
    assert list(read_evacuations(items)) == [
        make("dc-a", 2),
        make("dc-b", 3, active=False),
        make("dc-c", 5),
    ]


def test_age_is_unknown_for_evacuations_learned_at_startup() -> None:
    clock = ManualClock()
    evacuations = make_evacuations(clock)
    evacuations.merge(make("dc-a", 1), source="p")
    clock.advance(STARTUP_MS)
    evacuations.merge(make("dc-b", 2), source="p")
    clock.advance(500)
    assert evacuations.get_age_ms("dc-a") is None
    assert evacuations.get_age_ms("dc-b") == 500
    evacuations.merge(make("dc-b", 3, active=False), source="p")
    assert evacuations.get_age_ms("dc-b") is None
