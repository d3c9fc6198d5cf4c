"""Origins of streams are found by any router, and never guessed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from stream_fleet import StreamFleet

from gypsumrouter.directory import EntryState
from gypsumrouter.streams import StreamOrigin
from gypsumrouter.streams.versions import MAX_LIST_AGE_MS, STREAM_RETENTION_MS

TOLD_MS = 200

MakeFleet = Callable[..., StreamFleet]


@pytest.fixture
async def make_fleet() -> AsyncIterator[MakeFleet]:
    fleets: list[StreamFleet] = []

    def make(size: int, *versions: str, first_start: bool = True) -> StreamFleet:
        fleet = StreamFleet(size, first_start=first_start)
        fleets.append(fleet)
        for number, version in enumerate(versions):
            fleet.list_upstream(f"i-{number}", version)
        return fleet

    yield make
    for fleet in fleets:
        await fleet.async_stop()


async def async_find_all(
    fleet: StreamFleet, find: Callable[[str], Awaitable[str | None]], begun: dict[str, str]
) -> int:
    """Look up all streams; return how many were found, none of them at another version."""
    found = 0
    for request_id, version in begun.items():
        answer = await find(request_id)
        assert answer in (None, version)
        found += answer is not None
    return found


@pytest.mark.parametrize("size", [2, 3, 12, 40])
async def test_stream_is_found_by_every_other_router(make_fleet: MakeFleet, size: int) -> None:
    fleet = make_fleet(size, "v1", "v2")
    routers = list(fleet.routers.values())
    begun = {f"r{n}": f"v{1 + n % 2}" for n in range(40)}
    for number, (request_id, version) in enumerate(begun.items()):
        routers[number % size].begin(request_id, version)
    await fleet.async_advance(TOLD_MS)
    for router in routers:
        assert await async_find_all(fleet, router.async_find, begun) == len(begun)


@pytest.mark.parametrize("seed", range(6))
async def test_streams_are_found_or_refused_while_routers_are_killed_and_start_again(
    make_fleet: MakeFleet, seed: int
) -> None:
    rng = random.Random(seed)
    fleet = make_fleet(12, "v1", "v2")
    begun: dict[str, str] = {}
    for number in range(60):
        router = rng.choice([r for r in fleet.routers.values() if r.running])
        begun[f"r{number}"] = version = rng.choice(["v1", "v2"])
        router.begin(f"r{number}", version)
        await fleet.async_advance(rng.choice([0, 50, 200]))
        if rng.random() < 0.1:
            address = rng.choice(list(fleet.routers))
            await fleet.async_stop(address)
            if rng.random() < 0.5:
                fleet.start(address)
        if rng.random() < 0.05:
            fleet.list_upstream("i-9", rng.choice(["v1", "v2", "v3"]))
    await fleet.async_advance(TOLD_MS)
    asker = next(router for router in fleet.routers.values() if router.running)
    assert await async_find_all(fleet, asker.async_find, begun) >= len(begun) // 2


async def test_stream_survives_its_router_and_any_other_one(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(9, "v1", "v2")
    first = next(iter(fleet.routers.values()))
    begun = {f"r{n}": "v1" for n in range(20)}
    for request_id in begun:
        first.begin(request_id, "v1")
    await fleet.async_advance(TOLD_MS)
    await fleet.async_stop(first.address, list(fleet.routers)[1])
    asker = list(fleet.routers.values())[-1]
    assert await async_find_all(fleet, asker.async_find, begun) == len(begun)


async def test_stream_is_refused_after_the_loss_of_all_routers(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(3, "v1", "v1")
    for number, router in enumerate(fleet.routers.values()):
        router.begin(f"r{number}", "v1")
    await fleet.async_advance(TOLD_MS)
    await fleet.async_stop()
    for address in tuple(fleet.routers):
        fleet.start(address)
    await fleet.async_advance(TOLD_MS)
    asker = next(iter(fleet.routers.values()))
    assert await asker.async_find("r0") is None
    # Streams that began since are known, and later no older one can be left.
    asker.begin("r9", "v1")
    await fleet.async_advance(TOLD_MS)
    assert await list(fleet.routers.values())[1].async_find("r9") == "v1"
    await fleet.async_advance(STREAM_RETENTION_MS)
    assert await asker.async_find("r0") == "v1"


async def test_nothing_is_told_while_a_service_has_one_version(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(5, "v1", "v1")
    first = next(iter(fleet.routers.values()))
    for number in range(20):
        first.begin(f"r{number}", "v1")
    await fleet.async_advance(1_000)
    assert first.sent_notices == 0
    # A second version shows: what is running is told at once.
    fleet.list_upstream("i-9", "v2")
    await fleet.async_advance(TOLD_MS)
    await fleet.async_stop(first.address)
    asker = list(fleet.routers.values())[-1]
    begun = {f"r{n}": "v1" for n in range(20)}
    assert await async_find_all(fleet, asker.async_find, begun) == len(begun)


async def test_complete_stream_is_never_told(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(5, "v1", "v2")
    first = next(iter(fleet.routers.values()))
    first.begin("r1", "v1")
    first.origins.note_complete("r1", StreamOrigin(service="models", version="v1"))
    await fleet.async_advance(1_000)
    assert first.sent_notices == 0


async def test_version_counts_until_its_streams_have_ended(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(3, "v1", "v2")
    asker = next(iter(fleet.routers.values()))
    fleet.list_upstream("i-1", "v2", EntryState.GONE)
    await fleet.async_advance(STREAM_RETENTION_MS - 1_000)
    assert await asker.async_find("unknown") is None
    await fleet.async_advance(2_000)
    assert await asker.async_find("unknown") == "v1"


async def test_router_with_an_old_list_takes_the_word_of_others(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(3, "v1")
    old, *others = fleet.routers.values()
    old.lose_store(list_age_ms=MAX_LIST_AGE_MS + 1)
    await fleet.async_advance(TOLD_MS)
    assert await old.async_find("unknown") == "v1"
    old.lose_store(list_age_ms=MAX_LIST_AGE_MS + 1)
    fleet.list_upstream("i-9", "v2")
    for other in others:
        other.lose_store(list_age_ms=0)
    others[0].begin("r1", "v1")
    others[0].begin("r2", "v2")
    await fleet.async_advance(TOLD_MS)
    assert await old.async_find("unknown") is None
    assert await old.async_find("r1") == "v1"
    # It knows no upstream of that version, so that there is nothing it could send the stream to.
    assert await old.async_find("r2") is None
    for other in others:
        other.reaches_store = True
    assert await old.async_find("unknown") is None
    # The others have told it of the upstream with the confirmation of its list.
    assert await old.async_find("r2") == "v2"


async def test_router_that_is_alone_with_an_old_list_refuses(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(3, "v1")
    alone, *others = fleet.routers.values()
    alone.lose_store(list_age_ms=MAX_LIST_AGE_MS + 1)
    await fleet.async_stop(*(router.address for router in others))
    await fleet.async_advance(TOLD_MS)
    assert await alone.async_find("unknown") is None


async def test_router_that_starts_again_takes_the_word_of_others_for_the_time_before(
    make_fleet: MakeFleet,
) -> None:
    fleet = make_fleet(4, "v1")
    address = next(iter(fleet.routers))
    await fleet.async_stop(address)
    started = fleet.start(address)
    await fleet.async_advance(2_000)
    assert started.origins.versions.get_only_version("models") == "v1"
    # Its word alone suffices for one that starts after the loss of all others.
    await fleet.async_stop(*list(fleet.routers)[1:])
    last = fleet.start("10.0.0.9:80")
    await fleet.async_advance(2_000)
    assert await last.async_find("unknown") == "v1"


async def test_version_that_others_have_seen_leave_is_not_overlooked(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(4, "v1", "v2")
    address = next(iter(fleet.routers))
    await fleet.async_stop(address)
    fleet.list_upstream("i-1", "v2", EntryState.GONE)
    started = fleet.start(address)
    await fleet.async_advance(3_000)
    assert started.origins.versions.get_only_version("models") is None
    assert await started.async_find("unknown") is None


@pytest.mark.parametrize(("versions", "expected"), [(("v1", "v1"), "v1"), (("v1", "v2"), None)])
async def test_stream_that_is_not_named_goes_on_unless_there_are_several_versions(
    make_fleet: MakeFleet, versions: tuple[str, ...], expected: str | None
) -> None:
    fleet = make_fleet(3, *versions)
    asker = next(iter(fleet.routers.values()))
    assert await asker.async_find(None) == expected
    await fleet.async_stop()
    for address in tuple(fleet.routers):
        fleet.start(address)
    await fleet.async_advance(TOLD_MS)
    asker = next(iter(fleet.routers.values()))
    assert await asker.async_find(None) == expected


async def test_answers_on_one_service_do_not_count_for_another(make_fleet: MakeFleet) -> None:
    fleet = make_fleet(4, "v1")
    fleet.list_upstream("i-8", "v1", service="drafts")
    fleet.list_upstream("i-9", "v2", service="drafts")
    asker = next(iter(fleet.routers.values()))
    found = await asyncio.gather(
        asker.async_find(None), asker.async_find(None, service="drafts"), asker.async_find(None)
    )
    assert list(found) == ["v1", None, "v1"]
