"""Instance list: revisions, as-of times, lag, stale replicas and long polls."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest
from driven_clock import async_drive, async_until
from msgspec import Struct

from gypsumrouter.const import InstanceState, Role
from gypsumrouter.instances import Address, Instance
from gypsumrouter.standins import InstanceListService, OutageKind
from gypsumrouter.util.clock import ManualClock


class ListResponse(Struct, frozen=True, kw_only=True):
    """The response to one call."""

    status: int
    revision: int | None = None
    as_of_ms: int | None = None
    names: tuple[str, ...] = ()


def make_instance(name: str) -> Instance:
    return Instance(
        name=name,
        role=Role.SIDE,
        address=Address(host="127.0.0.1", port=4_000),
        data_centre="gt-central-a",
        region="gt-central",
        pool="dispatch",
    )


@pytest.fixture
async def service(clock: ManualClock) -> AsyncIterator[InstanceListService]:
    service = InstanceListService(clock=clock)
    await service.async_start()
    yield service
    await service.async_stop()


class Reader:
    """A client that reads and polls the list."""

    def __init__(self, session: aiohttp.ClientSession, service: InstanceListService) -> None:
        self.session = session
        self.origin = f"http://{service.address}"

    async def async_read(self) -> ListResponse:
        return await self._async_get({})

    def poll(self, after: int, timeout_ms: int = 1_000) -> asyncio.Future[ListResponse]:
        query = {"after": str(after), "timeout_ms": str(timeout_ms)}
        return asyncio.ensure_future(self._async_get(query))

    async def _async_get(self, query: dict[str, str]) -> ListResponse:
        async with self.session.get(f"{self.origin}/v1/instances", params=query) as response:
            if response.status == 204:
                return ListResponse(status=204, as_of_ms=int(response.headers["X-As-Of-Ms"]))
            if response.status != 200:
                return ListResponse(status=response.status)
            body: dict[str, Any] = await response.json()
        names = tuple(instance["name"] for instance in body["instances"])
        return ListResponse(
            status=200, revision=body["revision"], as_of_ms=body["as_of_ms"], names=names
        )


@pytest.fixture
def reader(session: aiohttp.ClientSession, service: InstanceListService) -> Reader:
    return Reader(session, service)


async def test_only_actual_changes_increment_the_revision(
    service: InstanceListService,
) -> None:
    service.set(make_instance("a"), make_instance("b"))
    service.set(make_instance("a"))
    service.mark_leaving("a")
    service.mark_leaving("unknown")
    service.remove("b")
    assert service.revision == 3
    leaving = service.get("a")
    assert leaving is not None
    assert leaving.state is InstanceState.LEAVING


async def test_newest_revision_is_served_as_of_now(
    reader: Reader, service: InstanceListService, clock: ManualClock
) -> None:
    service.set(make_instance("b"))
    service.set(make_instance("a"))
    clock.advance(700)
    response = await reader.async_read()
    assert response == ListResponse(
        status=200, revision=2, as_of_ms=clock.wall_ms(), names=("a", "b")
    )


async def test_polls_return_each_revision_with_the_last_time_it_was_current(
    reader: Reader, service: InstanceListService, clock: ManualClock
) -> None:
    for name in "abc":
        service.set(make_instance(name))
        clock.advance(100)
    first, second = await reader.poll(1), await reader.poll(2)
    assert (first.revision, first.names) == (2, ("a", "b"))
    assert first.as_of_ms == clock.wall_ms() - 101
    assert (second.revision, second.as_of_ms) == (3, clock.wall_ms())


async def test_poll_returns_on_the_next_change(
    reader: Reader, service: InstanceListService
) -> None:
    service.set(make_instance("a"))
    poll = reader.poll(1)
    await async_until(lambda: service.waiting == 1)
    service.remove("a")
    assert (await poll).names == ()


async def test_poll_without_change_ends_at_its_timeout_with_an_as_of_time(
    reader: Reader, service: InstanceListService, clock: ManualClock
) -> None:
    service.set(make_instance("a"))
    began_ms = clock.wall_ms()
    response = await async_drive(clock, reader.poll(1, timeout_ms=500))
    assert response.status == 204
    assert response.as_of_ms is not None
    assert began_ms + 500 <= response.as_of_ms <= clock.wall_ms()


async def test_lagging_list_serves_an_earlier_revision_with_its_as_of_time(
    reader: Reader, service: InstanceListService, clock: ManualClock
) -> None:
    service.set(make_instance("a"))
    clock.advance(2_000)
    service.set_lag(1_500)
    service.set(make_instance("b"))
    response = await reader.async_read()
    assert (response.names, response.as_of_ms) == (("a",), clock.wall_ms() - 1_500)
    changed_ms = clock.wall_ms()
    response = await async_drive(clock, reader.poll(1, timeout_ms=60_000))
    assert response.names == ("a", "b")
    assert clock.wall_ms() >= changed_ms + 1_500
    assert response.as_of_ms is not None
    assert changed_ms <= response.as_of_ms <= clock.wall_ms() - 1_500


async def test_stale_replica_stays_at_its_revision(
    reader: Reader, service: InstanceListService, clock: ManualClock
) -> None:
    service.set(make_instance("a"))
    stale_ms = clock.wall_ms()
    service.serve_stale(stale_ms)
    clock.advance(5_000)
    service.remove("a")
    assert await reader.async_read() == ListResponse(
        status=200, revision=1, as_of_ms=stale_ms, names=("a",)
    )
    response = await async_drive(clock, reader.poll(1, timeout_ms=100))
    assert (response.status, response.as_of_ms) == (204, stale_ms)
    service.serve_stale(None)
    assert (await reader.async_read()).revision == 2


async def test_restored_list_returns_a_poll_of_an_earlier_epoch_at_once(
    reader: Reader, service: InstanceListService
) -> None:
    for name in "abc":
        service.set(make_instance(name))
    poll = reader.poll(3, timeout_ms=60_000)
    await async_until(lambda: service.waiting == 1)
    service.restore(revision=2)
    response = await poll
    assert (response.revision, response.names) == (2, ("a", "b"))
    service.set(make_instance("d"))
    assert (service.revision, (await reader.async_read()).names) == (3, ("a", "b", "d"))


async def test_outages_return_errors_or_refuse_connections(
    reader: Reader, service: InstanceListService
) -> None:
    poll = reader.poll(0)
    await async_until(lambda: service.waiting == 1)
    await service.async_set_outage(OutageKind.ERROR)
    assert (await poll).status == 503
    await service.async_set_outage(OutageKind.REFUSE)
    with pytest.raises(aiohttp.ClientConnectorError):
        await reader.async_read()
    await service.async_set_outage(OutageKind.NONE)
    assert (await reader.async_read()).revision == 0


async def test_instance_list_control_endpoints(
    reader: Reader, session: aiohttp.ClientSession, service: InstanceListService
) -> None:
    url = f"{reader.origin}/standin/instances/a"
    payload = {"role": "side", "host": "127.0.0.1", "port": 1, "data_centre": "d", "region": "r"}
    async with session.put(url, json=payload) as response:
        assert response.status == 200
    async with session.put(url, json={"role": "other"}) as response:
        assert response.status == 400
    async with session.post(f"{url}/leave") as response:
        assert await response.json() == {"revision": 2}
    async with session.delete(url) as response:
        assert await response.json() == {"revision": 3}
    assert service.get("a") is None
