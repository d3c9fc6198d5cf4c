"""Odd entries of the store and the list that a router tells to its peers."""

from __future__ import annotations

import json
from typing import Any

import pytest
from msgspec.structs import replace
from peer_fleet import STEP_MS, FleetRouter, MemoryPeer, PeerFleet
from valid_entries import STORE_ENTRY

from gypsumrouter.bootstrap_followers import read_records
from gypsumrouter.directory import EntryState
from gypsumrouter.link import CatchUpRequest, ListedUpstream, ListedUpstreams
from gypsumrouter.link.const import MAX_FRAME_BYTES
from gypsumrouter.link.notice_codec import encode_notice
from gypsumrouter.published import Item

REVISION = 50
ODD_FIELDS: list[tuple[str, Any]] = [
    ("slots", 10**30),
    ("slots", 2**32),
    ("slots", 10**400),
    ("sequence", 10**30),
    ("sequence", -1),
    ("cold_left_ms", 10**12),
    ("version", "v" * 60_000),
    ("zone", "z" * 60_000),
    ("service", "s" * 60_000),
    ("address", f"[fe80::1%{'a' * 60_000}]:80"),
]


def make_item(upstream: str, revision: int = REVISION, **changed: Any) -> Item:
    value = json.dumps(STORE_ENTRY | changed).encode()
    return Item(key=f"servers/{upstream}", revision=revision, value=value)


def read_list(router: FleetRouter, *items: Item, revision: int = REVISION) -> None:
    """Merge a full list from the store, as a router that reads it does."""
    router.directory.replace_all(read_records(items), revision=revision, source="platform")


async def async_catch_up(fleet: PeerFleet, *, since: int = 0) -> FleetRouter:
    """Let the second router request the list from the first one."""
    told, asked = fleet.routers[1], fleet.routers[0]
    MemoryPeer(sender=told, target=asked).send(
        CatchUpRequest(routing=False, upstreams=True, since=since)
    )
    await fleet.async_advance(2 * STEP_MS)
    return told


def get_state(router: FleetRouter, upstream: str) -> EntryState | None:
    entry = router.directory.get(upstream)
    return None if entry is None else entry.state


@pytest.mark.parametrize(("field", "value"), ODD_FIELDS)
async def test_one_odd_entry_kept_the_whole_list_from_a_peer(field: str, value: Any) -> None:
    """The store is away for the router that starts, so that it has only its peer's list."""
    fleet = PeerFleet(2)
    odd = make_item("i-odd", **{field: value})
    read_list(fleet.routers[0], make_item("i-a"), odd, make_item("i-b"))
    told = await async_catch_up(fleet)
    assert told.directory.loaded.is_set()
    assert get_state(told, "i-a") is EntryState.READY
    assert get_state(told, "i-b") is EntryState.READY
    assert get_state(told, "i-odd") is None
    assert get_state(fleet.routers[0], "i-odd") is None
    await fleet.async_stop()


@pytest.mark.parametrize("born", [2**53, 10**30, "7", 1.5, 0, [7]])
async def test_entry_with_an_odd_start_was_not_told_to_a_peer(born: Any) -> None:
    """An odd start time counts as not stated, also at the peers."""
    fleet = PeerFleet(2)
    read_list(fleet.routers[0], make_item("i-a"), make_item("i-odd", born=born), make_item("i-b"))
    told = await async_catch_up(fleet)
    for router in (told, fleet.routers[0]):
        assert get_state(router, "i-a") is EntryState.READY
        assert get_state(router, "i-b") is EntryState.READY
        entry = router.directory.get("i-odd")
        assert entry is not None
        assert (entry.state, entry.started_ms) == (EntryState.READY, 0)
    await fleet.async_stop()


@pytest.mark.parametrize(("field", "value"), ODD_FIELDS)
async def test_entry_that_turns_odd_and_sound_again_kept_later_changes_from_a_peer(
    field: str, value: Any
) -> None:
    fleet = PeerFleet(2)
    states: list[tuple[EntryState | None, EntryState | None]] = []
    fields: list[dict[str, Any]] = [{}, {field: value}, {}, {field: value}, {}]
    for index, changed in enumerate(fields):
        revision = REVISION + 2 * index
        items = make_item("i-a", revision, **changed), make_item(f"i-{index}", revision + 1)
        if index:
            for record in read_records(items):
                fleet.routers[0].directory.merge(record, source="platform")
            fleet.routers[0].directory.note_read_revision(revision + 1)
        else:
            read_list(fleet.routers[0], *items, revision=revision + 1)
        told = await async_catch_up(fleet, since=revision - 1 if index else 0)
        states.append((get_state(told, "i-a"), get_state(told, f"i-{index}")))
    ready, unusable = EntryState.READY, EntryState.UNUSABLE
    first = [ready, unusable, ready, unusable, ready]
    assert states == [(state, ready) for state in first]
    await fleet.async_stop()


async def test_long_texts_of_other_writers_made_the_list_too_long_for_one_frame() -> None:
    fleet = PeerFleet(2)
    odd = [make_item(f"i-odd-{number}", version="v" * 60_000) for number in range(300)]
    read_list(fleet.routers[0], make_item("i-a"), *odd)
    entries = fleet.routers[0].catch_up.list_changes(0)
    _, body = encode_notice(entries)
    assert len(body) <= MAX_FRAME_BYTES
    assert get_state(await async_catch_up(fleet), "i-a") is EntryState.READY
    await fleet.async_stop()


@pytest.mark.parametrize(
    "changed",
    [{"address": f"10.1.0.9:{port}"} for port in ("0", "-5", "65536", "x", "9" * 6_000)]
    + [{"slots": 0}, {"state": "resting"}],
)
async def test_odd_entry_of_a_peer_was_used_for_requests(changed: dict[str, Any]) -> None:
    """A peer of an earlier version may tell entries that this one would not decode."""
    fleet = PeerFleet(2)
    told, peer = fleet.routers
    sound = ListedUpstream(
        revision=1, upstream="i-a", state="ready", service="s", address="10.1.0.9:80"
    )
    odd = replace(sound, upstream="i-odd", **changed)
    MemoryPeer(sender=peer, target=told).send(ListedUpstreams(entries=(odd, sound), as_of=1))
    await fleet.async_advance(STEP_MS)
    assert get_state(told, "i-a") is EntryState.READY
    assert get_state(told, "i-odd") is None
    await fleet.async_stop()
