"""Fixtures with an exchange runner, real collaborators, a fake upstream and a fake link."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from exchange_fakes import (
    ADDRESS,
    LEASE_MS,
    MODEL,
    POOL,
    SIDE,
    WORKSPACE,
    FakeInstanceLists,
    FakeUpstream,
    Side,
)

from gypsumrouter.admission import Admission
from gypsumrouter.configuration import ConfigurationStore
from gypsumrouter.const import Role, UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.exchange import ExchangeRunner
from gypsumrouter.idempotency import Idempotency
from gypsumrouter.link import NoticeHub
from gypsumrouter.settings import Identity, Link, Platform, SideSettings, Upstream
from gypsumrouter.suspicion import SuspectTracker
from gypsumrouter.util.clock import ManualClock

OWNERSHIP_MS = 60_000

MakeSide = Callable[[UpstreamKind], Awaitable[Side]]


def make_document(kind: UpstreamKind) -> bytes:
    pool: dict[str, object] = {"name": POOL, "kind": kind.value, "slots": 2, "floor": 8}
    if kind is UpstreamKind.ENGINE:
        pool["models"] = [MODEL]
    else:
        pool["at_most_once"] = {"calls": [{"method": "POST", "path_prefix": "/sign-offs"}]}
    return json.dumps(
        {
            "version": 1,
            "workspaces": [{"name": WORKSPACE}],
            "classes": [{"name": "inspectors"}, {"name": "reports", "batch": True}],
            "pools": [pool],
            "default_class": "inspectors",
        }
    ).encode()


def make_settings(kind: UpstreamKind) -> SideSettings:
    return SideSettings(
        instance=Identity(name=SIDE, data_centre="dc-1", region="region-1"),
        link=Link(),
        platform=Platform(list_lease_ms=LEASE_MS),
        upstream=Upstream(pool=POOL, kind=kind, port=1),
    )


@pytest.fixture
async def make_side() -> AsyncIterator[MakeSide]:
    apps: list[Application] = []

    async def async_make(kind: UpstreamKind) -> Side:
        clock = ManualClock()
        app = Application(
            name=SIDE, role=Role.SIDE, data_centre="dc-1", region="region-1", clock=clock
        )
        apps.append(app)
        settings = make_settings(kind)
        store = ConfigurationStore(app=app)
        lists = FakeInstanceLists()
        admission = Admission(app=app, weight=1.0, name=SIDE)
        upstream = FakeUpstream(models=(MODEL,) if kind is UpstreamKind.ENGINE else ())
        idempotency = Idempotency(
            app=app, settings=settings.platform, fleet=lists, name=SIDE, pool=POOL
        )
        runner = ExchangeRunner(
            app=app,
            settings=settings,
            store=store,
            admission=admission,
            upstream=upstream,
            idempotency=idempotency,
            suspicion=SuspectTracker(app=app, notices=NoticeHub()),
        )
        await runner.async_start()
        await store.async_offer(make_document(kind))
        idempotency.set_listen_address(ADDRESS)
        lists.publish(clock.wall_ms())
        clock.advance(OWNERSHIP_MS)
        lists.refresh(clock.wall_ms())
        return Side(
            app=app,
            clock=clock,
            runner=runner,
            upstream=upstream,
            admission=admission,
            lists=lists,
        )

    yield async_make
    for app in apps:
        await app.async_stop()


@pytest.fixture
async def engine_side(make_side: MakeSide) -> Side:
    return await make_side(UpstreamKind.ENGINE)


@pytest.fixture
async def service_side(make_side: MakeSide) -> Side:
    return await make_side(UpstreamKind.SERVICE)
