"""The configuration service: versions, watches, the read limit, outages, stale answers."""

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
    made = ConfigurationService(clock=clock, reads_per_s=READS_PER_S)
    await made.async_start()
    made.publish(make_document(3))
    yield made
    await made.async_stop()


class Reader:
    """Reads and watches one service."""

    def __init__(self, session: aiohttp.ClientSession, service: ConfigurationService) -> None:
        self.session = session
        self.origin = f"http://{service.address}"

    async def async_read(self) -> ReadResult:
        return await self._async_get({})

    def watch(self, known: int, timeout_ms: int = 1_000) -> asyncio.Future[ReadResult]:
        query = {"watch": str(known), "timeout_ms": str(timeout_ms)}
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


async def test_a_read_gives_the_newest_version(
    reader: Reader, service: ConfigurationService
) -> None:
    assert await reader.async_read() == (200, 3)
    service.publish(make_document(4))
    assert await reader.async_read() == (200, 4)
    assert service.reads == 2


async def test_a_watch_waits_for_a_newer_version(
    reader: Reader, service: ConfigurationService
) -> None:
    assert await reader.watch(2) == (200, 3)
    watch = reader.watch(3)
    await async_until(lambda: service.waiting == 1)
    service.publish(make_document(4))
    assert await watch == (200, 4)


async def test_a_watch_ends_without_news_after_its_time(
    reader: Reader, service: ConfigurationService, clock: ManualClock
) -> None:
    assert await async_drive(clock, reader.watch(3)) == (204, None)
    assert service.watch_ms_total >= 1_000


async def test_reads_above_the_limit_are_refused_until_time_has_passed(
    reader: Reader, service: ConfigurationService, clock: ManualClock
) -> None:
    statuses = [(await reader.async_read())[0] for _ in range(READS_PER_S + 2)]
    assert statuses == [200] * READS_PER_S + [429] * 2
    assert service.rejected == 2
    clock.advance(200)
    statuses = [(await reader.async_read())[0] for _ in range(3)]
    assert statuses == [200, 200, 429]


async def test_each_waiting_watch_takes_one_read_a_second_of_the_limit(
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


async def test_stale_answers_are_an_older_version_and_wake_no_watch(
    reader: Reader, service: ConfigurationService
) -> None:
    service.publish(make_document(4))
    assert await reader.async_post("stale", {"version": 3}) == 200
    assert await reader.async_read() == (200, 3)
    watch = reader.watch(3)
    await async_until(lambda: service.waiting == 1)
    service.serve_stale(None)
    assert await watch == (200, 4)


async def test_a_stale_share_mixes_both_versions(
    reader: Reader, service: ConfigurationService
) -> None:
    service.publish(make_document(4))
    service.serve_stale(3, share=0.5)
    versions = {(await reader.async_read())[1] for _ in range(READS_PER_S)}
    assert versions == {3, 4}


async def test_an_outage_with_errors_ends_waiting_watches_too(
    reader: Reader, service: ConfigurationService
) -> None:
    watch = reader.watch(3)
    await async_until(lambda: service.waiting == 1)
    assert await reader.async_post("outage", {"kind": "error"}) == 200
    assert (await watch)[0] == 503
    assert (await reader.async_read())[0] == 503
    await reader.async_post("outage", {"kind": "none"})
    assert await reader.async_read() == (200, 3)


async def test_an_outage_that_refuses_resets_watches_and_keeps_the_port(
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


async def test_an_outage_that_hangs_answers_after_its_end(
    reader: Reader, service: ConfigurationService
) -> None:
    await service.async_set_outage(OutageKind.HANG)
    read = asyncio.ensure_future(reader.async_read())
    for _ in range(100):
        await asyncio.sleep(0)
    assert not read.done()
    await service.async_set_outage(OutageKind.NONE)
    assert await read == (200, 3)


async def test_documents_are_published_over_http_and_their_content_is_not_judged(
    reader: Reader, session: aiohttp.ClientSession
) -> None:
    url = f"{reader.origin}/standin/configuration"
    async with session.put(url, data=b'{"version": 9, "pools": "wrong"}') as response:
        assert response.status == 200
    assert await reader.async_read() == (200, 9)
    async with session.put(url, data=b"no document") as response:
        assert response.status == 400
