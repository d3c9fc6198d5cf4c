"""A kept connection that its upstream has closed gets no request."""

from __future__ import annotations

import pytest
from stating_upstream import StatingUpstream, async_until, make_pool

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.health.start_check import StartCheck
from gypsumrouter.helpers.socket_state import has_peer_ended
from gypsumrouter.journal import Journal


# Guards against a request that must not be repeated and dies on a connection whose end has arrived
# while this process stood still or was busy.
@pytest.mark.parametrize("repeatable", [False, True])
async def test_request_is_sent_on_a_kept_connection_whose_end_is_not_read_yet(
    repeatable: bool,
) -> None:
    app = Application(name="r1", role=Role.FORWARDER, data_centre="dc", region="r")
    upstream = StatingUpstream()
    entry = await upstream.async_start()
    pool = make_pool(app, upstream, Directory(app=app, journal=Journal(app=app)))
    kept = (await pool.async_acquire(entry, repeatable=repeatable, timeout_ms=500)).connection
    pool.release(entry, kept)
    assert kept.transport is not None
    # The event loop reports no end, as before its next turn.
    kept.transport.pause_reading()
    upstream.end_connections()
    await async_until(lambda: has_peer_ended(kept.transport))
    assert kept.reusable
    pooled = await pool.async_acquire(entry, repeatable=repeatable, timeout_ms=500)
    assert not pooled.reused
    # What the next start of the upstream is, has to be asked.
    await pool.async_acquire(
        entry, repeatable=repeatable, timeout_ms=500, start_check=StartCheck.IF_LOST
    )
    assert upstream.questions == 1
    upstream.stop()
    await app.async_stop()
