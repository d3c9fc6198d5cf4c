"""Selection of members from the list, link contact and announcements of leaving."""

from __future__ import annotations

import pytest
from fleet_world import START_MS, World, make_engine, make_engines, make_list

from gypsumrouter.fleet import InstanceList, Unchanged
from gypsumrouter.fleet.const import (
    ABSENT_RETENTION_MS,
    FLAP_HALF_LIFE_MS,
    LEAVING_TIMEOUT_MS,
    MEMBERS_CACHE_MS,
    SHRINK_RETENTION_MS,
    UNREACHABLE_RETRY_MS,
)


async def test_members_are_live_sorted_and_of_the_pool(world: World) -> None:
    await world.async_publish(1, make_engine("b"), make_engine("a"), make_engine("c", leaving=True))
    assert world.member_names() == ["a", "b"]
    assert world.member_names("records") == []
    assert [peer.name for peer in world.fleet.peers()] == ["a", "b", "c"]


async def test_stale_and_contradictory_lists_are_ignored(world: World) -> None:
    accepted: list[InstanceList] = []
    world.fleet.on_list(accepted.append)
    await world.async_publish(5, *make_engines(2))
    as_of_ms = accepted[0].as_of_ms
    await world.async_respond(make_list(4, *make_engines(9), as_of_ms=as_of_ms + 9))
    await world.async_respond(make_list(6, *make_engines(9), as_of_ms=as_of_ms - 1))
    await world.async_respond(make_list(5, *make_engines(9), as_of_ms=as_of_ms + 9))
    await world.async_respond(Unchanged(as_of_ms=as_of_ms - 1))
    assert [listed.revision for listed in accepted] == [5]
    assert world.member_names() == ["e0", "e1"]


async def test_unchanged_list_is_confirmed_and_failure_is_logged_once(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", logger="gypsumrouter.fleet")
    confirmed: list[int] = []
    world.fleet.on_confirmed(confirmed.append)
    await world.async_publish(1, *make_engines(1))
    for _ in range(3):
        await world.async_respond(None)
    assert world.member_names() == ["e0"]
    await world.async_respond(Unchanged(as_of_ms=START_MS + 60_000))
    assert confirmed == [START_MS + 60_000]
    assert [record.levelname for record in caplog.records] == ["WARNING", "INFO"]


async def test_late_listener_receives_the_current_list(world: World) -> None:
    await world.async_publish(3, *make_engines(1))
    accepted: list[InstanceList] = []
    world.fleet.on_list(accepted.append)
    assert [listed.revision for listed in accepted] == [3]


async def test_sudden_shrink_of_the_list_needs_confirmation(world: World) -> None:
    await world.async_publish(1, *make_engines(6))
    await world.async_publish(2, *make_engines(2))
    assert len(world.member_names()) == 6
    for _ in range(6):
        await world.async_respond(Unchanged(as_of_ms=world.clock.wall_ms()))
    assert world.member_names() == ["e0", "e1"]


async def test_reachable_instances_missing_from_the_list_are_kept_for_a_bounded_time(
    world: World,
) -> None:
    await world.async_publish(1, *make_engines(6))
    await world.async_publish(2, *make_engines(2))
    end_ms = world.clock.now_ms() + SHRINK_RETENTION_MS
    kept: list[list[str]] = []
    while world.clock.now_ms() < end_ms:
        kept.append(world.member_names())
        world.fleet.record_contact("e5", True)
        await world.async_respond(Unchanged(as_of_ms=world.clock.wall_ms()))
    assert kept[-1] == ["e0", "e1", "e5"]
    assert world.member_names() == ["e0", "e1"]


async def test_empty_list_keeps_the_view_until_links_fail(world: World) -> None:
    await world.async_publish(1, *make_engines(3))
    await world.async_publish(2)
    for _ in range(100):
        await world.async_respond(Unchanged(as_of_ms=world.clock.wall_ms()))
    assert len(world.member_names()) == 3
    world.fleet.record_contact("e0", False)
    world.clock.advance(MEMBERS_CACHE_MS)
    assert world.member_names() == ["e1", "e2"]


async def test_single_missing_instance_is_removed_at_once_unless_reachable(world: World) -> None:
    engines = make_engines(6)
    await world.async_publish(1, *engines)
    world.fleet.record_contact("e4", True)
    await world.async_publish(2, *engines[:4], engines[4])
    assert "e5" not in world.member_names()
    await world.async_publish(3, *engines[:4])
    assert "e4" in world.member_names()
    world.clock.advance(ABSENT_RETENTION_MS)
    assert "e4" not in world.member_names()


async def test_leaving_instance_is_excluded_until_a_new_incarnation(world: World) -> None:
    await world.async_publish(1, *make_engines(2))
    world.fleet.record_leaving("e0", incarnation=7)
    assert world.member_names() == ["e1"]
    world.fleet.record_incarnation("e0", incarnation=7)
    assert world.member_names() == ["e1"]
    world.fleet.record_incarnation("e0", incarnation=8)
    assert world.member_names() == ["e0", "e1"]
    world.fleet.record_leaving("e0", incarnation=7)
    assert world.member_names() == ["e0", "e1"]


async def test_leaving_state_ends_on_timeout_or_address_change(world: World) -> None:
    await world.async_publish(1, *make_engines(2))
    world.fleet.record_leaving("e0", incarnation=7)
    world.fleet.record_leaving("e1", incarnation=8)
    await world.async_publish(2, make_engine("e0", port=7001), make_engine("e1"))
    assert world.member_names() == ["e0"]
    world.clock.advance(LEAVING_TIMEOUT_MS)
    assert world.member_names() == ["e0", "e1"]


async def test_unreachable_instance_is_retried_after_a_growing_delay(world: World) -> None:
    await world.async_publish(1, *make_engines(2))
    changes = world.changes
    world.fleet.record_contact("e0", False)
    assert world.member_names() == ["e1"]
    assert world.changes == changes + 1
    world.clock.advance(UNREACHABLE_RETRY_MS + MEMBERS_CACHE_MS)
    assert world.member_names() == ["e0", "e1"]
    world.fleet.record_contact("e0", False)
    world.clock.advance(UNREACHABLE_RETRY_MS + MEMBERS_CACHE_MS)
    assert world.member_names() == ["e1"]
    world.fleet.record_contact("e0", True)
    assert world.member_names() == ["e0", "e1"]


async def test_flapping_instance_is_damped_until_its_penalty_has_decayed(world: World) -> None:
    await world.async_publish(1, *make_engines(2))
    for _ in range(3):
        world.fleet.record_contact("e0", True)
        world.fleet.record_contact("e0", False)
    world.fleet.record_contact("e0", True)
    assert world.member_names() == ["e1"]
    world.clock.advance(FLAP_HALF_LIFE_MS)
    assert world.member_names() == ["e1"]
    world.clock.advance(FLAP_HALF_LIFE_MS)
    assert world.member_names() == ["e0", "e1"]


async def test_instances_of_the_best_status_are_used_if_none_is_usable(world: World) -> None:
    await world.async_publish(
        1, make_engine("e0"), make_engine("e1"), make_engine("e2", leaving=True)
    )
    world.fleet.record_contact("e0", False)
    world.fleet.record_leaving("e1", incarnation=1)
    assert world.member_names() == ["e0"]
    world.fleet.record_leaving("e0", incarnation=2)
    assert world.member_names() == ["e0", "e1", "e2"]


async def test_dump_and_metrics_report_the_view(world: World) -> None:
    await world.async_publish(1, *make_engines(2))
    world.fleet.record_leaving("e0", incarnation=7)
    dump = world.app.dump()["fleet"]
    assert isinstance(dump, dict)
    assert dump["revision"] == 1
    assert [entry["standing"] for entry in dump["instances"]] == ["leaving", "usable"]
    assert b'gypsum_instances{standing="usable"} 1' in world.app.metrics.render()


async def test_list_of_a_platform_that_was_restored_from_a_backup_is_refused(world: World) -> None:
    """Revisions begin anew at a lower one, at later times, and the old instances are gone."""
    await world.async_publish(50, *make_engines(4), epoch=1)
    revision = 20
    for _ in range(20):
        revision += 1
        await world.async_publish(revision, make_engine("n"), epoch=2)
        world.clock.advance(1_000)
    assert world.member_names() == ["n"]


async def test_late_list_of_an_earlier_epoch_is_ignored(world: World) -> None:
    """Guards against a replica that was not restored and still counts at a higher revision."""
    await world.async_publish(21, make_engine("n"), epoch=2)
    await world.async_publish(60, *make_engines(4), epoch=1)
    await world.async_publish(60, *make_engines(4))
    assert world.member_names() == ["n"]


async def test_instances_missing_from_a_backup_are_kept_until_they_register_again(
    world: World,
) -> None:
    await world.async_publish(50, *make_engines(6), epoch=1)
    await world.async_publish(21, *make_engines(2), epoch=2)
    assert len(world.member_names()) == 6
    await world.async_publish(22, *make_engines(6), epoch=2)
    assert len(world.member_names()) == 6
