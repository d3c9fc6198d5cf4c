"""A pool with connections to one upstream, and what is known of the ends of its answers."""

from __future__ import annotations

import asyncio

from stating_upstream import StatingUpstream, async_until, make_pool

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, Record
from gypsumrouter.forwarding.ends.evidence import EndChecks
from gypsumrouter.forwarding.ends.verdicts import EndVerdict
from gypsumrouter.helpers.http_connection import HttpConnection
from gypsumrouter.journal import Journal
from gypsumrouter.routing import RoutingStore


class Checked:
    """A pool with connections to one upstream, and the checks of its answers."""

    def __init__(self, app: Application, upstream: StatingUpstream, entry: Entry) -> None:
        self.upstream = upstream
        self.entry = entry
        journal = Journal(app=app)
        directory = self.directory = Directory(app=app, journal=journal)
        directory.merge(Record(revision=1, entry=entry), source="test")
        self.pool = make_pool(app, upstream, directory)
        self.checks = EndChecks(
            app=app,
            pool=self.pool,
            directory=directory,
            routing=RoutingStore(app=app, journal=journal),
            journal=journal,
        )
        self._count = 0

    async def async_open(self) -> tuple[HttpConnection, asyncio.StreamWriter]:
        """Open a connection; return both ends of it."""
        pooled = await self.pool.async_acquire(self.entry, repeatable=True, timeout_ms=500)
        self._count += 1
        await async_until(lambda: len(self.upstream.accepted) == self._count)
        return pooled.connection, self.upstream.accepted[-1]

    async def async_check(self, connection: HttpConnection) -> EndVerdict:
        """Return what is known once the upstream has closed a connection."""
        await async_until(lambda: connection.ended_ms)
        watch = self.checks.watch(self.entry, connection)
        return await self.checks.async_check(watch, request_id="r1")
