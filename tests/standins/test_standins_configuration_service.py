"""Configuration service: versions, watches, rate limit, outages and stale responses."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import aiohttp
import pytest
from driven_clock import async_drive, async_until

from gypsumrouter.standins import ConfigurationService, OutageKind
from gypsumrouter.util.clock import ManualClock

READS_PER_S = 10
ReadResult = tuple[int, int | None]


def make_document(version: int) -> bytes:
    return json.dumps({"version": version}).encode()


@pytest.fixture
async def service(clock: ManualClock) -> AsyncIterator[ConfigurationService]:
    service = ConfigurationService(clock=clock, reads_per_s=READS_PER_S)
    await service.async_start()
    service.publish(make_document(3))
    yield service
    await service.async_stop()


class Reader:
    """A client that reads and watches the service."""

    def __init__(self, session: aiohttp.ClientSession, service: ConfigurationService) -> None:
        self.session = session
        self.origin = f"http://{service.address}"

    async def async_read(self) -> ReadResult:
        return await self._async_get({})

    def watch(self, version: int, timeout_ms: int = 1_000) -> asyncio.Future[ReadResult]:
        query = {"watch": str(version), "timeout_ms": str(timeout_ms)}
        return asyncio.ensure_future(self._async_get(query))

    async def async_post(self, path: str, payload: dict[str, object]) -> int:
        async with self.session.post(f"{self.origin}/standin/{path}", json=payload) as response:
            return response.status

    async def _async_get(self, query: dict[str, str]) -> ReadResult:
        url = f"{self.origin}/v1/configuration"
        async with self.session.get(url, params=query) as response:
            body = await response.read()
            version = json.loads(body)["version"] if response.status == 200 else None
            if version is not None:
                assert response.headers["X-Version"] == str(version)
            return response.status, version


@pytest.fixture
def reader(session: aiohttp.ClientSession, service: ConfigurationService) -> Reader:
    return Reader(session, service)


async def test_read_returns_the_newest_version(
    reader: Reader, service: ConfigurationService
) -> None:
    assert await reader.async_read() == (200, 3)
    service.publish(make_document(4))
    assert await reader.async_read() == (200, 4)
    assert service.reads == 2


async def test_watch_waits_for_a_newer_version(
    reader: Reader, service: ConfigurationService
) -> None:
    assert await reader.watch(2) == (200, 3)
    watch = reader.watch(3)
    await async_until(lambda: service.waiting == 1)
    service.publish(make_document(4))
    assert await watch == (200, 4)


async def test_watch_without_change_ends_at_its_timeout(
    reader: Reader, service: ConfigurationService, clock: ManualClock
) -> None:
    assert await async_drive(clock, reader.watch(3)) == (204, None)
    assert service.watch_ms_total >= 1_000


async def test_reads_above_the_rate_limit_are_rejected_until_it_refills(
    reader: Reader, service: ConfigurationService, clock: ManualClock
) -> None:
    statuses = [(await reader.async_read())[0] for _ in range(READS_PER_S + 2)]
    assert statuses == [200] * READS_PER_S + [429] * 2
    assert service.rejected == 2
    clock.advance(200)
    statuses = [(await reader.async_read())[0] for _ in range(3)]
    assert statuses == [200, 200, 429]


async def test_each_waiting_watch_uses_one_read_per_second_of_the_limit(
    reader: Reader, service: ConfigurationService, clock: ManualClock
) -> None:
    watches = [reader.watch(3, timeout_ms=60_000) for _ in range(6)]
    await async_until(lambda: service.waiting == 6)
    for _ in range(4):
        assert (await reader.async_read())[0] == 200
    assert (await reader.async_read())[0] == 429
    clock.advance(1_000)
    statuses = [(await reader.async_read())[0] for _ in range(5)]
    assert statuses == [200] * 4 + [429]
    assert service.max_waiting == 6
    service.publish(make_document(4))
    assert await asyncio.gather(*watches) == [(200, 4)] * 6


async def test_stale_version_is_served_and_completes_no_watch(
    reader: Reader, service: ConfigurationService
) -> None:
    service.publish(make_document(4))
    assert await reader.async_post("stale", {"version": 3}) == 200
    assert await reader.async_read() == (200, 3)
    watch = reader.watch(3)
    await async_until(lambda: service.waiting == 1)
    service.serve_stale(None)
    assert await watch == (200, 4)


async def test_stale_share_serves_both_versions(
    reader: Reader, service: ConfigurationService
) -> None:
    service.publish(make_document(4))
    service.serve_stale(3, share=0.5)
    versions = {(await reader.async_read())[1] for _ in range(READS_PER_S)}
    assert versions == {3, 4}


async def test_error_outage_ends_waiting_watches(
    reader: Reader, service: ConfigurationService
) -> None:
    watch = reader.watch(3)
    await async_until(lambda: service.waiting == 1)
    assert await reader.async_post("outage", {"kind": "error"}) == 200
    assert (await watch)[0] == 503
    assert (await reader.async_read())[0] == 503
    await reader.async_post("outage", {"kind": "none"})
    assert await reader.async_read() == (200, 3)


async def test_refuse_outage_resets_watches_and_keeps_the_port(
    reader: Reader, service: ConfigurationService
) -> None:
    watch = reader.watch(3)
    await async_until(lambda: service.waiting == 1)
    await service.async_set_outage(OutageKind.REFUSE)
    with pytest.raises(aiohttp.ClientError):
        await watch
    with pytest.raises(aiohttp.ClientConnectorError):
        await reader.async_read()
    await service.async_set_outage(OutageKind.NONE)
    assert await reader.async_read() == (200, 3)


async def test_hang_outage_delays_responses_until_its_end(
    reader: Reader, service: ConfigurationService
) -> None:
    await service.async_set_outage(OutageKind.HANG)
    read = asyncio.ensure_future(reader.async_read())
    for _ in range(100):
        await asyncio.sleep(0)
    assert not read.done()
    await service.async_set_outage(OutageKind.NONE)
    assert await read == (200, 3)


async def test_documents_are_published_over_http_without_validation(
    reader: Reader, session: aiohttp.ClientSession
) -> None:
    url = f"{reader.origin}/standin/configuration"
    async with session.put(url, data=b'{"version": 9, "pools": "wrong"}') as response:
        assert response.status == 200
    assert await reader.async_read() == (200, 9)
    async with session.put(url, data=b"no document") as response:
        assert response.status == 400
