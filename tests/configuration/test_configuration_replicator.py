"""Replication reaches all processes despite outages, partitions, pauses and restarts."""

from __future__ import annotations

from collections.abc import Callable

from configuration_fakes import FakeFleet, FakeProcess, async_settle, make_document

from gypsumrouter.configuration.const import WATCHERS_PER_REGION
from gypsumrouter.configuration.fetch import answer_parts_request
from gypsumrouter.configuration.neighbours import list_ring_neighbours, list_watchers
from gypsumrouter.const import Role
from gypsumrouter.instances import Address, Instance
from gypsumrouter.link.models import ConfigurationAnnouncement, ConfigurationPartsRequest

MakeFleet = Callable[[int], FakeFleet]
REPLICATION_MS = 5_000
START_MS = 3_000


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


async def async_start_fleet(make_fleet: MakeFleet, count: int, *, version: int = 1) -> FakeFleet:
    """Return a fleet whose processes have had time to read a published version."""
    fleet = make_fleet(count)
    fleet.platform.publish(make_document(version))
    await fleet.async_start_all()
    await fleet.async_advance(START_MS)
    return fleet


async def test_version_reaches_all_processes_with_few_platform_calls(
    make_fleet: MakeFleet,
) -> None:
    fleet = await async_start_fleet(make_fleet, 60)
    assert fleet.list_versions() == {1}
    calls = fleet.platform.calls
    fleet.platform.publish(make_document(2))
    await fleet.async_advance(REPLICATION_MS)
    assert fleet.list_versions() == {2}
    assert fleet.platform.calls - calls <= 2 * WATCHERS_PER_REGION * (REPLICATION_MS // 2_500)


async def test_messages_per_process_and_change_are_bounded(make_fleet: MakeFleet) -> None:
    fleet = await async_start_fleet(make_fleet, 60)
    fleet.sent.clear()
    fleet.platform.publish(make_document(2, workspaces=4))
    await fleet.async_advance(REPLICATION_MS)
    assert fleet.sent["ConfigurationAnnouncement"] <= 8 * 60
    assert fleet.sent["ConfigurationParts"] <= 3 * 60


async def test_process_started_during_an_outage_fetches_from_a_peer(
    make_fleet: MakeFleet,
) -> None:
    fleet = await async_start_fleet(make_fleet, 6, version=3)
    fleet.platform.down = True
    process = await fleet.async_start("router-2")
    await fleet.async_advance(START_MS)
    assert process.store.ready.is_set()
    assert process.version == 3


async def test_process_without_reachable_peers_reads_the_platform(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(6)
    fleet.platform.publish(make_document(3))
    process = await fleet.async_start("router-2")
    await fleet.async_advance(START_MS)
    assert process.version == 3


async def test_isolated_process_reads_new_versions_from_the_platform(
    make_fleet: MakeFleet,
) -> None:
    fleet = await async_start_fleet(make_fleet, 6)
    watchers = fleet.list_watchers()
    name = next(name for name in fleet.processes if name not in watchers)
    fleet.groups[name] = 1
    await fleet.async_advance(6 * REPLICATION_MS)
    fleet.platform.publish(make_document(2))
    await fleet.async_advance(REPLICATION_MS)
    assert fleet.list_versions() == {2}


async def test_version_held_by_one_process_reaches_all_during_an_outage(
    make_fleet: MakeFleet,
) -> None:
    fleet = await async_start_fleet(make_fleet, 12)
    fleet.platform.down = True
    reader = fleet.processes["router-5"]
    fleet.platform.publish(make_document(2))
    await reader.store.async_offer(fleet.platform.documents[2])
    await fleet.async_advance(REPLICATION_MS)
    assert fleet.list_versions() == {2}


async def test_rejected_version_is_not_replicated(make_fleet: MakeFleet) -> None:
    fleet = await async_start_fleet(make_fleet, 6)
    fleet.platform.publish(make_document(2, default_class="nobody"))
    await fleet.async_advance(REPLICATION_MS)
    assert fleet.list_versions() == {1}
    assert any(process.store.rejection for process in fleet.processes.values())
    calls = fleet.platform.calls
    await fleet.async_advance(REPLICATION_MS)
    assert fleet.platform.calls - calls <= 2 * WATCHERS_PER_REGION * (REPLICATION_MS // 2_500)
    fleet.platform.publish(make_document(3))
    await fleet.async_advance(REPLICATION_MS)
    assert fleet.list_versions() == {3}


async def test_processes_converge_to_the_higher_version_after_a_partition(
    make_fleet: MakeFleet,
) -> None:
    fleet = await async_start_fleet(make_fleet, 10)
    for number in range(5):
        fleet.groups[f"router-{number}"] = 1
        fleet.platform.stale[f"router-{number}"] = 2
    fleet.platform.publish(make_document(2))
    fleet.platform.publish(make_document(3))
    await fleet.async_advance(2 * REPLICATION_MS)
    assert fleet.list_versions() == {2, 3}
    fleet.groups.clear()
    await fleet.async_advance(4 * REPLICATION_MS)
    assert fleet.list_versions() == {3}


async def test_paused_process_queries_its_neighbours_after_resuming(make_fleet: MakeFleet) -> None:
    fleet = await async_start_fleet(make_fleet, 6)
    watchers = fleet.list_watchers()
    name = next(name for name in fleet.processes if name not in watchers)
    process = fleet.processes[name]
    process.paused = True
    fleet.platform.publish(make_document(2))
    await fleet.async_advance(REPLICATION_MS)
    assert process.version == 1
    process.inbox.clear()
    await fleet.async_resume(name)
    await async_settle()
    assert process.version == 2


async def test_stale_replica_is_ignored(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(3)
    fleet.platform.publish(make_document(1))
    fleet.platform.publish(make_document(2))
    await fleet.async_start_all()
    await fleet.async_advance(START_MS)
    fleet.platform.stale = {f"router-{number}": 1 for number in range(3)}
    await fleet.async_advance(2 * REPLICATION_MS)
    assert fleet.list_versions() == {2}
    assert [process.versions for process in fleet.processes.values()] == [[2]] * 3


async def test_announced_version_without_parts_changes_nothing(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(2)
    fleet.platform.down = True
    process = await fleet.async_start("router-0")
    faulty = await fleet.async_start("router-1")

    def answer(peer: object, request: ConfigurationPartsRequest) -> None:
        announcement = ConfigurationAnnouncement(version=9, digest=1)
        fleet.deliver("router-1", "router-0", announcement)

    faulty.listeners[ConfigurationPartsRequest] = answer
    await fleet.async_advance(REPLICATION_MS)
    assert process.version == 0
    fleet.platform.down = False
    fleet.platform.publish(make_document(4))
    await fleet.async_advance(REPLICATION_MS)
    assert process.version == 4


async def test_manifest_that_does_not_match_the_announced_digest_is_ignored(
    make_fleet: MakeFleet,
) -> None:
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
    other.listeners[ConfigurationAnnouncement] = lambda peer, announcement: None
    await fleet.async_advance(REPLICATION_MS)
    assert process.version == 0


async def test_conflicting_contents_of_one_version_are_counted_and_kept(
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
    await fleet.async_advance(4 * REPLICATION_MS)
    assert [process.store.current for process in processes] == contents
    dump = processes[0].app.dump()["configuration_spread"]
    assert isinstance(dump, dict)
    assert dump["conflicts"] > 0


def test_ring_neighbours_connect_the_whole_fleet() -> None:
    instances = make_instances(300)
    neighbours = {
        instance.name: {
            candidates[0].name for candidates in list_ring_neighbours(instance.name, instances)
        }
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


def test_ring_neighbours_include_further_candidates() -> None:
    instances = make_instances(20)
    for candidates in list_ring_neighbours("side-0", instances):
        assert len({instance.name for instance in candidates}) == len(candidates) > 1
        assert "side-0" not in {instance.name for instance in candidates}


def test_watchers_are_few_and_in_different_data_centres() -> None:
    instances = make_instances(60) + make_instances(4, region="gt-central")
    watchers = list_watchers(instances, "hr-zagreb", 1)
    assert len(watchers) == WATCHERS_PER_REGION
    places = {i.data_centre for i in instances if i.name in watchers}
    assert len(places) == WATCHERS_PER_REGION
    assert len(list_watchers(make_instances(2), "hr-zagreb", 1)) == 2
    assert not list_watchers((), "hr-zagreb", 1)


def test_watchers_rotate_among_all_instances() -> None:
    instances = make_instances(60)
    rotations = [list_watchers(instances, "hr-zagreb", rotation) for rotation in range(200)]
    assert frozenset.union(*rotations) == {instance.name for instance in instances}
