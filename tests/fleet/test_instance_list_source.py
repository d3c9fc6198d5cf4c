"""Instance list over HTTP: long polls, failover between origins, malformed responses."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from fleet_world import World
from hypothesis import given, settings
from hypothesis import strategies as st
from valid_entries import INSTANCE_LIST, LIST_ENTRY

from gypsumrouter.exceptions import DocumentInvalid
from gypsumrouter.fleet import Address, HttpInstanceListSource, InstanceList, Unchanged
from gypsumrouter.fleet.document import check_instance_list
from gypsumrouter.settings import Platform
from gypsumrouter.util.revisions import MAX_EPOCH, make_revision


class FakeOrigin:
    """One origin of the platform with a configurable response."""

    def __init__(self) -> None:
        self.queries: list[dict[str, str]] = []
        self.document: object = INSTANCE_LIST
        self.status = 200
        self.as_of = "600"

    async def handle(self, request: web.Request) -> web.Response:
        self.queries.append(dict(request.query))
        if self.status == 204:
            return web.Response(status=204, headers={"X-As-Of-Ms": self.as_of})
        return web.Response(status=self.status, body=json.dumps(self.document).encode())


@pytest.fixture
def origins() -> list[FakeOrigin]:
    return [FakeOrigin(), FakeOrigin()]


@pytest.fixture
async def source(origins: list[FakeOrigin], world: World) -> AsyncIterator[HttpInstanceListSource]:
    servers = []
    for origin in origins:
        app = web.Application()
        app.router.add_get("/v1/instances", origin.handle)
        server = TestServer(app, host="127.0.0.1")
        await server.start_server()
        servers.append(server)
    urls = tuple(f"http://127.0.0.1:{server.port}" for server in servers)
    yield HttpInstanceListSource(app=world.app, settings=Platform(instances=urls))
    for server in servers:
        await server.close()


async def test_list_is_read_and_the_next_read_passes_its_revision(
    source: HttpInstanceListSource, origins: list[FakeOrigin]
) -> None:
    listed = await source.async_fetch(after_revision=None)
    assert isinstance(listed, InstanceList)
    assert (listed.revision, listed.as_of_ms) == (3, 500)
    assert listed.instances[0].address == Address(host="10.0.0.1", port=7000)
    origins[0].status = 204
    assert await source.async_fetch(after_revision=3) == Unchanged(as_of_ms=600)
    assert [query.get("after") for query in origins[0].queries] == [None, "3"]
    assert origins[0].queries[1]["timeout_ms"] == "5000"


@pytest.mark.parametrize(
    ("status", "document", "as_of"),
    [
        (500, INSTANCE_LIST, ""),
        (200, {"revision": 3}, ""),
        (200, {**INSTANCE_LIST, "instances": [LIST_ENTRY, LIST_ENTRY]}, ""),
        (200, {**INSTANCE_LIST, "instances": [{**LIST_ENTRY, "host": "example"}]}, ""),
        (204, None, "soon"),
    ],
)
async def test_next_origin_is_used_after_an_unusable_response(
    source: HttpInstanceListSource,
    origins: list[FakeOrigin],
    status: int,
    document: object,
    as_of: str,
) -> None:
    origins[0].status, origins[0].document, origins[0].as_of = status, document, as_of
    assert isinstance(await source.async_fetch(after_revision=None), InstanceList)
    await source.async_fetch(after_revision=3)
    assert len(origins[0].queries) == 1
    origins[1].status = 503
    assert await source.async_fetch(after_revision=3) is None


async def test_stale_origin_is_replaced(
    source: HttpInstanceListSource, origins: list[FakeOrigin]
) -> None:
    await source.async_fetch(after_revision=None)
    origins[0].document = {**INSTANCE_LIST, "revision": 2, "as_of_ms": 400}
    origins[1].document = {**INSTANCE_LIST, "revision": 4, "as_of_ms": 700}
    listed = await source.async_fetch(after_revision=3)
    assert isinstance(listed, InstanceList)
    assert listed.revision == 4


async def test_epoch_is_read_and_the_next_read_passes_it(
    source: HttpInstanceListSource, origins: list[FakeOrigin]
) -> None:
    """Guards against a long poll that waits for a revision that the platform has lost."""
    origins[0].document = {**INSTANCE_LIST, "epoch": 2}
    listed = await source.async_fetch(after_revision=None)
    assert isinstance(listed, InstanceList)
    assert listed.revision == make_revision(epoch=2, number=3)
    await source.async_fetch(after_revision=listed.revision)
    assert (origins[0].queries[1]["after"], origins[0].queries[1]["epoch"]) == ("3", "2")


@pytest.mark.parametrize("epoch", [-1, MAX_EPOCH + 1, "2.5", 10**30])
def test_document_with_an_epoch_out_of_range_is_invalid(epoch: object) -> None:
    """Guards against a revision that messages between processes can't carry."""
    with pytest.raises(DocumentInvalid):
        check_instance_list(json.dumps({**INSTANCE_LIST, "epoch": epoch}).encode())


@given(document=st.binary() | st.recursive(st.none() | st.integers() | st.text(), st.lists))
@settings(derandomize=True, deadline=None)
def test_arbitrary_documents_are_invalid(document: object) -> None:
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    with pytest.raises(DocumentInvalid):
        check_instance_list(body)
