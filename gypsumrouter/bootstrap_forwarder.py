"""Builds and starts the components of a forwarder process from its settings."""

from __future__ import annotations

import logging
from functools import partial
from pathlib import Path
from typing import Final

from msgspec.structs import replace

from gypsumrouter.bootstrap_followers import make_confirmation, make_followers
from gypsumrouter.const import VERSION, Role
from gypsumrouter.core import Application
from gypsumrouter.directory import (
    Directory,
    Evacuations,
)
from gypsumrouter.forwarding import Forwarder
from gypsumrouter.helpers.logs import set_instance
from gypsumrouter.helpers.settings_watcher import Apply, SettingsWatcher
from gypsumrouter.instances import Address, parse_address
from gypsumrouter.journal import (
    Journal,
    ProcessStarted,
    ProcessStopped,
    ProcessStopping,
)
from gypsumrouter.operators import ProbesServer
from gypsumrouter.peers import Mesh
from gypsumrouter.platform import (
    PlatformDialect,
    async_list_cached_parts,
    async_read_start,
    decode_configuration,
    read_request,
)
from gypsumrouter.published import WatchState
from gypsumrouter.routing import RoutingStore
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import ForwarderSettings, check_forwarder_settings
from gypsumrouter.util.clock import Clock

_LOGGER = logging.getLogger(__name__)

# Interval at which changes that await confirmation are re-evaluated.
SETTLE_INTERVAL_MS: Final = 200


async def async_setup_forwarder(
    *, settings: ForwarderSettings, settings_path: Path | None = None, clock: Clock | None = None
) -> RunningProcess:
    """Build and start a forwarder; raises OSError if an address cannot be bound."""
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
        process = await _async_build(app, settings, settings_path)
    except BaseException:
        await app.async_stop()
        raise
    app.async_started()
    return process


async def _async_build(
    app: Application, settings: ForwarderSettings, settings_path: Path | None
) -> RunningProcess:
    journal = Journal(app=app)
    routing = RoutingStore(app=app, journal=journal)
    directory = Directory(app=app, journal=journal, heartbeat_ms=settings.heartbeat_ms)
    evacuations = Evacuations(app=app, journal=journal)
    routing_state, upstreams_state = WatchState(clock=app.clock), WatchState(clock=app.clock)
    forwarder = Forwarder(
        app=app,
        settings=settings,
        journal=journal,
        routing=routing,
        directory=directory,
        evacuations=evacuations,
        dialect=PlatformDialect(),
        parse_request=read_request,
        fetch_cache_listing=async_list_cached_parts,
        read_start=async_read_start,
        get_list_age_ms=lambda: upstreams_state.response_age_ms,
        get_list_as_of=lambda: upstreams_state.as_of,
    )
    confirmation = make_confirmation(
        app=app,
        settings=settings,
        directory=directory,
        upstreams_state=upstreams_state,
        count_watchers=lambda: mesh.count_watchers(),
    )
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
        confirmation=confirmation,
    )
    _record_shutdown(app, journal, forwarder)
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
        is_watcher=mesh.is_watcher,
    )
    probes = ProbesServer(app=app, settings=settings.probes, is_ready=lambda: forwarder.ready)
    addresses = await probes.async_start()
    for follower in followers:
        follower.async_start()
    app.async_create_task(_async_settle(app, directory, evacuations), "settle pending changes")
    addresses["link"] = await mesh.async_start()
    addresses["callers"] = await forwarder.async_start()
    watch = None
    if settings_path is not None:
        apply = partial(_apply_settings, forwarder, mesh)
        watch = _watch_settings(app, journal, settings, settings_path, apply)
    _record_start(app, journal, addresses)
    return RunningProcess(
        app=app,
        store=routing,
        addresses=addresses,
        is_ready=lambda: forwarder.ready,
        list_running=lambda: forwarder.handler.running,
        reload=None if watch is None else watch.reload,
        journal=journal,
        get_drain_limit_ms=lambda: forwarder.drain_limit_ms,
    )


def _bind_link(settings: ForwarderSettings) -> ForwarderSettings:
    """Return the settings with `link_address` as the link's bind address."""
    address = parse_address(settings.link_address)
    link = replace(settings.link, host=address.host, port=address.port)
    return replace(settings, link=link)


async def _async_settle(app: Application, directory: Directory, evacuations: Evacuations) -> None:
    while True:
        await app.clock.async_sleep(SETTLE_INTERVAL_MS)
        directory.apply_deferred()
        evacuations.apply_deferred()


def _watch_settings(
    app: Application, journal: Journal, settings: ForwarderSettings, path: Path, apply: Apply
) -> SettingsWatcher:
    watch = SettingsWatcher(
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
    """Apply the settings that take effect without a restart; return their names."""
    forwarder.set_bounds(settings.bounds)
    mesh.set_seeds(settings.seeds)
    forwarder.suspects.set_allowed(settings.allowed_parts)
    return ("bounds", "seeds", "allowed_parts")


def _record_start(app: Application, journal: Journal, addresses: dict[str, Address]) -> None:
    shown = {name: str(address) for name, address in addresses.items()}
    journal.record(ProcessStarted(incarnation=app.incarnation, version=VERSION, addresses=shown))


def _record_shutdown(app: Application, journal: Journal, forwarder: Forwarder) -> None:
    """Register hooks that record the start and the end of a shutdown in the journal."""

    async def async_record_stopping() -> None:
        journal.record(ProcessStopping(running=len(forwarder.handler.running)))

    async def async_record_stopped() -> None:
        cut = forwarder.handler.cut
        journal.record(ProcessStopped(cut=cut, lines_dropped=journal.dropped))

    app.on_drain(async_record_stopping)
    app.on_stop(async_record_stopped)
