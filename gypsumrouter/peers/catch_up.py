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
from gypsumrouter.peers.const import BEHIND_MS, CATCH_UP_MS, WATCHED_CATCH_UP_MS
from gypsumrouter.peers.evacuations import take_evacuations, write_evacuations
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingConfiguration, RoutingStore

_LOGGER = logging.getLogger(__name__)

NEVER: Final = -(1 << 62)


class CatchUpDesk:
    """Asks peers for what they know and this router does not, and answers them alike."""

    __slots__ = (
        "_app",
        "_asked_ms",
        "_behind_list_ms",
        "_behind_routing_ms",
        "_decode",
        "_directory",
        "_evacuations",
        "_journal",
        "_list",
        "_routing",
        "_routing_state",
        "_watched",
        "_watched_ms",
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
        self._list = upstreams
        self._behind_routing_ms: int | None = None
        self._behind_list_ms: int | None = None
        self._asked_ms = NEVER
        # What the last question to a watcher was for, and when it was asked.
        self._watched = (0, 0)
        self._watched_ms = NEVER
        notices.subscribe(CatchUp, self._answer)
        notices.subscribe(RoutingDocument, self._take_routing)
        notices.subscribe(ListedUpstreams, self._take_upstreams)

    def compare(self, peer: Peer, *, routing_version: int, list_revision: int) -> None:
        """Ask a peer that has been ahead for longer than the platform's own news take."""
        now_ms = self._app.clock.now_ms()
        routing = routing_version > self._routing.version
        upstreams = list_revision > self._directory.applied_revision
        self._behind_routing_ms = _since(self._behind_routing_ms, routing, now_ms)
        self._behind_list_ms = _since(self._behind_list_ms, upstreams, now_ms)
        if now_ms - self._asked_ms < CATCH_UP_MS:
            return
        ask = CatchUp(
            routing=routing and self._is_due(self._behind_routing_ms, now_ms),
            upstreams=upstreams and self._is_due(self._behind_list_ms, now_ms),
            since=self._get_list_as_of(),
        )
        if (ask.routing or ask.upstreams) and peer.send(ask):
            self._asked_ms = now_ms

    def take_watched(self, peer: Peer, watched: StoreWatched) -> None:
        """Ask a router that watches for what it knows and this one does not."""
        self.take_evacuations(peer, watched.evacuations)
        routing = watched.routing_version > self._routing.version
        upstreams = watched.list_newest > self._get_list_as_of()
        if not routing:
            self._routing_state.advance(watched.routing_as_of)
        if not upstreams:
            self._list.advance(watched.list_as_of)
        if not (routing or upstreams) or not self._is_news(watched):
            return
        since = self._get_list_as_of()
        peer.send(CatchUp(routing=routing, upstreams=upstreams, since=since))

    def take_evacuations(self, peer: Peer, told: tuple[EvacuationTold, ...]) -> None:
        """Take what a peer knows of evacuations, which all news bring whole."""
        take_evacuations(self._evacuations, told, source=peer.hello.name)

    def _is_news(self, watched: StoreWatched) -> bool:
        """Return whether to ask: two watchers tell the same, and only one is asked."""
        now_ms = self._app.clock.now_ms()
        told = (watched.routing_version, watched.list_newest)
        newer = any(new > asked for new, asked in zip(told, self._watched, strict=True))
        if not newer and now_ms - self._watched_ms < WATCHED_CATCH_UP_MS:
            return False
        self._watched = told
        self._watched_ms = now_ms
        return True

    def _get_list_as_of(self) -> int:
        return self._directory.limit_to_applied(self._list.as_of or 0)

    def _is_due(self, since_ms: int | None, now_ms: int) -> bool:
        """Return whether to ask now; a process that knows nothing yet asks at once."""
        if self._routing.table is None or not self._directory.loaded.is_set():
            return True
        return since_ms is not None and now_ms - since_ms >= BEHIND_MS

    def _answer(self, peer: Peer, ask: CatchUp) -> None:
        table = self._routing.table
        if ask.routing and table is not None:
            configuration = table.configuration
            peer.send(
                RoutingDocument(
                    version=configuration.version,
                    document=configuration.document,
                    evacuations=write_evacuations(self._evacuations),
                )
            )
        if ask.upstreams and self._directory.loaded.is_set():
            records = self._directory.records(since=ask.since)
            entries = tuple(_write_record(record) for record in records)
            peer.send(ListedUpstreams(entries=entries, as_of=self._get_list_as_of()))

    def _take_routing(self, peer: Peer, told: RoutingDocument) -> None:
        # Before the configuration, with which a router that starts may begin to send.
        self.take_evacuations(peer, told.evacuations)
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

    def _take_upstreams(self, peer: Peer, told: ListedUpstreams) -> None:
        known = self._get_list_as_of()
        taken = 0
        for entry in told.entries:
            try:
                record = _read_record(entry)
            except ValueError as error:
                _LOGGER.error("%s sent an unreadable entry: %s", peer.hello.name, error)
                continue
            taken += self._directory.merge(record, source=peer.hello.name, confirmed=True)
        self._list.advance(told.as_of)
        self._directory.note_peer_synced()
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


def _since(since_ms: int | None, behind: bool, now_ms: int) -> int | None:
    """Return since when this router is behind; news of a peer that is not ahead say nothing."""
    if not behind:
        return since_ms
    return now_ms if since_ms is None else since_ms


def _write_record(record: Record) -> ListedUpstream:
    entry = record.entry
    return ListedUpstream(
        revision=record.revision,
        upstream=entry.upstream,
        state=entry.state.value,
        service=entry.service,
        address="" if entry.address is None else str(entry.address),
        data_centre=entry.data_centre,
        slots=entry.slots,
        born_ms=entry.started_ms,
        cold_ms=entry.warm_up_ms,
    )


def _read_record(entry: ListedUpstream) -> Record:
    return Record(
        revision=entry.revision,
        entry=Entry(
            upstream=entry.upstream,
            state=EntryState(entry.state),
            service=entry.service,
            address=parse_address(entry.address) if entry.address else None,
            data_centre=entry.data_centre,
            slots=entry.slots,
            started_ms=entry.born_ms,
            warm_up_ms=entry.cold_ms,
        ),
    )
