"""Removed upstreams that a full list lacks."""

from __future__ import annotations

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Record
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import ManualClock

READY, GONE = EntryState.READY, EntryState.GONE


def make_directory() -> Directory:
    app = Application(
        name="entry-1", role=Role.FORWARDER, data_centre="a", region="r", clock=ManualClock()
    )
    return Directory(app=app, journal=Journal(app=app))


def make_record(revision: int, state: EntryState, upstream: str = "i-1") -> Record:
    address = None if state is GONE else Address(host="10.0.0.1", port=80)
    entry = Entry(upstream=upstream, state=state, service="s", address=address)
    return Record(revision=revision, entry=entry)


def test_peer_does_not_return_an_upstream_that_the_full_list_lacks() -> None:
    directory = make_directory()
    directory.replace_all([make_record(70, READY, "i-2")], revision=75, source="store")
    assert not directory.merge(make_record(26, READY), source="entry-2", confirmed=True)
    assert directory.get("i-1") is None
    assert directory.merge(make_record(76, READY), source="entry-2", confirmed=True)


def test_full_list_of_a_peer_removes_only_what_it_covers() -> None:
    directory = make_directory()
    old, new = make_record(26, READY), make_record(80, READY, "i-2")
    directory.replace_all([old, new], revision=80, source="store")
    assert directory.remove_unlisted({"i-3"}, revision=75, source="entry-2") == 1
    first, second = directory.get("i-1"), directory.get("i-2")
    assert first is not None
    assert second is not None
    assert (first.state, second.state) == (GONE, READY)
