"""Fetches missing configuration and upstream list entries from peers, and serves them to peers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final, NamedTuple

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuations, Record
from gypsumrouter.exceptions import DocumentInvalid
from gypsumrouter.helpers.numbers import MAX_PORT
from gypsumrouter.instances import parse_address
from gypsumrouter.journal import Journal, PeerNews
from gypsumrouter.link import (
    CatchUpRequest,
    EvacuationState,
    ListedUpstream,
    ListedUpstreams,
    NoticeHub,
    Peer,
    RoutingDocument,
    StoreUpdate,
)
from gypsumrouter.peers.const import (
    CATCH_UP_DELAY_MS,
    CATCH_UP_INTERVAL_MS,
    MAX_PEERS_ASKED_AT_START,
    WATCHER_CATCH_UP_INTERVAL_MS,
)
from gypsumrouter.peers.encoding import encode_evacuations, merge_evacuations
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingConfiguration, RoutingStore
from gypsumrouter.util.revisions import get_epoch

_LOGGER = logging.getLogger(__name__)

NEVER_MS: Final = -(1 << 62)


class _ReceivedChanges(NamedTuple):
    """The number of changes that one incarnation of a router had applied."""

    incarnation: int
    changes: int


class CatchUpCoordinator:
    """Requests state from peers that are ahead of this router, and answers their requests.

    The state is the configuration, the list of upstreams and the evacuations, all of which come
    from the platform's store. A router that does not watch the store gets them only this way.
    """

    __slots__ = (
        "_app",
        "_asked_for_all",
        "_behind_list_ms",
        "_behind_routing_ms",
        "_decode",
        "_directory",
        "_evacuations",
        "_journal",
        "_last_announced",
        "_last_request_ms",
        "_last_watcher_request_ms",
        "_list_state",
        "_received_changes",
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
        # Names of the peers that were asked for the whole list.
        self._asked_for_all: set[str] = set()
        self._behind_routing_ms: int | None = None
        self._behind_list_ms: int | None = None
        self._last_request_ms = NEVER_MS
        # Versions that were last requested from a watcher, and the time of that request.
        self._last_announced = (0, 0)
        self._last_watcher_request_ms = NEVER_MS
        # What each neighbour had applied when it last sent its changes, by name.
        self._received_changes: dict[str, _ReceivedChanges] = {}
        notices.subscribe(CatchUpRequest, self._handle_request)
        notices.subscribe(RoutingDocument, self._handle_routing)
        notices.subscribe(ListedUpstreams, self._handle_upstreams)

    def check_versions(self, peer: Peer, *, routing_version: int, list_revision: int) -> None:
        """Send a catch-up request to a peer that is ahead of this router, or to the first peers.

        A request is sent only once this router has been behind for `CATCH_UP_DELAY_MS`, in which a
        change normally arrives from the store, and at most every `CATCH_UP_INTERVAL_MS`.
        """
        now_ms = self._app.clock.now_ms()
        routing = routing_version > self._routing.version
        upstreams = list_revision > self.get_list_as_of()
        self._behind_routing_ms = _get_behind_since(self._behind_routing_ms, routing, now_ms)
        self._behind_list_ms = _get_behind_since(self._behind_list_ms, upstreams, now_ms)
        if now_ms - self._last_request_ms < CATCH_UP_INTERVAL_MS:
            return
        starting = self._should_ask_at_start(peer)
        request = CatchUpRequest(
            routing=routing and self._is_overdue(self._behind_routing_ms, now_ms),
            upstreams=starting or (upstreams and self._is_overdue(self._behind_list_ms, now_ms)),
            since=0 if starting else self.get_list_as_of(),
        )
        if (request.routing or request.upstreams) and self._send_request(peer, request):
            self._last_request_ms = now_ms

    def _should_ask_at_start(self, peer: Peer) -> bool:
        """Return whether to ask a peer what a backup of the store may lack.

        A router that has started on the backup isn't behind its peers, but does not know what the
        store has lost. A store that states no epoch is not restored from backups, and without any
        upstream there is none that could be leaving.
        """
        asked = self._asked_for_all
        if len(asked) >= MAX_PEERS_ASKED_AT_START or peer.hello.name in asked:
            return False
        return get_epoch(self._directory.read_revision) > 0 and bool(self._directory.records())

    def handle_announcement(self, peer: Peer, announcement: StoreUpdate) -> None:
        """Process a watcher's announcement; requests the changes that this router lacks."""
        self.merge_evacuations(peer, announcement.evacuations)
        routing = announcement.routing_version > self._routing.version
        upstreams = announcement.list_newest > self.get_list_as_of()
        if not routing:
            self._routing_state.advance(announcement.routing_as_of)
        if not upstreams:
            self._list_state.advance(announcement.list_as_of)
        upstreams = upstreams and not self._has_all_applied(peer, announcement)
        if not (routing or upstreams) or not self._should_request(announcement):
            return
        since = self.get_list_as_of()
        request = CatchUpRequest(routing=routing, upstreams=upstreams, since=since)
        self._send_request(peer, request)

    def _send_request(self, peer: Peer, request: CatchUpRequest) -> bool:
        """Send a request and return whether it was sent."""
        sent = peer.send(request)
        if sent and request.upstreams and request.since == 0:
            self._asked_for_all.add(peer.hello.name)
        return sent

    def _has_all_applied(self, peer: Peer, announcement: StoreUpdate) -> bool:
        """Return whether this router has all changes but those that the watcher defers."""
        if announcement.list_as_of >= announcement.list_newest:
            return False
        received = _ReceivedChanges(peer.hello.incarnation, announcement.list_changes)
        return self._received_changes.get(peer.hello.name) == received

    def merge_evacuations(self, peer: Peer, received: tuple[EvacuationState, ...]) -> None:
        """Merge the evacuations in a message of a peer, which always lists all of them."""
        merge_evacuations(self._evacuations, received, source=peer.hello.name)

    def _should_request(self, announcement: StoreUpdate) -> bool:
        """Return whether to request an announced change from this watcher.

        Every watcher announces the same change; it is requested from another one only if the
        first has not answered within `WATCHER_CATCH_UP_INTERVAL_MS`.
        """
        now_ms = self._app.clock.now_ms()
        announced = (announcement.routing_version, announcement.list_newest)
        newer = any(new > old for new, old in zip(announced, self._last_announced, strict=True))
        if not newer and now_ms - self._last_watcher_request_ms < WATCHER_CATCH_UP_INTERVAL_MS:
            return False
        self._last_announced = announced
        self._last_watcher_request_ms = now_ms
        return True

    def get_list_as_of(self) -> int:
        """Return the revision up to which all changes of the list are known."""
        as_of = max(self._list_state.as_of or 0, self._directory.listed_revision)
        return self._directory.limit_to_applied(as_of)

    def _is_overdue(self, since_ms: int | None, now_ms: int) -> bool:
        """Return whether to request now; without any configuration or list there is no delay."""
        if self._routing.table is None or not self._directory.loaded.is_set():
            return True
        return since_ms is not None and now_ms - since_ms >= CATCH_UP_DELAY_MS

    def _handle_request(self, peer: Peer, request: CatchUpRequest) -> None:
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
        if request.confirm:
            # Answered once the store was asked, see `confirmation.py`.
            return
        if request.upstreams and self._directory.loaded.is_set():
            peer.send(self.list_changes(request.since))

    def list_changes(self, since: int, *, confirms: int = 0) -> ListedUpstreams:
        """Return the changes after a revision, or the full list if they are not all known here.

        During a grace period the full list may lack upstreams that return, so that the peer gets
        what is known, and has to ask again.
        """
        as_of = self.get_list_as_of()
        complete = since < self._directory.listed_revision
        if complete and self._directory.in_grace_period:
            complete, as_of = False, since
        records = self._directory.list_told(since=0 if complete else since)
        entries = tuple(_encode_record(record) for record in records)
        return ListedUpstreams(
            entries=entries,
            as_of=as_of,
            complete=complete,
            changes=self._directory.applied_changes,
            confirms=confirms,
        )

    def _handle_routing(self, peer: Peer, message: RoutingDocument) -> None:
        # Evacuations come first: with its first configuration, a router may start to send requests.
        self.merge_evacuations(peer, message.evacuations)
        try:
            configuration = self._decode(message.document)
        except DocumentInvalid as error:
            _LOGGER.error(
                "Ignoring an invalid configuration document from peer %s: %s",
                peer.hello.name,
                error,
            )
            return
        previous = self._routing.version
        accepted = self._routing.offer(configuration, source=peer.hello.name)
        self._journal.record(
            PeerNews(
                peer=peer.hello.name,
                subject="configuration",
                version=self._routing.version,
                known=previous,
                told=1,
                taken=int(accepted),
            )
        )

    def _handle_upstreams(self, peer: Peer, message: ListedUpstreams) -> None:
        previous = self.get_list_as_of()
        merged = 0
        for entry in message.entries:
            try:
                record = _decode_record(entry)
            except ValueError as error:
                _LOGGER.error(
                    "Ignoring an invalid upstream entry from peer %s: %s", peer.hello.name, error
                )
                continue
            merged += self._directory.merge(record, source=peer.hello.name, confirmed=True)
        if message.complete and message.as_of >= previous:
            listed = {entry.upstream for entry in message.entries}
            merged += self._directory.remove_unlisted(
                listed, revision=message.as_of, source=peer.hello.name
            )
        self._list_state.advance(message.as_of)
        self._received_changes[peer.hello.name] = _ReceivedChanges(
            peer.hello.incarnation, message.changes
        )
        self._directory.note_peer_synced()
        if message.entries:
            self._journal.record(
                PeerNews(
                    peer=peer.hello.name,
                    subject="upstreams",
                    version=self.get_list_as_of(),
                    known=previous,
                    told=len(message.entries),
                    taken=merged,
                )
            )


def _get_behind_since(since_ms: int | None, behind: bool, now_ms: int) -> int | None:
    """Return when this router fell behind; a peer that is not ahead leaves the time unchanged."""
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
        started_ms=entry.started_ms,
        warm_up_ms=entry.warm_up_ms,
        version=entry.version,
    )


def _decode_record(entry: ListedUpstream) -> Record:
    """Return the record of a peer's entry; raises ValueError if a value is invalid."""
    address = parse_address(entry.address) if entry.address else None
    if address is not None and not 0 < address.port <= MAX_PORT:
        raise ValueError(f"port {address.port} is out of range")
    if entry.slots < 1:
        raise ValueError("an upstream without slots")
    return Record(
        revision=entry.revision,
        entry=Entry(
            upstream=entry.upstream,
            state=EntryState(entry.state),
            service=entry.service,
            address=address,
            data_centre=entry.data_centre,
            slots=entry.slots,
            started_ms=entry.started_ms,
            warm_up_ms=entry.warm_up_ms,
            version=entry.version,
        ),
    )
