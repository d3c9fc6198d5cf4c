"""Wiring of what a forwarder follows in the platform's store, and how its items are taken."""

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
from gypsumrouter.published import Follower, Item, ItemBatch, WatchState
from gypsumrouter.routing import RoutingStore
from gypsumrouter.settings import ForwarderSettings

_LOGGER = logging.getLogger(__name__)

SOURCE_PLATFORM: Final = "platform"


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
    count_watchers: Callable[[], int],
    is_watcher: Callable[[], bool],
) -> tuple[Follower, Follower]:
    """Return what follows the operator's items and the list of upstreams."""
    address = parse_address(settings.store)
    configuration = Follower(
        app=app,
        journal=journal,
        name="configuration",
        store=StoreClient(address=address, prefix=PREFIX_OPERATOR),
        state=routing_state,
        handle_all=partial(_take_all_operator_items, routing, evacuations),
        handle_changes=partial(_take_changed_operator_items, routing, evacuations),
        count_peers=count_peers,
        count_watchers=count_watchers,
        is_watcher=is_watcher,
    )
    upstreams = Follower(
        app=app,
        journal=journal,
        name="upstreams",
        store=StoreClient(address=address, prefix=PREFIX_SERVERS),
        state=upstreams_state,
        handle_all=partial(_take_all_entries, directory),
        handle_changes=partial(_take_changed_entries, directory),
        on_lost=directory.note_outage,
        on_regained=directory.note_recovered,
        count_peers=count_peers,
        count_watchers=count_watchers,
        is_watcher=is_watcher,
    )
    return configuration, upstreams


def _take_all_operator_items(
    routing: RoutingStore, evacuations: Evacuations, listed: ItemBatch
) -> None:
    """Take the evacuations first: with the configuration a router may begin to send."""
    evacuated = read_evacuations(listed.items)
    evacuations.replace_all(evacuated, revision=listed.as_of, source=SOURCE_PLATFORM)
    _take_configuration(routing, listed)


def _take_changed_operator_items(
    routing: RoutingStore, evacuations: Evacuations, listed: ItemBatch
) -> None:
    for evacuation in read_evacuations(listed.items):
        evacuations.merge(evacuation, source=SOURCE_PLATFORM)
    _take_configuration(routing, listed)


def read_evacuations(items: tuple[Item, ...]) -> Iterator[Evacuation]:
    """Return the evacuations among items; an item that was removed is one that ended."""
    for item in items:
        data_centre = read_evacuated_data_centre(item.key)
        if data_centre is not None:
            active = item.value is not None
            yield Evacuation(data_centre=data_centre, revision=item.revision, active=active)


def _take_configuration(routing: RoutingStore, listed: ItemBatch) -> None:
    for item in listed.items:
        if item.key != KEY_CONFIGURATION or item.value is None:
            continue
        try:
            configuration = decode_configuration(item.value)
        except DocumentInvalid as error:
            # The store takes only valid documents: what is in force stays until one is readable.
            _LOGGER.error(
                "The configuration of revision %d is unreadable: %s", item.revision, error
            )
            continue
        routing.offer(configuration, source=SOURCE_PLATFORM)


def _take_all_entries(directory: Directory, listed: ItemBatch) -> None:
    records = read_records(listed.items)
    directory.replace_all(records, revision=listed.as_of, source=SOURCE_PLATFORM)


def _take_changed_entries(directory: Directory, listed: ItemBatch) -> None:
    for record in read_records(listed.items):
        directory.merge(record, source=SOURCE_PLATFORM)
    directory.note_read_revision(listed.as_of)


def read_records(items: tuple[Item, ...]) -> Iterator[Record]:
    """Return the records of items of the list; one that cannot be read names nobody to use."""
    for item in items:
        upstream = read_upstream_id(item.key)
        if upstream is None:
            _LOGGER.error("The key %r names no upstream", item.key)
            continue
        try:
            entry = decode_entry(upstream=upstream, value=item.value)
        except DocumentInvalid as error:
            # One unreadable entry must not hide the others.
            _LOGGER.error("The entry of %s is unreadable: %s", upstream, error)
            entry = Entry(upstream=upstream, state=EntryState.UNUSABLE)
        yield Record(revision=item.revision, entry=entry)
