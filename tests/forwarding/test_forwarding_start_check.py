"""The start of an upstream that its entry states is checked on its connections."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from stating_upstream import (
    StatingUpstream,
    async_begin_answer,
    async_until,
    make_pool,
)

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry
from gypsumrouter.forwarding.connections import ConnectionPool
from gypsumrouter.forwarding.ends.starts import (
    QUESTION_BURST,
    ListTimes,
    UpstreamStarts,
    is_start_proven,
)
from gypsumrouter.forwarding.health.start_check import StartCheck
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    HttpConnection,
    StartSource,
)
from gypsumrouter.helpers.socket_state import has_peer_ended
from gypsumrouter.journal import Journal


@pytest.fixture
async def upstream() -> AsyncIterator[StatingUpstream]:
    upstream = StatingUpstream()
    yield upstream
    upstream.stop()


@pytest.fixture
async def app() -> AsyncIterator[Application]:
    app = Application(name="r1", role=Role.FORWARDER, data_centre="dc", region="r")
    yield app
    await app.async_stop()


@pytest.fixture
def pool(app: Application, upstream: StatingUpstream) -> ConnectionPool:
    """Return a pool that knows no list, so that the list proves nothing."""
    return make_pool(app, upstream, Directory(app=app, journal=Journal(app=app)))


@pytest.fixture
async def entry(upstream: StatingUpstream) -> Entry:
    """Start the upstream, and return its entry."""
    return await upstream.async_start()


async def async_connect(pool: ConnectionPool, entry: Entry, check: StartCheck) -> HttpConnection:
    pooled = await pool.async_acquire(entry, repeatable=True, timeout_ms=500, start_check=check)
    return pooled.connection


async def test_connection_that_is_still_open_vouches_for_a_later_one(
    pool: ConnectionPool, upstream: StatingUpstream, entry: Entry
) -> None:
    for _ in range(3):
        await async_connect(pool, entry, StartCheck.ALWAYS)
    assert upstream.questions == 1


async def test_stream_goes_on_only_where_the_upstream_itself_stated_its_start(
    pool: ConnectionPool, upstream: StatingUpstream, entry: Entry
) -> None:
    await async_connect(pool, entry, StartCheck.ALWAYS)
    # The loss of the first connection has not been noticed yet.
    upstream.start_again()
    with pytest.raises(ConnectFailed):
        await async_connect(pool, entry, StartCheck.CONFIRMED)


async def test_upstream_is_asked_after_a_lost_connection_only(
    pool: ConnectionPool, upstream: StatingUpstream, entry: Entry
) -> None:
    first = await async_connect(pool, entry, StartCheck.IF_LOST)
    assert upstream.questions == 0
    first.connection_lost(ConnectionResetError())
    await async_connect(pool, entry, StartCheck.IF_LOST)
    assert upstream.questions == 1
    second = await async_connect(pool, entry, StartCheck.IF_LOST)
    second.close()
    assert upstream.questions == 1


# Guards against a start that is only taken from an entry and vouches for other connections.
async def test_connection_whose_start_is_taken_from_the_entry_does_not_vouch_for_others(
    pool: ConnectionPool, upstream: StatingUpstream, entry: Entry
) -> None:
    first = await async_connect(pool, entry, StartCheck.IF_LOST)
    assert first.start_source is StartSource.ENTRY
    upstream.start_again()
    with pytest.raises(ConnectFailed):
        await async_connect(pool, entry, StartCheck.ALWAYS)
    assert upstream.questions == 1
    # From now on the entry is not taken for true.
    with pytest.raises(ConnectFailed):
        await async_connect(pool, entry, StartCheck.IF_LOST)


# Guards against the trust in an open connection whose end has arrived and isn't read yet: it led to
# a start that has ended, and a new connection may lead to the next one.
async def test_connection_whose_end_is_not_read_yet_does_not_vouch_for_a_later_one(
    pool: ConnectionPool, upstream: StatingUpstream, entry: Entry
) -> None:
    first = await async_connect(pool, entry, StartCheck.ALWAYS)
    assert first.start_source is StartSource.ANSWER
    assert first.transport is not None
    # The event loop reports no end, as before its next turn.
    first.transport.pause_reading()
    upstream.end_connections()
    await async_until(lambda: has_peer_ended(first.transport))
    upstream.start_again()
    assert (first.open, first.ended_ms) == (True, 0)
    with pytest.raises(ConnectFailed):
        await async_connect(pool, entry, StartCheck.ALWAYS)
    assert upstream.questions == 2


# Guards against the trust in a connection of which nothing is read, as its caller rests: its end
# may wait behind bytes for which there is no room.
async def test_connection_of_which_nothing_is_read_does_not_vouch_for_a_later_one(
    pool: ConnectionPool, upstream: StatingUpstream, entry: Entry
) -> None:
    first = await async_connect(pool, entry, StartCheck.ALWAYS)
    await async_begin_answer(first, upstream.accepted[-1])
    first.pause_reading()
    upstream.start_again()
    assert not has_peer_ended(first.transport)
    with pytest.raises(ConnectFailed):
        await async_connect(pool, entry, StartCheck.ALWAYS)
    assert upstream.questions == 2


async def test_connection_that_was_used_on_trust_is_checked_when_it_matters(
    pool: ConnectionPool, upstream: StatingUpstream, entry: Entry
) -> None:
    pool.release(entry, await async_connect(pool, entry, StartCheck.IF_LOST))
    upstream.start_again()
    with pytest.raises(ConnectFailed):
        await async_connect(pool, entry, StartCheck.ALWAYS)


async def test_start_is_proven_by_one_question_for_all_connections_opened_before(
    pool: ConnectionPool, upstream: StatingUpstream, entry: Entry
) -> None:
    connections = [await async_connect(pool, entry, StartCheck.IF_LOST) for _ in range(5)]
    proofs = [pool.prove_start(entry, connection) for connection in connections]
    assert not any(proof.holds() for proof in proofs)
    for proof in proofs:
        await proof.async_settle()
    assert all(proof.holds() for proof in proofs)
    assert upstream.questions == 1


# Guards against a stream that is bound to a version by a connection without an end: a proxy keeps
# it open behind the end of its process, or its FIN was lost in a cut link.
async def test_connection_that_outlives_its_process_proves_the_start_of_a_later_one(
    pool: ConnectionPool, upstream: StatingUpstream, entry: Entry
) -> None:
    await async_connect(pool, entry, StartCheck.ALWAYS)
    upstream.start_again()
    later = await async_connect(pool, entry, StartCheck.ALWAYS)
    proof = pool.prove_start(entry, later)
    assert not proof.holds()
    await proof.async_settle()
    assert not proof.holds()


# Guards against streams that may not go on anywhere, since only a question would prove their start.
async def test_answer_on_an_older_connection_proves_nothing_of_a_later_one(
    pool: ConnectionPool, upstream: StatingUpstream, entry: Entry
) -> None:
    first = await async_connect(pool, entry, StartCheck.ALWAYS)
    sent_before_ms = pool.now_ms() - 1
    later = await async_connect(pool, entry, StartCheck.ALWAYS)
    upstream.is_silent = True
    proof = pool.prove_start(entry, later)
    # An answer to a request from before the later connection proves nothing, one from then on does.
    pool.note_answered(entry, first, sent_ms=sent_before_ms)
    assert not proof.holds()
    pool.note_answered(entry, later, sent_ms=pool.now_ms())
    assert not proof.holds()
    pool.note_answered(entry, first, sent_ms=pool.now_ms())
    assert proof.holds()


async def test_questions_beside_requests_are_bounded(
    app: Application, upstream: StatingUpstream
) -> None:
    directory = Directory(app=app, journal=Journal(app=app))
    starts = UpstreamStarts(clock=app.clock, directory=directory, get_list_age_ms=lambda: 0)
    assert 0 < sum(starts.may_ask() for _ in range(100)) <= QUESTION_BURST + 1


OPENED_MS = 1_000
TIMES = ListTimes(registration_ms=1_800, expiry_ms=4_200)
REGISTERED_MS = OPENED_MS + TIMES.registration_ms
EXPIRED_MS = OPENED_MS + TIMES.expiry_ms


@pytest.mark.parametrize(
    ("source", "alive_ms", "stated_ms", "listed_ms", "proven"),
    [
        # Stated by the upstream on this connection, or known at the time it was opened.
        (StartSource.ANSWER, OPENED_MS, None, None, True),
        (StartSource.LIST, OPENED_MS, None, None, True),
        # Taken from an older connection without an end, or from the entry, however young the list.
        (StartSource.CONNECTION, OPENED_MS, None, OPENED_MS, False),
        (StartSource.CONNECTION, OPENED_MS, OPENED_MS, None, True),
        (StartSource.ENTRY, OPENED_MS, None, OPENED_MS, False),
        (StartSource.UNKNOWN, OPENED_MS, None, OPENED_MS, False),
        # The upstream stated its start before the connection was opened, or after.
        (StartSource.ENTRY, OPENED_MS, OPENED_MS - 1, None, False),
        (StartSource.ENTRY, OPENED_MS, OPENED_MS, None, True),
        # It ran long enough to be listed, and the list is as young.
        (StartSource.ENTRY, REGISTERED_MS, None, REGISTERED_MS, True),
        (StartSource.ENTRY, REGISTERED_MS, None, REGISTERED_MS - 1, False),
        # It ended before, so that it may never have been listed.
        (StartSource.ENTRY, REGISTERED_MS - 1, None, REGISTERED_MS, False),
        (StartSource.ENTRY, OPENED_MS, None, EXPIRED_MS - 1, False),
        # The entry of a start that had ended before would have been removed.
        (StartSource.ENTRY, OPENED_MS, None, EXPIRED_MS, True),
        # The upstream left the list, or the store is away.
        (StartSource.ENTRY, EXPIRED_MS, None, None, False),
    ],
)
def test_start_is_proven_only_by_what_is_younger_than_the_connection(
    source: StartSource,
    alive_ms: int,
    stated_ms: int | None,
    listed_ms: int | None,
    proven: bool,
) -> None:
    assert proven == is_start_proven(
        source=source,
        opened_ms=OPENED_MS,
        alive_ms=alive_ms,
        stated_ms=stated_ms,
        listed_ms=listed_ms,
        times=TIMES,
    )
