"""Turn checked settings into the running product of one process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec import Struct

from gypsumrouter.admission import Admission
from gypsumrouter.configuration import ConfigurationSpread, ConfigurationStore
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
from gypsumrouter.product import Product
from gypsumrouter.running import RunningExchanges
from gypsumrouter.settings import Link, LinkedSettings, RouterSettings, SideSettings, read_link_key
from gypsumrouter.suspect_news import ListNames, SendTo, SuspectNewsSpread
from gypsumrouter.suspicion import SuspectTracker
from gypsumrouter.upstream import EngineClient, UpstreamClient, make_client
from gypsumrouter.util.clock import Clock

ADDRESS_CALLERS: Final = "callers"
ADDRESS_OPERATORS: Final = "operators"
ADDRESS_LINK: Final = "link"


class SharedParts(Struct, frozen=True, kw_only=True):
    """What the processes of both roles are made of."""

    app: Application
    key: bytes
    notices: NoticeHub
    links: LinkPool
    fleet: Fleet
    store: ConfigurationStore
    spread: ConfigurationSpread


async def async_setup(
    *,
    settings: LinkedSettings,
    clock: Clock | None = None,
    placement: PlacementKind = PlacementKind.RENDEZVOUS,
) -> Product:
    """Start one process of the product and return it running.

    Raises SettingsInvalid, NotReady, or OSError when an address cannot be bound.
    """
    set_instance(settings.instance.name)
    app = make_application(settings=settings, clock=clock)
    app.async_start()
    try:
        match settings:
            case RouterSettings():
                product = await async_setup_router(app=app, settings=settings, placement=placement)
            case SideSettings():
                product = await async_setup_side(app=app, settings=settings)
    except BaseException:
        await app.async_stop()
        raise
    app.async_started()
    return product


def make_application(*, settings: LinkedSettings, clock: Clock | None = None) -> Application:
    """Return the application object of one process, not yet running."""
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
) -> Product:
    """Wire and start a router."""
    parts = make_shared_parts(app=app, settings=settings)
    suspicion = SuspectTracker(app=app, notices=parts.notices)
    gateway = Gateway(
        app=app,
        settings=settings,
        store=parts.store,
        fleet=parts.fleet,
        links=parts.links,
        placement=Placement(app=app, fleet=parts.fleet, links=parts.links, kind=placement),
        suspicion=suspicion,
    )
    server = LinkServer(
        app=app,
        settings=settings.link,
        key=parts.key,
        notices=parts.notices,
        handler=None,
        answer_memory_bytes=settings.limits.answer_memory_bytes,
    )
    spread_suspect_news(
        parts=parts, suspicion=suspicion, list_concerned=tuple, send_to=server.send_to
    )
    operators = make_operators(app=app, settings=settings, is_ready=lambda: gateway.ready)
    addresses = {ADDRESS_OPERATORS: await operators.async_start()}
    addresses[ADDRESS_LINK] = await server.async_start()
    await async_start_shared_parts(parts)
    addresses[ADDRESS_CALLERS] = await gateway.async_start()
    return Product(
        app=app,
        store=parts.store,
        addresses=addresses,
        is_ready=lambda: gateway.ready,
        list_running=lambda: [str(item["request_id"]) for item in gateway.list_running()],
    )


async def async_setup_side(*, app: Application, settings: SideSettings) -> Product:
    """Wire and start a side."""
    parts = make_shared_parts(app=app, settings=settings)
    suspicion = SuspectTracker(
        app=app, notices=parts.notices, fleet=parts.fleet, pool=settings.upstream.pool
    )
    upstream = make_client(app=app, settings=settings.upstream)
    admission = Admission(app=app, weight=settings.upstream.weight, name=app.name)
    idempotency = Idempotency(
        app=app,
        settings=settings.platform,
        fleet=parts.fleet,
        name=app.name,
        pool=settings.upstream.pool,
    )
    prefixes = make_prefixes(parts=parts, settings=settings)
    runner = ExchangeRunner(
        app=app,
        settings=settings,
        store=parts.store,
        admission=admission,
        upstream=upstream,
        idempotency=idempotency,
        suspicion=suspicion,
        prefixes=prefixes,
    )
    orders = make_orders(parts=parts, settings=settings, upstream=upstream)
    handler = runner.async_handle if orders is None else orders.wrap(runner.async_handle)
    if prefixes is not None:
        handler = prefixes.wrap(handler)
    running = RunningExchanges(handler=handler)
    server = LinkServer(
        app=app,
        settings=settings.link,
        key=parts.key,
        notices=parts.notices,
        handler=running.async_handle,
        answer_memory_bytes=settings.limits.answer_memory_bytes,
    )
    spread_suspect_news(
        parts=parts,
        suspicion=suspicion,
        list_concerned=running.list_routers,
        send_to=server.send_to,
    )

    def is_ready() -> bool:
        return runner.make_status().ready

    operators = make_operators(app=app, settings=settings, is_ready=is_ready)
    addresses = {ADDRESS_OPERATORS: await operators.async_start()}
    # The order of the drain hooks: first the runs end, then the server waits for their answers.
    await runner.async_start()
    await upstream.async_start()
    addresses[ADDRESS_LINK] = await server.async_start()
    advertised = get_advertised(settings.link, addresses[ADDRESS_LINK])
    idempotency.set_listen_address(advertised)
    if orders is not None:
        orders.note_listening(advertised)
        await orders.async_start()
    if prefixes is not None:
        await prefixes.async_start()
    await async_start_shared_parts(parts)
    runner.on_status(lambda: server.publish_status(runner.make_status()))
    server.publish_status(runner.make_status())
    return Product(
        app=app,
        store=parts.store,
        addresses=addresses,
        is_ready=is_ready,
        list_running=running.list_ids,
    )


def make_orders(
    *, parts: SharedParts, settings: SideSettings, upstream: UpstreamClient
) -> Orders | None:
    """Return what gives orders to an engine, not yet started; services take none."""
    if not isinstance(upstream, EngineClient):
        return None
    return Orders(
        app=parts.app,
        settings=settings,
        store=parts.store,
        fleet=parts.fleet,
        links=parts.links,
        notices=parts.notices,
        client=upstream,
    )


def make_prefixes(*, parts: SharedParts, settings: SideSettings) -> Prefixes | None:
    """Return what moves cached prefixes, not yet started; services cache none."""
    if settings.upstream.kind is not UpstreamKind.ENGINE:
        return None
    return Prefixes(
        app=parts.app,
        settings=settings.upstream,
        fleet=parts.fleet,
        links=parts.links,
        notices=parts.notices,
    )


def get_advertised(link: Link, bound: Address) -> Address:
    """Return the address at which the instance list names a process that is bound at `bound`."""
    return Address(
        host=link.advertised_host or bound.host,
        port=link.advertised_port or bound.port,
    )


def make_shared_parts(*, app: Application, settings: LinkedSettings) -> SharedParts:
    """Make what both roles need, not yet started."""
    key = read_link_key(settings.link)
    notices = NoticeHub(app=app)
    links = LinkPool(app=app, settings=settings.link, key=key, notices=notices)
    source = HttpInstanceListSource(app=app, settings=settings.platform)
    fleet = Fleet(app=app, settings=settings.platform, source=source)
    store = ConfigurationStore(app=app)
    spread = ConfigurationSpread(
        app=app,
        settings=settings.platform,
        store=store,
        fleet=fleet,
        pool=links,
        notices=notices,
    )
    connect_fleet(fleet=fleet, links=links)
    return SharedParts(
        app=app,
        key=key,
        notices=notices,
        links=links,
        fleet=fleet,
        store=store,
        spread=spread,
    )


def connect_fleet(*, fleet: Fleet, links: LinkPool) -> None:
    """Tell the fleet what the links find out."""

    def take_status(hello: Hello, status: Status) -> None:
        fleet.note_incarnation(hello.name, hello.incarnation)
        if status.leaving:
            fleet.note_leaving(hello.name, hello.incarnation)

    links.on_contact(fleet.note_contact)
    links.on_status(take_status)


def spread_suspect_news(
    *, parts: SharedParts, suspicion: SuspectTracker, list_concerned: ListNames, send_to: SendTo
) -> None:
    """Tell other processes what this one learns of requests that crash their upstream."""
    SuspectNewsSpread(
        app=parts.app,
        fleet=parts.fleet,
        links=parts.links,
        suspicion=suspicion,
        list_concerned=list_concerned,
        send_to=send_to,
    )


async def async_start_shared_parts(parts: SharedParts) -> None:
    """Start what both roles need."""
    await parts.fleet.async_start()
    await parts.spread.async_start()


def make_operators(
    *, app: Application, settings: LinkedSettings, is_ready: Callable[[], bool]
) -> OperatorsServer:
    """Return the operators' server, not yet started; raises SettingsInvalid."""
    access = check_access(settings.operators)
    return OperatorsServer(app=app, settings=settings.operators, access=access, is_ready=is_ready)
