"""Fetching of newer configurations from peers in parts, and answers to their part requests."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from gypsumrouter.configuration.const import (
    FETCH_TIMEOUT_MS,
    MAX_PARTS_MESSAGE_BYTES,
    MAX_PARTS_PER_REQUEST,
)
from gypsumrouter.configuration.outcomes import Rejected
from gypsumrouter.configuration.parts import matches_manifest_digest, unpack_part
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

_MAX_REJECTED_DIGESTS = 64


class PeerLink(Protocol):
    """An open link to the peer that sent a notice."""

    @property
    def hello(self) -> Hello:
        """Return the handshake of the peer."""

    def send(self, notice: Notice) -> bool:
        """Send a notice; return whether the link is still open."""


class PartsFetcher:
    """Fetch the newest version that peers have announced and offer it to the store.

    One version is fetched at a time; a newer announcement replaces the version being fetched.
    """

    __slots__ = (
        "_app",
        "_bodies",
        "_manifest",
        "_peers",
        "_received",
        "_rejected_digests",
        "_running",
        "_store",
        "_target",
        "fetched",
        "received_bytes",
    )

    def __init__(self, *, app: Application, store: ConfigurationStore) -> None:
        self._app = app
        self._store = store
        self._target: ConfigurationAnnouncement | None = None
        self._peers: dict[str, PeerLink] = {}
        self._received = asyncio.Event()
        self._manifest: tuple[int, ...] = ()
        self._bodies: dict[int, bytes] = {}
        self._rejected_digests: dict[int, None] = {}
        self._running = False
        self.fetched = 0
        self.received_bytes = 0

    def handle_announcement(self, peer: PeerLink, announcement: ConfigurationAnnouncement) -> None:
        """Record that a peer has a version; fetch it if it is newer than the one in force."""
        if (
            announcement.version <= self._store.current.version
            or announcement.digest in self._rejected_digests
        ):
            return
        target = self._target
        if target is None or announcement.version > target.version:
            self._target = announcement
            self._peers = {}
            self._received.set()
        elif announcement != target:
            return
        self._peers[peer.hello.name] = peer
        if not self._running:
            self._running = True
            self._app.async_create_task(self._async_fetch_all(), "configuration fetch")

    def handle_parts(self, parts: ConfigurationParts) -> None:
        """Store the manifest and the missing parts of the version that is being fetched."""
        target = self._target
        if target is None or parts.version != target.version:
            return
        if parts.manifest and matches_manifest_digest(
            target.version, parts.manifest, target.digest
        ):
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
            while self._target is not None:
                announcement = self._target
                if not await self._async_fetch(announcement) and self._target is announcement:
                    self._reset()
        finally:
            self._running = False

    async def _async_fetch(self, announcement: ConfigurationAnnouncement) -> bool:
        """Fetch one version from the peers that have it; return whether the store decided on it."""
        self._manifest = ()
        while self._target is announcement and self._peers:
            name = next(iter(self._peers))
            peer = self._peers.pop(name)
            if not await self._async_fetch_from(peer, announcement):
                continue
            if await self._async_apply(announcement):
                return True
        return False

    async def _async_fetch_from(
        self, peer: PeerLink, announcement: ConfigurationAnnouncement
    ) -> bool:
        while self._target is announcement:
            missing = self._list_missing()
            if self._manifest and not missing:
                return True
            request = ConfigurationPartsRequest(
                version=announcement.version, parts=missing[:MAX_PARTS_PER_REQUEST]
            )
            if not await self._async_request_parts(peer, request):
                _LOGGER.debug(
                    "Peer %s did not send the requested configuration parts; trying the next peer",
                    peer.hello.name,
                )
                return False
        return False

    async def _async_request_parts(
        self, peer: PeerLink, request: ConfigurationPartsRequest
    ) -> bool:
        """Request parts and wait for them; return whether a manifest or a missing part arrived."""
        before = (bool(self._manifest), len(self._bodies))
        self._received.clear()
        if not peer.send(request):
            return False
        await async_wait(self._received, clock=self._app.clock, timeout_ms=FETCH_TIMEOUT_MS)
        return (bool(self._manifest), len(self._bodies)) != before

    async def _async_apply(self, announcement: ConfigurationAnnouncement) -> bool:
        outcome = await self._store.async_offer_parts(
            version=announcement.version, manifest=self._manifest, bodies=self._bodies
        )
        match outcome:
            case None:
                return False
            case Rejected():
                self._record_rejected(announcement.digest)
            case _:
                self.fetched += 1
        if self._target is announcement:
            self._reset()
        return True

    def _list_missing(self) -> tuple[int, ...]:
        current = self._store.parts.parts
        unique = dict.fromkeys(self._manifest)
        return tuple(d for d in unique if d not in current and d not in self._bodies)

    def _reset(self) -> None:
        self._target = None
        self._peers = {}
        self._manifest = ()
        self._bodies = {}

    def _record_rejected(self, digest: int) -> None:
        """Record content that failed validation, so that it is not fetched again."""
        self._rejected_digests[digest] = None
        while len(self._rejected_digests) > _MAX_REJECTED_DIGESTS:
            del self._rejected_digests[next(iter(self._rejected_digests))]


def answer_parts_request(
    store: ConfigurationStore, request: ConfigurationPartsRequest
) -> ConfigurationAnnouncement | ConfigurationParts:
    """Return the requested parts that are available, up to the size limit of one message.

    A request for version 0, or for a version that is not in force, is answered with the version
    that is in force.
    """
    current = store.parts
    if request.version != current.version or current.version == 0:
        return ConfigurationAnnouncement(version=current.version, digest=current.digest)
    if not request.parts:
        return ConfigurationParts(version=current.version, manifest=current.manifest)
    bodies: list[bytes] = []
    size = 0
    for digest in request.parts[:MAX_PARTS_PER_REQUEST]:
        part = current.parts.get(digest)
        if part is None:
            continue
        size += len(part.body)
        if bodies and size > MAX_PARTS_MESSAGE_BYTES:
            break
        bodies.append(part.body)
    return ConfigurationParts(version=current.version, parts=tuple(bodies))
