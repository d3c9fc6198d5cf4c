"""Catching up from a peer, where this router does not read the platform's store itself."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuations, Record
from gypsumrouter.exceptions import DocumentInvalid
from gypsumrouter.instances import parse_address
from gypsumrouter.journal import Journal, PeerNews
from gypsumrouter.link import (
    CatchUp,
    EvacuationTold,
    ListedUpstream,
    ListedUpstreams,
    NoticeHub,
    Peer,
    RoutingDocument,
    StoreWatched,
)
from gypsumrouter.peers.const import (
    CATCH_UP_DELAY_MS,
    CATCH_UP_INTERVAL_MS,
    WATCHER_CATCH_UP_INTERVAL_MS,
)
from gypsumrouter.peers.evacuations import encode_evacuations, merge_evacuations
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingConfiguration, RoutingStore

_LOGGER = logging.getLogger(__name__)

NEVER_MS: Final = -(1 << 62)


class CatchUpCoordinator:
    """Asks peers for what they know and this router does not, and answers them alike."""

    __slots__ = (
        "_app",
        "_behind_list_ms",
        "_behind_routing_ms",
        "_decode",
        "_directory",
        "_evacuations",
        "_journal",
        "_last_request_ms",
        "_last_watched",
        "_last_watched_ms",
        "_list_state",
        "_routing",
        "_routing_state",
    )

    def __init__(
        self,
        *,
        app: Application,
        journal: Journal,
        routing: RoutingStore,
        directory: Directory,
        evacuations: Evacuations,
        notices: NoticeHub,
        decode: Callable[[bytes], RoutingConfiguration],
        routing_state: WatchState,
        upstreams: WatchState,
    ) -> None:
        self._app = app
        self._journal = journal
        self._routing = routing
        self._directory = directory
        self._evacuations = evacuations
        self._decode = decode
        self._routing_state = routing_state
        self._list_state = upstreams
        self._behind_routing_ms: int | None = None
        self._behind_list_ms: int | None = None
        self._last_request_ms = NEVER_MS
        # What the last question to a watcher was for, and when it was asked.
        self._last_watched = (0, 0)
        self._last_watched_ms = NEVER_MS
        notices.subscribe(CatchUp, self._handle_request)
        notices.subscribe(RoutingDocument, self._handle_routing)
        notices.subscribe(ListedUpstreams, self._handle_upstreams)

    def check_versions(self, peer: Peer, *, routing_version: int, list_revision: int) -> None:
        """Ask a peer that has been ahead for longer than the platform's own news take."""
        now_ms = self._app.clock.now_ms()
        routing = routing_version > self._routing.version
        upstreams = list_revision > self._directory.newest
        self._behind_routing_ms = _get_behind_since(self._behind_routing_ms, routing, now_ms)
        self._behind_list_ms = _get_behind_since(self._behind_list_ms, upstreams, now_ms)
        if now_ms - self._last_request_ms < CATCH_UP_INTERVAL_MS:
            return
        request = CatchUp(
            routing=routing and self._is_overdue(self._behind_routing_ms, now_ms),
            upstreams=upstreams and self._is_overdue(self._behind_list_ms, now_ms),
            since=self._get_list_as_of(),
        )
        if (request.routing or request.upstreams) and peer.send(request):
            self._last_request_ms = now_ms

    def handle_announcement(self, peer: Peer, watched: StoreWatched) -> None:
        """Ask a router that watches for what it knows and this one does not."""
        self.merge_evacuations(peer, watched.evacuations)
        routing = watched.routing_version > self._routing.version
        upstreams = watched.list_newest > self._get_list_as_of()
        if not routing:
            self._routing_state.advance(watched.routing_as_of)
        if not upstreams:
            self._list_state.advance(watched.list_as_of)
        if not (routing or upstreams) or not self._should_request(watched):
            return
        since = self._get_list_as_of()
        peer.send(CatchUp(routing=routing, upstreams=upstreams, since=since))

    def merge_evacuations(self, peer: Peer, told: tuple[EvacuationTold, ...]) -> None:
        """Take what a peer knows of evacuations, which all news bring whole."""
        merge_evacuations(self._evacuations, told, source=peer.hello.name)

    def _should_request(self, watched: StoreWatched) -> bool:
        """Return whether to request: two watchers tell the same, and only one is asked."""
        now_ms = self._app.clock.now_ms()
        told = (watched.routing_version, watched.list_newest)
        newer = any(new > asked for new, asked in zip(told, self._last_watched, strict=True))
        if not newer and now_ms - self._last_watched_ms < WATCHER_CATCH_UP_INTERVAL_MS:
            return False
        self._last_watched = told
        self._last_watched_ms = now_ms
        return True

    def _get_list_as_of(self) -> int:
        return self._directory.limit_to_acted_on(self._list_state.as_of or 0)

    def _is_overdue(self, since_ms: int | None, now_ms: int) -> bool:
        """Return whether to request now; a process that knows nothing yet asks at once."""
        if self._routing.table is None or not self._directory.loaded.is_set():
            return True
        return since_ms is not None and now_ms - since_ms >= CATCH_UP_DELAY_MS

    def _handle_request(self, peer: Peer, request: CatchUp) -> None:
        table = self._routing.table
        if request.routing and table is not None:
            configuration = table.configuration
            peer.send(
                RoutingDocument(
                    version=configuration.version,
                    document=configuration.document,
                    evacuations=encode_evacuations(self._evacuations),
                )
            )
        if request.upstreams and self._directory.loaded.is_set():
            records = self._directory.records(since=request.since)
            entries = tuple(_encode_record(record) for record in records)
            peer.send(ListedUpstreams(entries=entries, as_of=self._get_list_as_of()))

    def _handle_routing(self, peer: Peer, told: RoutingDocument) -> None:
        # Before the configuration, with which a router that starts may begin to send.
        self.merge_evacuations(peer, told.evacuations)
        try:
            configuration = self._decode(told.document)
        except DocumentInvalid as error:
            _LOGGER.error("%s sent an unreadable configuration: %s", peer.hello.name, error)
            return
        known = self._routing.version
        taken = self._routing.offer(configuration, source=peer.hello.name)
        self._journal.record(
            PeerNews(
                peer=peer.hello.name,
                subject="configuration",
                version=self._routing.version,
                known=known,
                told=1,
                taken=int(taken),
            )
        )

    def _handle_upstreams(self, peer: Peer, told: ListedUpstreams) -> None:
        known = self._get_list_as_of()
        taken = 0
        for entry in told.entries:
            try:
                record = _decode_record(entry)
            except ValueError as error:
                _LOGGER.error("%s sent an unreadable entry: %s", peer.hello.name, error)
                continue
            taken += self._directory.merge(record, source=peer.hello.name, settled=True)
        self._list_state.advance(told.as_of)
        self._directory.note_told()
        if told.entries:
            self._journal.record(
                PeerNews(
                    peer=peer.hello.name,
                    subject="upstreams",
                    version=self._get_list_as_of(),
                    known=known,
                    told=len(told.entries),
                    taken=taken,
                )
            )


def _get_behind_since(since_ms: int | None, behind: bool, now_ms: int) -> int | None:
    """Return since when this router is behind; news of a peer that is not ahead say nothing."""
    if not behind:
        return since_ms
    return now_ms if since_ms is None else since_ms


def _encode_record(record: Record) -> ListedUpstream:
    entry = record.entry
    return ListedUpstream(
        revision=record.revision,
        upstream=entry.upstream,
        state=entry.state.value,
        service=entry.service,
        address="" if entry.address is None else str(entry.address),
        data_centre=entry.data_centre,
        slots=entry.slots,
        born_ms=entry.born_ms,
        cold_ms=entry.cold_ms,
    )


def _decode_record(entry: ListedUpstream) -> Record:
    return Record(
        revision=entry.revision,
        entry=Entry(
            upstream=entry.upstream,
            state=EntryState(entry.state),
            service=entry.service,
            address=parse_address(entry.address) if entry.address else None,
            data_centre=entry.data_centre,
            slots=entry.slots,
            born_ms=entry.born_ms,
            cold_ms=entry.cold_ms,
        ),
    )
