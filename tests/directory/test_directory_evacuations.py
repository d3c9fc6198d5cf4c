"""Evacuations of data centres: the newest word counts, and only a removal ends one."""

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


def test_an_evacuation_holds_until_its_removal_is_read() -> None:
    evacuations = make_evacuations()
    evacuations.merge(make("dc-a", 10), source="p")
    assert evacuations.is_active("dc-a")
    assert not evacuations.is_active("dc-b")
    evacuations.merge(make("dc-a", 9, active=False), source="peer that knows less")
    assert evacuations.is_active("dc-a")
    evacuations.merge(make("dc-a", 11, active=False), source="p")
    assert not evacuations.is_active("dc-a")
    evacuations.merge(make("dc-a", 10), source="peer that knows less")
    assert not evacuations.is_active("dc-a")


def test_a_whole_list_ends_what_it_lacks_unless_that_is_newer() -> None:
    evacuations = make_evacuations()
    evacuations.merge(make("dc-a", 10), source="p")
    evacuations.merge(make("dc-b", 30), source="peer")
    evacuations.replace_all([], revision=20, source="p")
    assert not evacuations.is_active("dc-a")
    assert evacuations.is_active("dc-b")


def test_listeners_hear_of_beginnings_and_ends_only() -> None:
    evacuations = make_evacuations()
    heard: list[bool] = []
    evacuations.on_change(lambda evacuation: heard.append(evacuation.active))
    for revision, active in ((1, False), (2, True), (3, True), (4, False), (5, False)):
        evacuations.merge(make("dc-a", revision, active=active), source="p")
    assert heard == [True, False]


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(NAMES), st.integers(1, 30), st.booleans()),
        unique_by=lambda told: (told[0], told[1]),
    ).flatmap(lambda told: st.tuples(st.just(told), st.permutations(told)))
)
def test_in_whatever_order_it_is_heard_all_routers_believe_the_same(
    orders: tuple[list[tuple[str, int, bool]], list[tuple[str, int, bool]]],
) -> None:
    books = []
    for told in orders:
        evacuations = make_evacuations()
        for name, revision, active in told:
            evacuations.merge(make(name, revision, active=active), source="p")
        books.append({name: evacuations.is_active(name) for name in NAMES})
    assert books[0] == books[1]


def test_items_of_the_operator_are_read_as_evacuations() -> None:
    items = (
        Item(key="op/config", revision=1, value=b"{}"),
        Item(key="op/evacuate/dc-a", revision=2, value=b"{}"),
        Item(key="op/evacuate/dc-b", revision=3, value=None),
        Item(key="op/evacuate/", revision=4, value=b"{}"),
        # What its writer put there doesn't matter: the item exists.
        Item(key="op/evacuate/dc-c", revision=5, value=b"\xff"),
    )
    assert list(read_evacuations(items)) == [
        make("dc-a", 2),
        make("dc-b", 3, active=False),
        make("dc-c", 5),
    ]


def test_how_old_an_evacuation_is_only_a_process_knows_that_was_there() -> None:
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
