"""Wiring of a forwarder: what it follows, what it listens on, how it stops."""

from __future__ import annotations

import logging
from functools import partial
from pathlib import Path
from typing import Final

from msgspec.structs import replace

from gypsumrouter.bootstrap_followers import make_followers
from gypsumrouter.const import VERSION, Role
from gypsumrouter.core import Application
from gypsumrouter.directory import (
    Directory,
    Evacuations,
)
from gypsumrouter.forwarding import Forwarder
from gypsumrouter.helpers.logs import set_instance
from gypsumrouter.helpers.settings_watch import Apply, SettingsWatch
from gypsumrouter.instances import Address, parse_address
from gypsumrouter.journal import (
    Journal,
    ProcessStarted,
    ProcessStopped,
    ProcessStopping,
)
from gypsumrouter.operators.probes import ProbesServer
from gypsumrouter.peers import Mesh
from gypsumrouter.platform import (
    PlatformDialect,
    async_list_cached_parts,
    decode_configuration,
    read_request,
)
from gypsumrouter.product import Product
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingStore
from gypsumrouter.settings import ForwarderSettings, check_forwarder_settings
from gypsumrouter.util.clock import Clock

_LOGGER = logging.getLogger(__name__)

SETTLE_MS: Final = 200


async def async_setup_forwarder(
    *, settings: ForwarderSettings, settings_path: Path | None = None, clock: Clock | None = None
) -> Product:
    """Start a forwarder and return it running; raises OSError when an address is taken."""
    set_instance(settings.instance.name)
    settings = _bind_link(settings)
    app = Application(
        name=settings.instance.name,
        role=Role.FORWARDER,
        data_centre=settings.instance.data_centre,
        region=settings.instance.region,
        clock=clock,
    )
    app.async_start()
    try:
        product = await _async_wire(app, settings, settings_path)
    except BaseException:
        await app.async_stop()
        raise
    app.async_started()
    return product


async def _async_wire(
    app: Application, settings: ForwarderSettings, settings_path: Path | None
) -> Product:
    journal = Journal(app=app)
    routing = RoutingStore(app=app, journal=journal)
    directory = Directory(app=app, journal=journal)
    evacuations = Evacuations(app=app, journal=journal)
    forwarder = Forwarder(
        app=app,
        settings=settings,
        journal=journal,
        routing=routing,
        directory=directory,
        evacuations=evacuations,
        dialect=PlatformDialect(),
        read_request=read_request,
        ask_held=async_list_cached_parts,
    )
    routing_state, upstreams_state = WatchState(clock=app.clock), WatchState(clock=app.clock)
    mesh = Mesh(
        app=app,
        settings=settings,
        journal=journal,
        routing=routing,
        directory=directory,
        evacuations=evacuations,
        forwarder=forwarder,
        decode=decode_configuration,
        routing_state=routing_state,
        upstreams=upstreams_state,
    )
    _journal_stop(app, journal, forwarder)
    followers = make_followers(
        app=app,
        settings=settings,
        journal=journal,
        routing=routing,
        directory=directory,
        evacuations=evacuations,
        routing_state=routing_state,
        upstreams_state=upstreams_state,
        count_peers=mesh.count_alive,
        count_watchers=mesh.count_watchers,
        is_watcher=mesh.is_watcher,
    )
    probes = ProbesServer(app=app, settings=settings.probes, is_ready=lambda: forwarder.ready)
    addresses = await probes.async_start()
    for follower in followers:
        follower.async_start()
    app.async_create_task(_async_settle(app, directory, evacuations), "settle directory")
    addresses["link"] = await mesh.async_start()
    addresses["callers"] = await forwarder.async_start()
    watch = None
    if settings_path is not None:
        apply = partial(_apply_settings, forwarder, mesh)
        watch = _watch_settings(app, journal, settings, settings_path, apply)
    _journal_start(app, journal, addresses)
    return Product(
        app=app,
        store=routing,
        addresses=addresses,
        is_ready=lambda: forwarder.ready,
        list_running=lambda: forwarder.handler.running,
        reload=None if watch is None else watch.reload,
    )


def _bind_link(settings: ForwarderSettings) -> ForwarderSettings:
    """Return the settings with the link's listener at its address."""
    address = parse_address(settings.link_address)
    link = replace(settings.link, host=address.host, port=address.port)
    return replace(settings, link=link)


async def _async_settle(app: Application, directory: Directory, evacuations: Evacuations) -> None:
    while True:
        await app.clock.async_sleep(SETTLE_MS)
        directory.apply_deferred()
        evacuations.apply_deferred()


def _watch_settings(
    app: Application, journal: Journal, settings: ForwarderSettings, path: Path, apply: Apply
) -> SettingsWatch:
    watch = SettingsWatch(
        app=app,
        journal=journal,
        path=path,
        settings=settings,
        check=_check_settings,
        apply=apply,
    )
    watch.async_start()
    return watch


def _check_settings(document: bytes) -> ForwarderSettings:
    return _bind_link(check_forwarder_settings(document))


def _apply_settings(
    forwarder: Forwarder, mesh: Mesh, settings: ForwarderSettings
) -> tuple[str, ...]:
    """Put in force what a running process can change."""
    forwarder.take_bounds(settings.bounds)
    mesh.take_seeds(settings.seeds)
    return ("bounds", "seeds")


def _journal_start(app: Application, journal: Journal, addresses: dict[str, Address]) -> None:
    shown = {name: str(address) for name, address in addresses.items()}
    journal.record(ProcessStarted(incarnation=app.incarnation, version=VERSION, addresses=shown))


def _journal_stop(app: Application, journal: Journal, forwarder: Forwarder) -> None:
    """Write a line when a stop begins and one at the end; hooks run in the order given here."""

    async def async_note_stopping() -> None:
        journal.record(ProcessStopping(running=len(forwarder.handler.running)))

    async def async_note_stopped() -> None:
        cut = len(forwarder.handler.running)
        journal.record(ProcessStopped(cut=cut, lines_dropped=journal.dropped))

    app.on_drain(async_note_stopping)
    app.on_stop(async_note_stopped)
