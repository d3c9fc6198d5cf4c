"""Outages of the store that end before a router notices them, or before it asks the store itself.

Upstreams whose entries expired meanwhile register again within about two seconds.
"""

from __future__ import annotations

import pytest
from peer_fleet import STEP_MS, PeerFleet

from gypsumrouter.directory import EntryState
from gypsumrouter.util.heartbeats import DEFAULT_HEARTBEAT_MS, get_shortest_expiry_ms

SHORTEST_EXPIRY_MS = get_shortest_expiry_ms(DEFAULT_HEARTBEAT_MS)
RETURN_MS = 2_000
BOUND_MS = 1_500


@pytest.mark.parametrize("begins_ms", [200, 400, 1_000])
@pytest.mark.parametrize("lasts_ms", [SHORTEST_EXPIRY_MS, SHORTEST_EXPIRY_MS + 300, 3_000, 4_500])
@pytest.mark.parametrize("hangs", [True, False])
async def test_upstream_that_lapsed_in_an_outage_without_a_failed_call_was_dropped(
    begins_ms: int, lasts_ms: int, hangs: bool
) -> None:
    fleet = PeerFleet(6, 6, 6)
    await fleet.async_start()
    await fleet.async_advance(begins_ms)
    if hangs:
        fleet.store.set_hanging(True)
    else:
        for router in fleet.routers:
            router.partitioned = True
    # An entry expires no sooner than this after the last response to its upstream.
    await fleet.async_advance(lasts_ms)
    fleet.store.put(EntryState.GONE)
    fleet.store.set_hanging(False)
    for router in fleet.routers:
        router.partitioned = False
    for _ in range(RETURN_MS // STEP_MS):
        await fleet.async_advance(STEP_MS)
        gone = [r.name for r in fleet.routers if r.upstream_state is not EntryState.READY]
        assert gone == []
    fleet.store.put(EntryState.READY)
    await fleet.async_advance(BOUND_MS)
    assert {router.upstream_state for router in fleet.routers} == {EntryState.READY}
    await fleet.async_stop()
