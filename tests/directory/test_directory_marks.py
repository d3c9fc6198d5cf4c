"""Marks of leaving upstreams that only one router has, from their responses."""

from __future__ import annotations

import pytest
from test_directory_restored import GONE, LEAVING, READY, Environment, make_record, revision_at


def make_marked_pair(epoch: int) -> tuple[Environment, Environment]:
    """Return two routers that know a ready upstream; the second one has marked it as leaving."""
    env, peer = Environment(), Environment()
    for each in (env, peer):
        each.directory.replace_all(
            [make_record(epoch, 50)], revision=revision_at(epoch, 50), source="platform"
        )
    entry = peer.directory.get("i-1")
    assert entry is not None
    peer.directory.note_leaving(entry.incarnation, source="response")
    return env, peer


def tell_all(env: Environment, peer: Environment) -> None:
    for record in peer.directory.list_told():
        env.directory.merge(record, source="peer", confirmed=True)


# Guards against one router's mark of an upstream, at the revision of the ready entry, that hides
# the upstream from all others though no backup can have lost a write.
@pytest.mark.parametrize("epoch", [0, 1, 2])
def test_mark_of_one_router_stays_with_it_if_no_store_was_restored(epoch: int) -> None:
    env, peer = make_marked_pair(epoch)
    tell_all(env, peer)
    assert env.get_state() is READY
    # The store's later writes of the same start don't spread it either.
    for each in (env, peer):
        each.directory.merge(make_record(epoch, 51), source="platform", confirmed=True)
    tell_all(env, peer)
    assert env.get_state() is READY
    assert peer.get_state() is LEAVING


# Guards against a leaving state of the store that is kept back as the upstream announced it too.
def test_leaving_state_that_the_store_confirms_is_told_to_peers() -> None:
    env, peer = make_marked_pair(1)
    peer.directory.merge(make_record(1, 60, LEAVING), source="platform")
    tell_all(env, peer)
    assert env.get_state() is LEAVING


# Guards against an equal revision that counts as a lost write in a store without epochs.
def test_leaving_state_at_an_equal_revision_is_ignored_without_an_epoch() -> None:
    env, _ = make_marked_pair(0)
    assert not env.directory.merge(make_record(0, 50, LEAVING), source="peer", confirmed=True)
    assert env.get_state() is READY


# Guards against a mark that spreads as the entry was read, or was written again, after it was made.
@pytest.mark.parametrize("was_known", [False, True])
def test_mark_made_before_the_ready_entry_was_read_stays_with_its_router(was_known: bool) -> None:
    env, peer = Environment(), Environment()
    if was_known:
        peer.directory.merge(make_record(1, 40), source="platform")
    entry = make_record(1, 50).entry
    peer.directory.note_leaving(entry.incarnation, source="response")
    if was_known:
        peer.directory.merge(make_record(1, 45, GONE), source="platform")
    for each in (env, peer):
        each.directory.merge(make_record(1, 50), source="platform")
    assert peer.get_state() is LEAVING
    tell_all(env, peer)
    assert env.get_state() is READY
