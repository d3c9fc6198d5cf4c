"""Builds the followers of the platform's store and applies the items that they read."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from functools import partial
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.directory import (
    Directory,
    Entry,
    EntryState,
    Evacuation,
    Evacuations,
    Record,
)
from gypsumrouter.exceptions import DocumentInvalid
from gypsumrouter.instances import parse_address
from gypsumrouter.journal import Journal
from gypsumrouter.platform import (
    StoreClient,
    decode_configuration,
    decode_entry,
    read_evacuated_data_centre,
    read_upstream_id,
)
from gypsumrouter.platform.names import KEY_CONFIGURATION, PREFIX_OPERATOR, PREFIX_SERVERS
from gypsumrouter.published import (
    LIST_RESPONSE_TIMEOUT_MS,
    LIST_WATCH_TIMEOUT_MS,
    QUESTION_TIMEOUT_MS,
    Follower,
    Item,
    ItemBatch,
    ListConfirmation,
    WatchState,
)
from gypsumrouter.routing import RoutingStore
from gypsumrouter.settings import ForwarderSettings
from gypsumrouter.util.heartbeats import get_shortest_expiry_ms

_LOGGER = logging.getLogger(__name__)

SOURCE_PLATFORM: Final = "platform"
# Invalid items that are logged for each read of the list.
MAX_LOGGED_ITEMS: Final = 20


def make_followers(
    *,
    app: Application,
    settings: ForwarderSettings,
    journal: Journal,
    routing: RoutingStore,
    directory: Directory,
    evacuations: Evacuations,
    routing_state: WatchState,
    upstreams_state: WatchState,
    count_peers: Callable[[], int],
    is_watcher: Callable[[], bool],
) -> tuple[Follower, Follower]:
    """Return the followers of the operator's items and of the list of upstreams."""
    address = parse_address(settings.store)
    configuration = Follower(
        app=app,
        journal=journal,
        name="configuration",
        store=StoreClient(address=address, prefix=PREFIX_OPERATOR),
        state=routing_state,
        handle_all=partial(_replace_operator_items, routing, evacuations),
        handle_changes=partial(_apply_operator_changes, routing, evacuations),
        count_peers=count_peers,
        is_watcher=is_watcher,
    )
    upstreams = Follower(
        app=app,
        journal=journal,
        name="upstreams",
        store=StoreClient(
            address=address,
            prefix=PREFIX_SERVERS,
            response_timeout_ms=LIST_RESPONSE_TIMEOUT_MS,
        ),
        state=upstreams_state,
        handle_all=partial(_replace_entries, directory),
        handle_changes=partial(_apply_entry_changes, directory),
        on_lost=directory.note_outage,
        on_regained=lambda silent_ms: directory.note_recovered(silent_ms=silent_ms),
        watch_timeout_ms=LIST_WATCH_TIMEOUT_MS,
        max_silence_ms=get_shortest_expiry_ms(settings.heartbeat_ms),
        count_peers=count_peers,
        is_watcher=is_watcher,
    )
    return configuration, upstreams


def make_confirmation(
    *,
    app: Application,
    settings: ForwarderSettings,
    directory: Directory,
    upstreams_state: WatchState,
    count_watchers: Callable[[], int],
) -> ListConfirmation:
    """Return what asks the store for changes of the list of upstreams, beside the watch of it."""
    return ListConfirmation(
        app=app,
        store=StoreClient(
            address=parse_address(settings.store),
            prefix=PREFIX_SERVERS,
            response_timeout_ms=QUESTION_TIMEOUT_MS,
        ),
        state=upstreams_state,
        handle_all=partial(_replace_entries, directory),
        handle_changes=partial(_apply_entry_changes, directory),
        count_watchers=count_watchers,
    )


def _replace_operator_items(
    routing: RoutingStore, evacuations: Evacuations, listed: ItemBatch
) -> None:
    """Replace the operator's items.

    Evacuations come first: with its first configuration, a router may start to send requests.
    """
    evacuated = read_evacuations(listed.items)
    evacuations.replace_all(evacuated, revision=listed.as_of, source=SOURCE_PLATFORM)
    _apply_configuration(routing, listed)


def _apply_operator_changes(
    routing: RoutingStore, evacuations: Evacuations, listed: ItemBatch
) -> None:
    for evacuation in read_evacuations(listed.items):
        evacuations.merge(evacuation, source=SOURCE_PLATFORM)
    _apply_configuration(routing, listed)


def read_evacuations(items: tuple[Item, ...]) -> Iterator[Evacuation]:
    """Return the evacuations among items; a removed item is an evacuation that has ended."""
    for item in items:
        data_centre = read_evacuated_data_centre(item.key)
        if data_centre is not None:
            active = item.value is not None
            yield Evacuation(data_centre=data_centre, revision=item.revision, active=active)


def _apply_configuration(routing: RoutingStore, listed: ItemBatch) -> None:
    for item in listed.items:
        if item.key != KEY_CONFIGURATION or item.value is None:
            continue
        try:
            configuration = decode_configuration(item.value)
        except DocumentInvalid as error:
            # The store validates documents, so this is unexpected; the current configuration stays.
            _LOGGER.error(
                "Ignoring invalid configuration document of revision %d: %s", item.revision, error
            )
            continue
        routing.offer(configuration, source=SOURCE_PLATFORM)


def _replace_entries(directory: Directory, listed: ItemBatch) -> None:
    records = read_records(listed.items)
    directory.replace_all(records, revision=listed.as_of, source=SOURCE_PLATFORM)


def _apply_entry_changes(directory: Directory, listed: ItemBatch) -> None:
    for record in read_records(listed.items):
        directory.merge(record, source=SOURCE_PLATFORM)
    directory.note_read_revision(listed.as_of)


def read_records(items: tuple[Item, ...]) -> Iterator[Record]:
    """Return the records of items of the upstream list; an invalid entry becomes unusable.

    The first `MAX_LOGGED_ITEMS` invalid items are logged, and the number of the others.
    """
    invalid = 0
    for item in items:
        record, problem = _read_record(item)
        if problem:
            invalid += 1
            if invalid <= MAX_LOGGED_ITEMS:
                _LOGGER.error("%.600s", problem)
        if record is not None:
            yield record
    if invalid > MAX_LOGGED_ITEMS:
        _LOGGER.error("%d more invalid items in the list", invalid - MAX_LOGGED_ITEMS)


def _read_record(item: Item) -> tuple[Record | None, str]:
    """Return the record of an item, if it has an id, and what is invalid in it, or an empty text.

    An invalid entry must not prevent the others from being applied.
    """
    upstream = read_upstream_id(item.key)
    if upstream is None:
        return None, f"Ignoring item with key {item.key!r}; expected the key of an upstream"
    problem = ""
    try:
        entry = decode_entry(upstream=upstream, value=item.value)
    except DocumentInvalid as error:
        problem = f"Not using upstream {upstream}: invalid list entry: {error}"
        entry = Entry(upstream=upstream, state=EntryState.UNUSABLE)
    return Record(revision=item.revision, entry=entry), problem
