"""News of a configuration reach every process, whatever is down, cut off, paused or replaced."""

from __future__ import annotations

from collections.abc import Callable

from configuration_fakes import FakeFleet, FakeProcess, async_settle, make_document

from gypsumrouter.configuration.const import WATCHERS_IN_REGION
from gypsumrouter.configuration.fetch import answer_parts_request
from gypsumrouter.configuration.neighbours import list_routes, list_watchers
from gypsumrouter.const import Role
from gypsumrouter.instances import Address, Instance
from gypsumrouter.link.models import ConfigurationAnnouncement, ConfigurationPartsRequest

MakeFleet = Callable[[int], FakeFleet]
IN_FORCE_MS = 5_000
SERVES_MS = 3_000


def make_instances(count: int, *, region: str = "hr-zagreb") -> tuple[Instance, ...]:
    return tuple(
        Instance(
            name=f"side-{number}",
            role=Role.SIDE,
            address=Address(host="127.0.0.1", port=1),
            data_centre=f"dc-{number % 3}",
            region=region,
        )
        for number in range(count)
    )


async def test_a_version_is_in_force_everywhere_within_seconds_by_few_watches(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(60)
    fleet.platform.publish(make_document(1))
    await fleet.async_start_all()
    await fleet.async_advance(SERVES_MS)
    assert fleet.list_versions() == {1}
    calls = fleet.platform.calls
    fleet.platform.publish(make_document(2))
    await fleet.async_advance(IN_FORCE_MS)
    assert fleet.list_versions() == {2}
    assert fleet.platform.calls - calls <= 2 * WATCHERS_IN_REGION * (IN_FORCE_MS // 2_500)


async def test_each_process_hears_of_a_change_a_few_times_only(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(60)
    fleet.platform.publish(make_document(1))
    await fleet.async_start_all()
    await fleet.async_advance(SERVES_MS)
    fleet.sent.clear()
    fleet.platform.publish(make_document(2, workspaces=4))
    await fleet.async_advance(IN_FORCE_MS)
    assert fleet.sent["ConfigurationAnnouncement"] <= 8 * 60
    assert fleet.sent["ConfigurationParts"] <= 3 * 60


async def test_a_process_that_starts_while_the_platform_is_down_gets_it_from_a_peer(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(6)
    fleet.platform.publish(make_document(3))
    await fleet.async_start_all()
    await fleet.async_advance(SERVES_MS)
    fleet.platform.down = True
    process = await fleet.async_start("router-2")
    await fleet.async_advance(SERVES_MS)
    assert process.store.ready.is_set()
    assert process.version == 3


async def test_a_process_without_peers_that_answer_reads_the_platform(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(6)
    fleet.platform.publish(make_document(3))
    process = await fleet.async_start("router-2")
    await fleet.async_advance(SERVES_MS)
    assert process.version == 3


async def test_a_process_that_no_other_one_reaches_still_gets_new_versions(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(6)
    fleet.platform.publish(make_document(1))
    await fleet.async_start_all()
    await fleet.async_advance(SERVES_MS)
    watchers = fleet.list_watchers()
    name = next(name for name in fleet.processes if name not in watchers)
    fleet.groups[name] = 1
    await fleet.async_advance(6 * IN_FORCE_MS)
    fleet.platform.publish(make_document(2))
    await fleet.async_advance(IN_FORCE_MS)
    assert fleet.list_versions() == {2}


async def test_a_version_reaches_all_when_the_platform_goes_down_after_one_read_it(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(12)
    fleet.platform.publish(make_document(1))
    await fleet.async_start_all()
    await fleet.async_advance(SERVES_MS)
    fleet.platform.down = True
    reader = fleet.processes["router-5"]
    fleet.platform.publish(make_document(2))
    await reader.store.async_offer(fleet.platform.documents[2])
    await fleet.async_advance(IN_FORCE_MS)
    assert fleet.list_versions() == {2}


async def test_a_rejected_version_stays_with_those_that_read_it(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(6)
    fleet.platform.publish(make_document(1))
    await fleet.async_start_all()
    await fleet.async_advance(SERVES_MS)
    fleet.platform.publish(make_document(2, default_class="nobody"))
    await fleet.async_advance(IN_FORCE_MS)
    assert fleet.list_versions() == {1}
    assert any(process.store.rejection for process in fleet.processes.values())
    calls = fleet.platform.calls
    await fleet.async_advance(IN_FORCE_MS)
    assert fleet.platform.calls - calls <= 2 * WATCHERS_IN_REGION * (IN_FORCE_MS // 2_500)
    fleet.platform.publish(make_document(3))
    await fleet.async_advance(IN_FORCE_MS)
    assert fleet.list_versions() == {3}


async def test_a_partition_heals_to_the_higher_version(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(10)
    fleet.platform.publish(make_document(1))
    await fleet.async_start_all()
    await fleet.async_advance(SERVES_MS)
    for number in range(5):
        fleet.groups[f"router-{number}"] = 1
        fleet.platform.stale[f"router-{number}"] = 2
    fleet.platform.publish(make_document(2))
    fleet.platform.publish(make_document(3))
    await fleet.async_advance(2 * IN_FORCE_MS)
    assert fleet.list_versions() == {2, 3}
    fleet.groups.clear()
    await fleet.async_advance(4 * IN_FORCE_MS)
    assert fleet.list_versions() == {3}


async def test_a_process_that_was_paused_asks_when_it_wakes(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(6)
    fleet.platform.publish(make_document(1))
    await fleet.async_start_all()
    await fleet.async_advance(SERVES_MS)
    watchers = fleet.list_watchers()
    name = next(name for name in fleet.processes if name not in watchers)
    process = fleet.processes[name]
    process.paused = True
    fleet.platform.publish(make_document(2))
    await fleet.async_advance(IN_FORCE_MS)
    assert process.version == 1
    process.inbox.clear()
    await fleet.async_wake(name)
    await async_settle()
    assert process.version == 2


async def test_a_stale_replica_is_ignored(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(3)
    fleet.platform.publish(make_document(1))
    fleet.platform.publish(make_document(2))
    await fleet.async_start_all()
    await fleet.async_advance(SERVES_MS)
    fleet.platform.stale = {f"router-{number}": 1 for number in range(3)}
    await fleet.async_advance(2 * IN_FORCE_MS)
    assert fleet.list_versions() == {2}
    assert [process.versions for process in fleet.processes.values()] == [[2]] * 3


async def test_a_peer_that_says_a_version_but_hands_on_damaged_parts_changes_nothing(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(2)
    fleet.platform.down = True
    process = await fleet.async_start("router-0")
    liar = await fleet.async_start("router-1")

    def answer(peer: object, request: ConfigurationPartsRequest) -> None:
        news = ConfigurationAnnouncement(version=9, digest=1)
        fleet.deliver("router-1", "router-0", news)

    liar.listeners[ConfigurationPartsRequest] = answer
    await fleet.async_advance(IN_FORCE_MS)
    assert process.version == 0
    fleet.platform.down = False
    fleet.platform.publish(make_document(4))
    await fleet.async_advance(IN_FORCE_MS)
    assert process.version == 4


async def test_a_manifest_that_is_not_the_one_told_of_is_not_taken(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(2)
    fleet.platform.down = True
    process = await fleet.async_start("router-0")
    other = await fleet.async_start("router-1")
    fleet.platform.publish(make_document(9))
    await other.store.async_offer(fleet.platform.documents[9])
    fleet.deliver("router-1", "router-0", ConfigurationAnnouncement(version=9, digest=1))
    other.listeners[ConfigurationPartsRequest] = lambda peer, request: peer.send(
        ConfigurationAnnouncement(version=9, digest=1)
        if request.version == 0
        else answer_parts_request(other.store, request)
    )
    other.listeners[ConfigurationAnnouncement] = lambda peer, news: None
    await fleet.async_advance(IN_FORCE_MS)
    assert process.version == 0


async def test_two_contents_of_one_version_are_seen_and_neither_replaces_the_other(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(2)
    fleet.platform.down = True
    processes: list[FakeProcess] = []
    for number in range(2):
        process = await fleet.async_start(f"router-{number}")
        fleet.groups[f"router-{number}"] = number
        fleet.platform.documents.clear()
        fleet.platform.publish(make_document(5, workspaces=number))
        await process.store.async_offer(fleet.platform.documents[5])
        processes.append(process)
    contents = [process.store.current for process in processes]
    fleet.groups.clear()
    await fleet.async_advance(4 * IN_FORCE_MS)
    assert [process.store.current for process in processes] == contents
    dump = processes[0].app.dump()["configuration_spread"]
    assert isinstance(dump, dict)
    assert dump["conflicts"] > 0


def test_routes_join_the_whole_fleet_with_few_neighbours_each() -> None:
    instances = make_instances(300)
    neighbours = {
        instance.name: {route[0].name for route in list_routes(instance.name, instances)}
        for instance in instances
    }
    assert max(len(names) for names in neighbours.values()) <= 6
    assert all(name in neighbours[other] for name in neighbours for other in neighbours[name])
    reached = {"side-0"}
    hops = 0
    while len(reached) < len(instances):
        reached |= {other for name in reached for other in neighbours[name]}
        hops += 1
    assert hops <= 6


def test_a_route_goes_on_behind_an_instance_that_is_gone() -> None:
    instances = make_instances(20)
    for route in list_routes("side-0", instances):
        assert len({instance.name for instance in route}) == len(route) > 1
        assert "side-0" not in {instance.name for instance in route}


def test_watchers_are_few_and_stand_in_different_data_centres() -> None:
    instances = make_instances(60) + make_instances(4, region="gt-central")
    watchers = list_watchers(instances, "hr-zagreb", 1)
    assert len(watchers) == WATCHERS_IN_REGION
    places = {i.data_centre for i in instances if i.name in watchers}
    assert len(places) == WATCHERS_IN_REGION
    assert len(list_watchers(make_instances(2), "hr-zagreb", 1)) == 2
    assert not list_watchers((), "hr-zagreb", 1)


def test_all_instances_take_their_turn_as_watchers() -> None:
    instances = make_instances(60)
    turns = [list_watchers(instances, "hr-zagreb", turn) for turn in range(200)]
    assert frozenset.union(*turns) == {instance.name for instance in instances}
