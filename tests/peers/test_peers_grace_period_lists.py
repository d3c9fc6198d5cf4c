"""Full lists that a router sends while its own list may lack upstreams."""

from __future__ import annotations

from peer_fleet import STEP_MS, MemoryPeer, PeerFleet

from gypsumrouter.directory import EntryState
from gypsumrouter.directory.grace_period import RECOVERY_GRACE_MS
from gypsumrouter.link import CatchUpRequest, ListedUpstreams, Peer

LONG_SILENCE_MS = 60_000


async def test_incomplete_list_of_a_grace_period_was_sent_as_complete() -> None:
    """The list was read right after an outage, by a router that did not know i-1 before."""
    fleet = PeerFleet(2)
    restarted, other = fleet.routers
    sent: list[ListedUpstreams] = []
    other.notices.subscribe(ListedUpstreams, lambda peer, message: sent.append(message))
    restarted.directory.note_outage()
    restarted.directory.note_recovered(silent_ms=LONG_SILENCE_MS)
    restarted.directory.replace_all([], revision=fleet.store.as_of + 1, source="platform")
    other.directory.replace_all([], revision=fleet.store.as_of, source="platform")

    async def async_ask() -> ListedUpstreams:
        peer: Peer = MemoryPeer(sender=other, target=restarted)
        peer.send(CatchUpRequest(routing=False, upstreams=True, since=fleet.store.as_of))
        await fleet.async_advance(STEP_MS)
        return sent[-1]

    answer = await async_ask()
    assert not answer.complete
    assert answer.as_of == fleet.store.as_of
    await fleet.async_advance(RECOVERY_GRACE_MS)
    answer = await async_ask()
    assert answer.complete
    assert answer.as_of == fleet.store.as_of + 1
    await fleet.async_stop()


async def test_upstream_that_lapsed_was_removed_by_a_restarted_routers_list() -> None:
    fleet = PeerFleet(2)
    restarted, other = fleet.routers
    listed = fleet.store.list()
    other.take_all(listed)
    assert other.upstream_state is EntryState.READY
    restarted.directory.note_outage()
    restarted.directory.note_recovered(silent_ms=LONG_SILENCE_MS)
    restarted.directory.replace_all([], revision=listed.as_of + 1, source="platform")
    peer: Peer = MemoryPeer(sender=other, target=restarted)
    peer.send(CatchUpRequest(routing=False, upstreams=True, since=listed.as_of))
    await fleet.async_advance(RECOVERY_GRACE_MS - 2 * STEP_MS)
    assert other.upstream_state is EntryState.READY
    await fleet.async_stop()
