"""The order of instances for new and returning chats, hints, and pool load."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace
from placement_fakes import (
    MODEL,
    FakeFleet,
    FakeLinks,
    PlacementHarness,
    list_names,
    make_instance,
    make_query,
)

from gypsumrouter.placement import PlacementKind
from gypsumrouter.util.clock import ManualClock

CHATS = [f"chat-{number}" for number in range(2_000)]


def first_names(harness: PlacementHarness) -> dict[str, str]:
    router = harness.make_router()
    return {chat: router.order(make_query(chat))[0].name for chat in CHATS}


def test_removing_an_instance_moves_only_its_own_chats(harness: PlacementHarness) -> None:
    before = first_names(harness)
    removed = harness.fleet.instances[4]
    harness.fleet.instances = harness.fleet.instances[:4] + harness.fleet.instances[5:]

    after = first_names(harness)

    moved = {chat for chat in CHATS if before[chat] != after[chat]}
    assert moved == {chat for chat in CHATS if before[chat] == removed.name}


def test_adding_an_instance_moves_chats_only_to_it(
    harness: PlacementHarness,
) -> None:
    before = first_names(harness)
    added = make_instance(9)
    harness.fleet.instances = (*harness.fleet.instances, added)

    after = first_names(harness)

    moved = [chat for chat in CHATS if before[chat] != after[chat]]
    assert {after[chat] for chat in moved} == {added.name}
    assert 0.07 < len(moved) / len(CHATS) < 0.13


def test_double_weight_gets_double_the_chats(harness: PlacementHarness) -> None:
    harness.fleet.instances = tuple(
        make_instance(number, weight=2.0 if number == 0 else 1.0) for number in range(3)
    )
    names = list(first_names(harness).values())
    assert 0.46 < names.count("engine-000") / len(names) < 0.54


def test_routers_in_different_data_centres_have_the_same_order(harness: PlacementHarness) -> None:
    near = harness.make_router(data_centre="dc-1")
    far = harness.make_router(name="router-2", data_centre="dc-3")
    for chat in CHATS[:100]:
        assert near.order(make_query(chat)) == far.order(make_query(chat))


def test_the_hinted_instance_is_first_and_the_ranked_one_second(harness: PlacementHarness) -> None:
    router = harness.make_router()
    ranked = router.order(make_query("chat-1"))
    hint = router.make_hint(ranked[3])

    hinted = router.order(make_query("chat-1", hint=hint))

    assert hinted[0] == ranked[3]
    assert hinted[1] == ranked[0]


def test_a_hint_to_a_removed_instance_is_ignored(harness: PlacementHarness) -> None:
    router = harness.make_router()
    hint = router.make_hint(make_instance(77))
    assert router.order(make_query("chat-1", hint=hint)) == router.order(make_query("chat-1"))


def test_a_hint_with_a_wrong_checksum_is_ignored(harness: PlacementHarness) -> None:
    router = harness.make_router()
    ranked = router.order(make_query("chat-1"))
    hint = router.make_hint(ranked[3])
    wrong = hint[:-1] + ("A" if hint[-1] != "A" else "B")
    assert router.order(make_query("chat-1", hint=wrong)) == ranked


@settings(derandomize=True, deadline=None)
@given(hint=st.one_of(st.text(max_size=40), st.from_regex(r"[A-Za-z0-9_-]{15}", fullmatch=True)))
def test_an_invalid_hint_does_not_change_the_order(hint: str) -> None:
    members = tuple(make_instance(number) for number in range(5))
    harness = PlacementHarness(fleet=FakeFleet(members), links=FakeLinks(), clock=ManualClock())
    router = harness.make_router()
    assert router.order(make_query("chat-1", hint=hint)) == router.order(make_query("chat-1"))


def test_instances_without_the_model_are_skipped_and_those_without_status_kept(
    harness: PlacementHarness,
) -> None:
    for number in range(4):
        harness.links.report(f"engine-{number:03}", models=("other",))
    harness.links.report("engine-004", models=(MODEL, "other"))
    order = list_names(harness.make_router().order(make_query("chat-1", model=MODEL)))
    assert set(order) == {f"engine-{number:03}" for number in range(4, 9)}


def test_a_model_that_no_instance_serves_gets_an_empty_order(harness: PlacementHarness) -> None:
    for instance in harness.fleet.instances:
        harness.links.report(instance.name, models=("other",))
    assert harness.make_router().order(make_query("chat-1", model=MODEL)) == ()


def test_an_instance_that_is_not_ready_is_not_first(harness: PlacementHarness) -> None:
    router = harness.make_router()
    first = router.order(make_query("chat-1"))[0]
    harness.links.report(first.name, ready=False)
    assert router.order(make_query("chat-1"))[0] != first
    hinted = router.order(make_query("chat-1", hint=router.make_hint(first)))
    assert hinted[0] != first


def test_only_new_chats_avoid_an_instance_over_the_cap(
    harness: PlacementHarness,
) -> None:
    router = harness.make_router()
    ranked = router.order(make_query("chat-1"))
    for instance in harness.fleet.instances:
        harness.links.report(instance.name, load=20 if instance == ranked[0] else 8)
    harness.clock.advance(100)

    assert router.order(make_query("chat-1", returning=True))[0] == ranked[0]
    assert router.order(make_query("chat-1", returning=False))[0] in ranked[1:3]


def test_outdated_statuses_do_not_change_the_order(harness: PlacementHarness) -> None:
    router = harness.make_router()
    ranked = router.order(make_query("chat-1"))
    for instance in harness.fleet.instances:
        load = 50 if instance == ranked[0] else 1
        harness.links.report(instance.name, load=load, age_ms=5_000)
    harness.clock.advance(100)
    assert router.order(make_query("chat-1", returning=False)) == ranked


def test_instances_from_the_third_on_are_sorted_by_load(harness: PlacementHarness) -> None:
    router = harness.make_router()
    for load, instance in enumerate(harness.fleet.instances):
        harness.links.report(instance.name, load=20 - load)
    harness.clock.advance(100)
    tail = [
        harness.links.views[item.name].status.load for item in router.order(make_query("chat-1"))
    ]
    assert tail[2:] == sorted(tail[2:])


def test_requests_without_a_chat_are_spread_over_all_members(harness: PlacementHarness) -> None:
    router = harness.make_router()
    firsts = {router.order(make_query(""))[0].name for _ in range(200)}
    assert len(firsts) == len(harness.fleet.instances)


def test_instances_of_another_region_come_last(harness: PlacementHarness) -> None:
    remote = make_instance(0, region="region-2")
    harness.fleet.instances = (remote, *harness.fleet.instances[1:4])
    router = harness.make_router()
    assert all(router.order(make_query(chat))[-1] == remote for chat in CHATS[:50])


def test_pool_load_is_the_mean_of_recent_statuses_only(harness: PlacementHarness) -> None:
    router = harness.make_router()
    harness.links.report("engine-000", load=10, age_ms=100)
    harness.links.report("engine-001", load=20, age_ms=300)
    harness.links.report("engine-002", load=99, age_ms=2_500)
    load = router.pool_load(make_query("").pool)
    assert load is not None
    assert (load.mean, load.known, load.members, load.age_ms) == (15.0, 2, 9, 200)


@pytest.mark.parametrize("kind", [kind for kind in PlacementKind if kind != "rendezvous"])
def test_each_baseline_returns_distinct_instances_that_may_serve_the_model(
    harness: PlacementHarness, kind: PlacementKind
) -> None:
    harness.links.report("engine-000", models=("other",))
    router = harness.make_router(kind=kind)
    for chat in CHATS[:50]:
        names = list_names(router.order(make_query(chat, model=MODEL)))
        assert len(names) == len(set(names)) == 8
        assert "engine-000" not in names


def test_sticky_baseline_returns_to_the_instance_that_served_the_chat(
    harness: PlacementHarness,
) -> None:
    router = harness.make_router(kind=PlacementKind.STICKY)
    query = make_query("chat-1")
    router.record_served(query, harness.fleet.instances[5])
    assert router.order(query)[0] == harness.fleet.instances[5]


def test_prefix_holders_are_the_first_ranked_instances_and_the_hinted_one(
    harness: PlacementHarness,
) -> None:
    router = harness.make_router()
    ranked = list_names(router.order(make_query("chat-1")))
    query = make_query("chat-1", hint=router.make_hint(router.order(make_query("chat-1"))[4]))
    assert router.find_prefix_holders(query) == (ranked[0], ranked[1], ranked[4])
    assert router.find_prefix_holders(make_query("chat-1", returning=False)) == ()


def test_baselines_have_no_prefix_holders(harness: PlacementHarness) -> None:
    router = harness.make_router(kind=PlacementKind.STICKY)
    assert router.find_prefix_holders(make_query("chat-1")) == ()


def test_new_batch_work_goes_to_the_smallest_backlog(harness: PlacementHarness) -> None:
    router = harness.make_router()
    ranked = router.order(make_query("chat-1"))
    for instance in harness.fleet.instances:
        harness.links.report(instance.name, load=4, batch_waiting=9)
    harness.links.report(ranked[2].name, load=5, batch_waiting=1)
    query = replace(make_query("chat-1", returning=False), batch=True)
    assert router.order(query)[0] == ranked[2]
