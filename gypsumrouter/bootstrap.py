"""Builds and starts the components of a router or side process from its settings."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec import Struct

from gypsumrouter.admission import Admission
from gypsumrouter.configuration import ConfigurationReplicator, ConfigurationStore
from gypsumrouter.const import UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.exchange import ExchangeRunner
from gypsumrouter.fleet import Address, Fleet, HttpInstanceListSource
from gypsumrouter.gateway import Gateway
from gypsumrouter.helpers.logs import set_instance
from gypsumrouter.helpers.settings_file import get_role
from gypsumrouter.idempotency import Idempotency
from gypsumrouter.link import LinkPool, LinkServer, NoticeHub
from gypsumrouter.link.models import Hello, Status
from gypsumrouter.operators import OperatorsServer, check_access
from gypsumrouter.orders import Orders
from gypsumrouter.placement import Placement, PlacementKind
from gypsumrouter.prefixes import Prefixes
from gypsumrouter.running_exchanges import RunningExchanges
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import Link, LinkedSettings, RouterSettings, SideSettings, read_link_key
from gypsumrouter.suspect_news import ListNames, SendTo, SuspectGossip, VerdictGossip
from gypsumrouter.suspicion import SuspectTracker
from gypsumrouter.upstream import EngineClient, UpstreamClient, make_client
from gypsumrouter.util.clock import Clock

ADDRESS_CALLERS: Final = "callers"
ADDRESS_OPERATORS: Final = "operators"
ADDRESS_LINK: Final = "link"


class SharedComponents(Struct, frozen=True, kw_only=True):
    """Components that processes of both roles have."""

    app: Application
    key: bytes
    notices: NoticeHub
    links: LinkPool
    fleet: Fleet
    store: ConfigurationStore
    replicator: ConfigurationReplicator


async def async_setup(
    *,
    settings: LinkedSettings,
    clock: Clock | None = None,
    placement: PlacementKind = PlacementKind.RENDEZVOUS,
) -> RunningProcess:
    """Build and start a router or a side, depending on the type of the settings.

    Raises SettingsInvalid, NotReady, or OSError when an address cannot be bound.
    """
    set_instance(settings.instance.name)
    app = make_application(settings=settings, clock=clock)
    app.async_start()
    try:
        match settings:
            case RouterSettings():
                process = await async_setup_router(app=app, settings=settings, placement=placement)
            case SideSettings():
                process = await async_setup_side(app=app, settings=settings)
    except BaseException:
        await app.async_stop()
        raise
    app.async_started()
    return process


def make_application(*, settings: LinkedSettings, clock: Clock | None = None) -> Application:
    """Return the application object of a process, not yet started."""
    return Application(
        name=settings.instance.name,
        role=get_role(settings),
        data_centre=settings.instance.data_centre,
        region=settings.instance.region,
        clock=clock,
    )


async def async_setup_router(
    *,
    app: Application,
    settings: RouterSettings,
    placement: PlacementKind = PlacementKind.RENDEZVOUS,
) -> RunningProcess:
    """Build and start the components of a router."""
    shared = make_shared_components(app=app, settings=settings)
    suspicion = SuspectTracker(app=app, notices=shared.notices)
    gateway = Gateway(
        app=app,
        settings=settings,
        store=shared.store,
        fleet=shared.fleet,
        links=shared.links,
        placement=Placement(app=app, fleet=shared.fleet, links=shared.links, kind=placement),
        suspicion=suspicion,
    )
    server = LinkServer(
        app=app,
        settings=settings.link,
        key=shared.key,
        notices=shared.notices,
        handler=None,
        answer_memory_bytes=settings.limits.answer_memory_bytes,
    )
    start_suspect_gossip(
        shared=shared, suspicion=suspicion, list_affected=tuple, send_to=server.send_to
    )
    operators = make_operators(app=app, settings=settings, is_ready=lambda: gateway.ready)
    addresses = {ADDRESS_OPERATORS: await operators.async_start()}
    addresses[ADDRESS_LINK] = await server.async_start()
    await async_start_shared_components(shared)
    addresses[ADDRESS_CALLERS] = await gateway.async_start()
    return RunningProcess(
        app=app,
        store=shared.store,
        addresses=addresses,
        is_ready=lambda: gateway.ready,
        list_running=lambda: [str(item["request_id"]) for item in gateway.list_running()],
    )


async def async_setup_side(*, app: Application, settings: SideSettings) -> RunningProcess:
    """Build and start the components of a side."""
    shared = make_shared_components(app=app, settings=settings)
    suspicion = SuspectTracker(
        app=app, notices=shared.notices, fleet=shared.fleet, pool=settings.upstream.pool
    )
    upstream = make_client(app=app, settings=settings.upstream)
    admission = Admission(app=app, weight=settings.upstream.weight, name=app.name)
    idempotency = Idempotency(
        app=app,
        settings=settings.platform,
        fleet=shared.fleet,
        name=app.name,
        pool=settings.upstream.pool,
    )
    prefixes = make_prefixes(shared=shared, settings=settings)
    runner = ExchangeRunner(
        app=app,
        settings=settings,
        store=shared.store,
        admission=admission,
        upstream=upstream,
        idempotency=idempotency,
        suspicion=suspicion,
        prefixes=prefixes,
    )
    orders = make_orders(shared=shared, settings=settings, upstream=upstream)
    handler = runner.async_handle if orders is None else orders.wrap(runner.async_handle)
    if prefixes is not None:
        handler = prefixes.wrap(handler)
    running = RunningExchanges(handler=handler)
    server = LinkServer(
        app=app,
        settings=settings.link,
        key=shared.key,
        notices=shared.notices,
        handler=running.async_handle,
        answer_memory_bytes=settings.limits.answer_memory_bytes,
    )
    start_suspect_gossip(
        shared=shared,
        suspicion=suspicion,
        list_affected=running.list_routers,
        send_to=server.send_to,
    )

    def is_ready() -> bool:
        return runner.make_status().ready

    operators = make_operators(app=app, settings=settings, is_ready=is_ready)
    addresses = {ADDRESS_OPERATORS: await operators.async_start()}
    # Start order sets the order of the drain hooks: exchanges finish before the server flushes
    # their answers.
    await runner.async_start()
    await upstream.async_start()
    addresses[ADDRESS_LINK] = await server.async_start()
    advertised = get_advertised(settings.link, addresses[ADDRESS_LINK])
    idempotency.set_listen_address(advertised)
    if orders is not None:
        orders.set_advertised_address(advertised)
        await orders.async_start()
    if prefixes is not None:
        await prefixes.async_start()
    await async_start_shared_components(shared)
    runner.on_status(lambda: server.publish_status(runner.make_status()))
    server.publish_status(runner.make_status())
    return RunningProcess(
        app=app,
        store=shared.store,
        addresses=addresses,
        is_ready=is_ready,
        list_running=running.list_ids,
    )


def make_orders(
    *, shared: SharedComponents, settings: SideSettings, upstream: UpstreamClient
) -> Orders | None:
    """Return the component that sends orders to an engine, not yet started; None for a service."""
    if not isinstance(upstream, EngineClient):
        return None
    return Orders(
        app=shared.app,
        settings=settings,
        store=shared.store,
        fleet=shared.fleet,
        links=shared.links,
        notices=shared.notices,
        client=upstream,
    )


def make_prefixes(*, shared: SharedComponents, settings: SideSettings) -> Prefixes | None:
    """Return the component that transfers cached prefixes, not yet started; None for a service."""
    if settings.upstream.kind is not UpstreamKind.ENGINE:
        return None
    return Prefixes(
        app=shared.app,
        settings=settings.upstream,
        fleet=shared.fleet,
        links=shared.links,
        notices=shared.notices,
    )


def get_advertised(link: Link, bound: Address) -> Address:
    """Return the address that the instance list shows for a process that is bound at `bound`."""
    return Address(
        host=link.advertised_host or bound.host,
        port=link.advertised_port or bound.port,
    )


def make_shared_components(*, app: Application, settings: LinkedSettings) -> SharedComponents:
    """Build the components of both roles, not yet started."""
    key = read_link_key(settings.link)
    notices = NoticeHub(app=app)
    links = LinkPool(app=app, settings=settings.link, key=key, notices=notices)
    source = HttpInstanceListSource(app=app, settings=settings.platform)
    fleet = Fleet(app=app, settings=settings.platform, source=source)
    store = ConfigurationStore(app=app)
    replicator = ConfigurationReplicator(
        app=app,
        settings=settings.platform,
        store=store,
        fleet=fleet,
        pool=links,
        notices=notices,
    )
    connect_fleet(fleet=fleet, links=links)
    return SharedComponents(
        app=app,
        key=key,
        notices=notices,
        links=links,
        fleet=fleet,
        store=store,
        replicator=replicator,
    )


def connect_fleet(*, fleet: Fleet, links: LinkPool) -> None:
    """Feed contacts, incarnations and shutdowns that the links observe into the fleet."""

    def take_status(hello: Hello, status: Status) -> None:
        fleet.record_incarnation(hello.name, hello.incarnation)
        if status.leaving:
            fleet.record_leaving(hello.name, hello.incarnation)

    links.on_connect_attempt(fleet.record_contact)
    links.on_status(take_status)


def start_suspect_gossip(
    *,
    shared: SharedComponents,
    suspicion: SuspectTracker,
    list_affected: ListNames,
    send_to: SendTo,
) -> None:
    """Start forwarding suspect reports to other processes."""
    SuspectGossip(
        app=shared.app,
        fleet=shared.fleet,
        links=shared.links,
        suspicion=suspicion,
        list_affected=list_affected,
        send_to=send_to,
    )
    VerdictGossip(
        app=shared.app,
        fleet=shared.fleet,
        links=shared.links,
        notices=shared.notices,
        guard=suspicion.guard,
    )


async def async_start_shared_components(shared: SharedComponents) -> None:
    """Start the components of both roles."""
    await shared.fleet.async_start()
    await shared.replicator.async_start()


def make_operators(
    *, app: Application, settings: LinkedSettings, is_ready: Callable[[], bool]
) -> OperatorsServer:
    """Return the operators' server, not yet started; raises SettingsInvalid."""
    access = check_access(settings.operators)
    return OperatorsServer(app=app, settings=settings.operators, access=access, is_ready=is_ready)
