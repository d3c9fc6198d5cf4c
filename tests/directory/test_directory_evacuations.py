"""Evacuations of data centres: the highest revision wins, and only a removal ends one."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumrouter.bootstrap_followers import read_evacuations
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Evacuation, Evacuations
from gypsumrouter.directory.evacuations import RESTORED_GRACE_MS, STARTUP_MS
from gypsumrouter.journal import Journal
from gypsumrouter.published import Item
from gypsumrouter.util.clock import ManualClock
from gypsumrouter.util.revisions import NUMBERS_PER_EPOCH

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


def test_evacuation_that_ended_while_all_watchers_were_down_was_taken_from_a_peer() -> None:
    """A router that did not watch gave it back to those that had read the list without it."""
    behind, restarted = make_evacuations(), make_evacuations()
    behind.merge(make("dc-a", 10), source="p")
    restarted.replace_all([], revision=20, source="p")
    for evacuation in behind.list_all():
        restarted.merge(evacuation, source="peer that is behind")
    assert not restarted.is_active("dc-a")
    for evacuation in restarted.list_all():
        behind.merge(evacuation, source="peer")
    assert not behind.is_active("dc-a")


def test_evacuation_after_the_full_list_is_taken_from_a_peer() -> None:
    evacuations = make_evacuations()
    evacuations.replace_all([], revision=20, source="p")
    evacuations.merge(make("dc-a", 21), source="peer")
    assert evacuations.is_active("dc-a")


def test_evacuation_that_a_restored_store_lacks_is_kept_from_a_peer_in_the_grace_period() -> None:
    """The list of a store that was restored from a backup may lack the operator's last writes."""
    clock = ManualClock()
    evacuations = make_evacuations(clock)
    evacuations.replace_all([], revision=NUMBERS_PER_EPOCH + 5, source="p")
    evacuations.merge(make("dc-a", 10), source="peer")
    assert evacuations.is_active("dc-a")
    clock.advance(RESTORED_GRACE_MS - 1)
    evacuations.apply_deferred()
    assert evacuations.is_active("dc-a")
    clock.advance(1)
    evacuations.apply_deferred()
    assert not evacuations.is_active("dc-a")
