"""Fetch a newer configuration from peers, part by part, and hand parts on to them."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from gypsumrouter.configuration.const import (
    FETCH_WAIT_MS,
    MAX_PARTS_BYTES,
    MAX_PARTS_IN_REQUEST,
)
from gypsumrouter.configuration.outcomes import Rejected
from gypsumrouter.configuration.parts import is_manifest, unpack_part
from gypsumrouter.configuration.store import ConfigurationStore
from gypsumrouter.configuration.waiting import async_wait
from gypsumrouter.link.models import (
    ConfigurationAnnouncement,
    ConfigurationParts,
    ConfigurationPartsRequest,
    Hello,
    Notice,
)

if TYPE_CHECKING:
    from gypsumrouter.core import Application

_LOGGER = logging.getLogger(__name__)

_MAX_REFUSED = 64


class Sender(Protocol):
    """The end of an open link that a notice came from."""

    @property
    def hello(self) -> Hello:
        """Return who stands at the other end."""

    def send(self, notice: Notice) -> bool:
        """Send a notice; return whether the link is still open."""


class PartsFetcher:
    """Bring the newest version that peers have told of into the store, one at a time."""

    __slots__ = (
        "_app",
        "_bodies",
        "_manifest",
        "_newest",
        "_received",
        "_refused",
        "_running",
        "_sources",
        "_store",
        "fetched",
        "received_bytes",
    )

    def __init__(self, *, app: Application, store: ConfigurationStore) -> None:
        self._app = app
        self._store = store
        self._newest: ConfigurationAnnouncement | None = None
        self._sources: dict[str, Sender] = {}
        self._received = asyncio.Event()
        self._manifest: tuple[int, ...] = ()
        self._bodies: dict[int, bytes] = {}
        self._refused: dict[int, None] = {}
        self._running = False
        self.fetched = 0
        self.received_bytes = 0

    def offer(self, peer: Sender, news: ConfigurationAnnouncement) -> None:
        """Note that a peer has a version; fetch it if it is newer than what is in force."""
        if news.version <= self._store.current.version or news.digest in self._refused:
            return
        newest = self._newest
        if newest is None or news.version > newest.version:
            self._newest = news
            self._sources = {}
            self._received.set()
        elif news != newest:
            return
        self._sources[peer.hello.name] = peer
        if not self._running:
            self._running = True
            self._app.async_create_task(self._async_fetch_all(), "configuration fetch")

    def take(self, parts: ConfigurationParts) -> None:
        """Keep what a peer sent of the version that is fetched now."""
        newest = self._newest
        if newest is None or parts.version != newest.version:
            return
        if parts.manifest and is_manifest(newest.version, parts.manifest, newest.digest):
            self._manifest = parts.manifest
        missing = set(self._list_missing())
        for body in parts.parts:
            self.received_bytes += len(body)
            unpacked = unpack_part(body)
            if unpacked is not None and unpacked[0] in missing:
                self._bodies[unpacked[0]] = body
        self._received.set()

    async def _async_fetch_all(self) -> None:
        try:
            while self._newest is not None:
                news = self._newest
                if not await self._async_fetch(news) and self._newest is news:
                    self._forget()
        finally:
            self._running = False

    async def _async_fetch(self, news: ConfigurationAnnouncement) -> bool:
        """Fetch one version from the peers that have it; return whether that is settled."""
        self._manifest = ()
        while self._newest is news and self._sources:
            name = next(iter(self._sources))
            peer = self._sources.pop(name)
            if not await self._async_fetch_from(peer, news):
                continue
            if await self._async_apply(news):
                return True
        return False

    async def _async_fetch_from(self, peer: Sender, news: ConfigurationAnnouncement) -> bool:
        while self._newest is news:
            wanted = self._list_missing()
            if self._manifest and not wanted:
                return True
            request = ConfigurationPartsRequest(
                version=news.version, parts=wanted[:MAX_PARTS_IN_REQUEST]
            )
            if not await self._async_ask(peer, request):
                _LOGGER.debug("Peer %s did not hand on the configuration", peer.hello.name)
                return False
        return False

    async def _async_ask(self, peer: Sender, request: ConfigurationPartsRequest) -> bool:
        """Ask for parts and wait; return whether anything that was missing has come."""
        before = (bool(self._manifest), len(self._bodies))
        self._received.clear()
        if not peer.send(request):
            return False
        await async_wait(self._received, clock=self._app.clock, timeout_ms=FETCH_WAIT_MS)
        return (bool(self._manifest), len(self._bodies)) != before

    async def _async_apply(self, news: ConfigurationAnnouncement) -> bool:
        outcome = await self._store.async_offer_parts(
            version=news.version, manifest=self._manifest, bodies=self._bodies
        )
        match outcome:
            case None:
                return False
            case Rejected():
                self._refuse(news.digest)
            case _:
                self.fetched += 1
        if self._newest is news:
            self._forget()
        return True

    def _list_missing(self) -> tuple[int, ...]:
        held = self._store.parts.parts
        unique = dict.fromkeys(self._manifest)
        return tuple(d for d in unique if d not in held and d not in self._bodies)

    def _forget(self) -> None:
        self._newest = None
        self._sources = {}
        self._manifest = ()
        self._bodies = {}

    def _refuse(self, digest: int) -> None:
        """Remember content that this process rejects, so that it is not fetched again."""
        self._refused[digest] = None
        while len(self._refused) > _MAX_REFUSED:
            del self._refused[next(iter(self._refused))]


def answer_parts_request(
    store: ConfigurationStore, request: ConfigurationPartsRequest
) -> ConfigurationAnnouncement | ConfigurationParts:
    """Return what was asked for, as far as it is held and one message may carry.

    A request for another version than the one in force, or for version 0, is answered with the
    version that is in force.
    """
    held = store.parts
    if request.version != held.version or held.version == 0:
        return ConfigurationAnnouncement(version=held.version, digest=held.digest)
    if not request.parts:
        return ConfigurationParts(version=held.version, manifest=held.manifest)
    bodies: list[bytes] = []
    size = 0
    for digest in request.parts[:MAX_PARTS_IN_REQUEST]:
        part = held.parts.get(digest)
        if part is None:
            continue
        size += len(part.body)
        if bodies and size > MAX_PARTS_BYTES:
            break
        bodies.append(part.body)
    return ConfigurationParts(version=held.version, parts=tuple(bodies))
