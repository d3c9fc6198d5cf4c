"""Routers that exchange the origins of streams, over in-memory links on a manual clock."""

from __future__ import annotations

import asyncio

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Record
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.link import Hello, Notice, NoticeHub, Peer
from gypsumrouter.link.notice_codec import decode_notice, encode_notice
from gypsumrouter.peers.routers import RouterRegistry
from gypsumrouter.peers.streams import StreamExchange
from gypsumrouter.streams import OriginDecision, StreamOrigin, StreamOrigins, VersionHistory
from gypsumrouter.util.clock import ManualClock

SERVICE = "models"
STEP_MS = 25


class StreamPeer(Peer):
    """In-memory link to a router; `sender` gets the replies."""

    def __init__(self, *, sender: StreamRouter, target: StreamRouter) -> None:
        self._sender = sender
        self._target = target
        self.hello = Hello(name=target.address, role=Role.FORWARDER, incarnation=1)

    def send(self, notice: Notice) -> bool:
        """Deliver a notice as it is encoded, unless one of the two has stopped or is cut off."""
        if not (self._sender.running and self._target.running):
            return False
        if self._sender.cut_group != self._target.cut_group:
            # Nothing tells the sender that it is lost.
            return True
        kind, body = encode_notice(notice)
        self._sender.sent_bytes += len(body)
        self._sender.sent_notices += 1
        back = StreamPeer(sender=self._target, target=self._sender)
        decoded = decode_notice(kind, body)
        asyncio.get_running_loop().call_soon(self._target.notices.publish, back, decoded)
        return True


class StreamRouter:
    """The parts of a forwarder that know of streams; `list_age_ms` is the age of its list.

    Links pass nothing between routers with another `cut_group`.
    """

    def __init__(self, *, fleet: StreamFleet, address: str, first_start: bool) -> None:
        self.address = address
        self.running = True
        self.list_age_ms = 0
        self.list_as_of = 0
        self.reaches_store = True
        self.cut_group = 0
        self.sent_bytes = 0
        self.sent_notices = 0
        self._fleet = fleet
        self.app = Application(
            name=address, role=Role.FORWARDER, data_centre="dc", region="r", clock=fleet.clock
        )
        self.directory = Directory(app=self.app, journal=Journal(app=self.app))
        self.notices = NoticeHub()
        self.registry = RouterRegistry(clock=fleet.clock, own_address=address, data_centre="dc")
        self.origins = StreamOrigins(
            app=self.app,
            versions=VersionHistory(
                clock=fleet.clock,
                directory=self.directory,
                get_list_age_ms=lambda: self.list_age_ms,
                get_list_as_of=lambda: self.list_as_of,
                first_start=first_start,
            ),
        )
        self.exchange = StreamExchange(
            app=self.app,
            routers=self.registry,
            notices=self.notices,
            origins=self.origins,
            send=self._async_send,
            confirm_list=self._async_confirm_list,
        )
        self.origins.set_peers(self.exchange)
        self.exchange.async_start()

    async def _async_send(self, address: str, notice: Notice) -> bool:
        target = self._fleet.routers[address]
        return StreamPeer(sender=self, target=target).send(notice)

    async def _async_confirm_list(self) -> bool:
        """Ask the store for changes, or a router that reaches it, if one can be reached."""
        reached = any(
            router.reaches_store
            for router in self._fleet.routers.values()
            if router.running and router.cut_group == self.cut_group
        )
        if reached:
            self._fleet.update_list(self)
        return reached

    def lose_store(self, *, list_age_ms: int) -> None:
        """Cut the router off from the store, whose last word was a while ago."""
        self.reaches_store = False
        self.list_age_ms = list_age_ms

    def begin(self, request_id: str, version: str) -> None:
        """Begin a stream at a version."""
        self.origins.note_begun(request_id, StreamOrigin(service=SERVICE, version=version))

    async def async_find(self, request_id: str | None, *, service: str = SERVICE) -> str | None:
        """Return the version at which a stream may go on, None if it is refused."""
        decision = await self.async_decide(request_id, service=service)
        return None if decision.origin is None else decision.origin.version

    async def async_decide(
        self, request_id: str | None, *, service: str = SERVICE
    ) -> OriginDecision:
        """Return at which origin a stream may go on, and on whose word."""
        return await self.origins.async_find(request_id, service=service, services=[service])


class StreamFleet:
    """A number of routers that know each other, and follow one list of upstreams."""

    def __init__(self, size: int, *, first_start: bool = True) -> None:
        self.clock = ManualClock(now_ms=1_000_000)
        self.routers: dict[str, StreamRouter] = {}
        self._entries: dict[str, Record] = {}
        self._revision = 0
        for number in range(size):
            self.start(f"10.0.0.{number}:80", first_start=first_start)

    def start(self, address: str, *, first_start: bool = False) -> StreamRouter:
        """Start a router, or a new process of one that was stopped."""
        router = StreamRouter(fleet=self, address=address, first_start=first_start)
        self.routers[address] = router
        for other in self.routers.values():
            other.registry.add(address, data_centre="dc")
            router.registry.add(other.address, data_centre="dc")
        router.directory.replace_all(
            self._entries.values(), revision=self._revision, source="platform"
        )
        router.list_as_of = self._revision
        return router

    def update_list(self, router: StreamRouter) -> None:
        """Let a router read the changes of the list."""
        for record in self._entries.values():
            router.directory.merge(record, source="platform")
        router.list_as_of = self._revision
        router.list_age_ms = 0

    async def async_stop(self, *addresses: str) -> None:
        """Stop these routers, or all of them."""
        for address in addresses or tuple(self.routers):
            self.routers[address].running = False
            await self.routers[address].app.async_stop()

    def list_upstream(
        self,
        upstream: str,
        version: str,
        state: EntryState = EntryState.READY,
        *,
        service: str = SERVICE,
    ) -> None:
        """Write an upstream into the list, which all running routers with a new list follow."""
        self._revision += 1
        entry = Entry(
            upstream=upstream,
            state=state,
            service=service,
            version=version,
            address=Address(host="10.1.0.1", port=80),
        )
        self._entries[upstream] = Record(revision=self._revision, entry=entry)
        for router in self.routers.values():
            if router.running and router.reaches_store:
                self.update_list(router)

    async def async_advance(self, duration_ms: int) -> None:
        """Advance the clock in steps and run all due tasks."""
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            for _ in range(8):
                await asyncio.sleep(0)
