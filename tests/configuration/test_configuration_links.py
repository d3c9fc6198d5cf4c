"""Replication over real links with the stand-in of the configuration service."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
from configuration_fakes import encode, make_document
from configuration_links import Process

from gypsumrouter.configuration.source import (
    Document,
    HttpConfigurationSource,
    Unavailable,
    Unchanged,
)
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.instances import Address, Instance
from gypsumrouter.standins import ConfigurationService, OutageKind
from gypsumrouter.util.clock import SystemClock


@pytest.fixture
async def service() -> AsyncIterator[ConfigurationService]:
    service = ConfigurationService(clock=SystemClock())
    await service.async_start()
    yield service
    await service.async_stop()


@pytest.fixture
async def processes(service: ConfigurationService) -> AsyncIterator[list[Process]]:
    instances: list[Instance] = []
    origins = (f"http://{service.address}",)
    found = [
        Process(name=f"side-{number}", instances=instances, origins=origins) for number in range(6)
    ]
    for process in found:
        await process.async_listen()
    yield found
    for process in found:
        await process.app.async_stop()


async def test_each_version_reaches_every_process_over_links(
    service: ConfigurationService, processes: list[Process]
) -> None:
    service.publish(encode(make_document(1, workspaces=2_000)))
    for process in processes:
        await process.replicator.async_start()
    for process in processes:
        await process.async_wait(1)
    service.publish(encode(make_document(2, workspaces=2_001)))
    for process in processes:
        await process.async_wait(2)
    assert len({process.store.parts.digest for process in processes}) == 1


async def test_large_configuration_is_fetched_from_peers_while_the_service_is_down(
    service: ConfigurationService, processes: list[Process]
) -> None:
    first, last = processes[0], processes[-1]
    await first.store.async_offer(encode(make_document(1, workspaces=5_000)))
    await service.async_set_outage(OutageKind.ERROR)
    await first.replicator.async_start()
    await last.replicator.async_start()
    await last.async_wait(1)
    assert last.store.current == first.store.current


async def test_source_reads_watches_and_reports_unavailable_origins(
    service: ConfigurationService,
) -> None:
    app = Application(name="side-1", role=Role.SIDE, data_centre="dc-1", region="hr-zagreb")
    unreachable = Address(host="127.0.0.1", port=1)
    origins = (f"http://{unreachable}", f"http://{service.address}")
    source = HttpConfigurationSource(app=app, origins=origins)
    body = encode(make_document(3))
    service.publish(body)
    assert await source.async_read() == Document(body=body, version=3)
    answers = [await source.async_watch(after=3, timeout_ms=1) for _ in origins]
    assert sorted(type(answer).__name__ for answer in answers) == ["Unavailable", "Unchanged"]
    assert Unchanged() in answers
    await service.async_set_outage(OutageKind.ERROR)
    assert isinstance(await source.async_read(), Unavailable)
    await app.async_stop()
