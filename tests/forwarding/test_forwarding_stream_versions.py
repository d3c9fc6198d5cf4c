"""Streams go on only at the software version of the upstream that began them."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld, make_configuration

from gypsumrouter.running_process import RunningProcess
from gypsumrouter.standins import PublishedStoreStandin
from gypsumrouter.standins.platform_runner import PlatformRunner, RunnerFault
from gypsumrouter.standins.published_store import StoreFault

Session = aiohttp.ClientSession

NOT_RUN = 503


class VersionedWorld(ForwardingWorld):
    """Engines of two versions, and forwarders that know each other."""

    def __init__(self) -> None:
        super().__init__()
        self.models = [
            PlatformRunner(name=f"i-models-{number}", events=6, version=version)
            for number, version in enumerate(("v1", "v1", "v2", "v2"))
        ]

    def list_of(self, version: str) -> list[PlatformRunner]:
        """Return the engines of a version."""
        return [runner for runner in self.models if runner.version == version]

    async def async_start_routers(self, *names: str, **more: object) -> None:
        """Start further forwarders, and wait until all know each other."""
        seeds = (str(self.product.addresses["link"]),)
        for name in names:
            product = await self.async_start_forwarder(name, **{"seeds": seeds, **more})
            await self.async_until(product.is_ready)
        await self.async_until(lambda: all(self.count_routers(p) for p in self.products))

    def count_routers(self, product: RunningProcess) -> bool:
        """Return whether a forwarder has heard of all others."""
        heard = dump(product)["peers"]["routers"].values()
        alive = [router for router in heard if router["heard_ms_ago"] is not None]
        return len(alive) >= len(self.products) - 1

    async def async_begin(self, session: Session, request_id: str, version: str) -> bytes:
        """Begin a stream at a version, and leave it after its second event; return the events."""
        for runner in self.models:
            begins = runner.version == version
            runner.default_fault = RunnerFault.STALL_STREAM if begins else RunnerFault.SHED
        headers = self.headers(request_id) | PROMPT
        received = b""
        async with session.post(self.url("/quote/a"), headers=headers, data=b"p") as response:
            while len(count_events(received)) < 2:
                received += await response.content.readany()
        for runner in self.models:
            runner.default_fault = RunnerFault.NONE
        assert list_versions(received) == {version.encode()}
        return received

    async def async_take_up(
        self,
        session: Session,
        request_id: str,
        *,
        began_as: str,
        received: bytes,
        product: RunningProcess | None = None,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Take up a stream after the events that were received."""
        last_event_id = re.findall(rb"id: (\d+)\n", received)[-1].decode()
        extra = {**PROMPT, "Last-Event-Id": last_event_id, "Resumes": began_as}
        return await self.async_call(
            session, "POST", "/quote/a", request_id, product=product, body=b"p", extra=extra
        )

    async def async_end(self, product: RunningProcess) -> None:
        """Stop a forwarder without a drain, as a kill does."""
        self.products.remove(product)
        await product.app.async_stop()


def list_versions(body: bytes) -> set[bytes]:
    """Return the versions that wrote the events of a body."""
    return set(re.findall(rb"data: (v\d) piece", body))


def count_events(body: bytes) -> list[int]:
    """Return the ids of the events in a body."""
    return [int(number) for number in re.findall(rb"id: (\d+)\n", body)]


@pytest.fixture
async def versions(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[VersionedWorld]:
    monkeypatch.setenv("GYPSUMROUTER_LINK_KEY", "a key of the links between routers")
    world = VersionedWorld()
    await world.async_start()
    yield world
    await world.async_stop()


@pytest.mark.parametrize("number", range(8))
async def test_stream_resumed_within_its_response_stays_at_its_version(
    versions: VersionedWorld, session: Session, number: int
) -> None:
    # The first engine that runs the request breaks off; any other would complete it.
    for runner in versions.models:
        runner.next_faults.append(RunnerFault.RESET_STREAM)
        runner.on_run = lambda: clear_faults(versions)
    prompt = {**PROMPT, "X-Prefix-Hash": f"a1:800,b{number}:400,c3:200"}
    status, body, _ = await versions.async_call(
        session, "POST", "/quote/a", "r1", body=b"p", extra=prompt
    )
    assert (status, count_events(body)) == (200, [1, 2, 3, 4, 5, 6])
    assert len(list_versions(body)) == 1
    assert len(versions.arrivals("r1")) == 2


async def test_stream_ends_if_the_last_upstream_of_its_version_breaks_off(
    versions: VersionedWorld, session: Session
) -> None:
    only = versions.models[0]
    only.default_fault = RunnerFault.RESET_STREAM
    await versions.async_put_entry(versions.models[1], state="draining")
    await versions.async_until(lambda: is_leaving(versions, "i-models-1"))
    broken = 0
    for number in range(24):
        extra = {**PROMPT, "X-Prefix-Hash": f"a{number}:800,b{number}:400,c3:200"}
        try:
            await versions.async_call(
                session, "POST", "/quote/a", f"r{number}", body=b"p", extra=extra
            )
        except aiohttp.ClientError:
            broken += 1
        assert not [a for a in versions.arrivals(f"r{number}") if "Last-Event-Id" in a.headers]
    assert broken == len(only.ran) > 0


@pytest.mark.parametrize("version", ["v1", "v2"])
async def test_stream_taken_up_at_another_router_goes_on_at_its_version(
    versions: VersionedWorld, session: Session, version: str
) -> None:
    await versions.async_start_routers("entry-2", "entry-3")
    for number in range(5):
        began_as = f"{version}-{number}"
        received = await versions.async_begin(session, began_as, version)
        status, body, _ = await versions.async_take_up(
            session,
            f"again-{began_as}",
            began_as=began_as,
            received=received,
            product=versions.products[1 + number % 2],
        )
        assert status == 200
        assert list_versions(received + body) == {version.encode()}
        assert count_events(received + body) == [1, 2, 3, 4, 5, 6]


async def test_stream_of_a_killed_router_goes_on_at_its_version(
    versions: VersionedWorld, session: Session
) -> None:
    await versions.async_start_routers("entry-2", "entry-3")
    first = versions.products[0]
    received = {
        f"{version}-{number}": await versions.async_begin(session, f"{version}-{number}", version)
        for version in ("v1", "v2")
        for number in range(4)
    }
    await async_wait_told(versions, len(received))
    await versions.async_end(first)
    for began_as, begun in received.items():
        status, body, _ = await versions.async_take_up(
            session, f"again-{began_as}", began_as=began_as, received=begun
        )
        assert status == 200
        assert list_versions(begun + body) == {began_as[:2].encode()}


async def test_streams_of_lost_routers_are_refused_as_not_run_and_may_return_at_once(
    versions: VersionedWorld, session: Session
) -> None:
    received = await versions.async_begin(session, "r1", "v1")
    await versions.async_end(versions.product)
    product = await versions.async_start_forwarder("entry-4", first_start=False)
    await versions.async_until(product.is_ready)
    status, _, headers = await versions.async_take_up(
        session, "again", began_as="r1", received=received
    )
    assert status == NOT_RUN
    assert float(headers["Retry-After"]) < 0.01
    assert not versions.arrivals("again")


async def test_stream_is_refused_once_all_upstreams_of_its_version_have_left(
    versions: VersionedWorld, session: Session
) -> None:
    received = await versions.async_begin(session, "r1", "v1")
    for runner in versions.list_of("v1"):
        await versions.async_put_entry(runner, state="draining")
    await versions.async_until(lambda: is_leaving(versions, "i-models-1"))
    status, _, _ = await versions.async_take_up(session, "again", began_as="r1", received=received)
    assert status == NOT_RUN
    assert not versions.arrivals("again")


async def test_stream_is_refused_where_only_a_former_version_of_its_upstream_wrote_it(
    versions: VersionedWorld, session: Session
) -> None:
    runner = versions.models[0]
    await async_restart(versions, runner, started_ms=1_700_000_000_000)
    await versions.store.async_remove("servers/i-models-1")
    await versions.async_until(lambda: list_ready_versions(versions) == ["v1", "v2", "v2"])
    received = await versions.async_begin(session, "r1", "v1")
    runner.version = "v2"
    await async_restart(versions, runner, started_ms=1_700_000_001_000)
    await versions.async_until(lambda: list_ready_versions(versions) == ["v2", "v2", "v2"])
    status, _, _ = await versions.async_take_up(session, "again", began_as="r1", received=received)
    assert status == NOT_RUN
    assert not versions.arrivals("again")


async def test_start_that_the_list_does_not_show_yet_gets_no_part_of_a_stream(
    versions: VersionedWorld, session: Session
) -> None:
    for number, runner in enumerate(versions.list_of("v1")):
        await async_restart(versions, runner, started_ms=1_700_000_000_000 + number)
    await versions.async_until(lambda: count_starts(versions) == 2)
    received = await versions.async_begin(session, "r1", "v1")
    # Both start anew at the other version, and the list stays as it was.
    for runner in versions.list_of("v1"):
        runner.listener.reset_connections()
        runner.started_ms += 5_000
        runner.version = "v2"
    status, body, _ = await versions.async_take_up(
        session, "again", began_as="r1", received=received
    )
    assert status == NOT_RUN, body
    assert not versions.arrivals("again")


async def test_start_that_the_list_does_not_show_is_noticed_by_its_lost_connections(
    versions: VersionedWorld, session: Session
) -> None:
    for runner in versions.list_of("v2"):
        await versions.store.async_remove(f"servers/{runner.name}")
    for number, runner in enumerate(versions.list_of("v1")):
        await async_restart(versions, runner, started_ms=1_700_000_000_000 + number)
    await versions.async_end(versions.product)
    product = await versions.async_start_forwarder("entry-7")
    await versions.async_until(lambda: product.is_ready() and count_starts(versions) == 2)
    received = await versions.async_begin(session, "begun", "v1")
    assert dump(product)["streams"]["single_version"]["models"] == "v1"
    for number in range(8):
        prompt = {**PROMPT, "X-Prefix-Hash": f"a1:800,b{number}:400,c3:200"}
        await versions.async_call(
            session, "POST", "/quote/a", f"r{number}", body=b"p", extra=prompt
        )
    assert all(runner.ran for runner in versions.models[:2])
    for runner in versions.list_of("v1"):
        runner.listener.reset_connections()
        runner.started_ms += 5_000
        runner.version = "v2"
    await versions.async_until(lambda: not versions.list_of("v1"))
    status, body, _ = await versions.async_take_up(
        session, "again", began_as="begun", received=received
    )
    assert status == NOT_RUN, body
    assert not versions.arrivals("again")


# Guards against a stream that begins at a start which isn't listed, at a router that others can't
# ask yet: where its caller takes it up, the one listed version counts as the stream's.
async def test_router_that_has_just_started_begins_a_stream_at_a_start_that_is_not_listed(
    versions: VersionedWorld, session: Session, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("gypsumrouter.streams.versions.START_MS", 60_000)
    for runner in versions.list_of("v2"):
        await versions.store.async_remove(f"servers/{runner.name}")
    for number, runner in enumerate(versions.list_of("v1")):
        await async_restart(versions, runner, started_ms=1_700_000_000_000 + number)
    await versions.async_until(lambda: count_starts(versions) == 2)
    await versions.async_until(lambda: list_ready_versions(versions) == ["v1", "v1"])
    # Both start anew at the other version, and the list stays as it was.
    for runner in versions.list_of("v1"):
        runner.listener.reset_connections()
        runner.started_ms += 5_000
        runner.version = "v2"
    product = await versions.async_start_forwarder("entry-8", first_start=False)
    await versions.async_until(product.is_ready)
    calls = [
        versions.async_call(
            session, "POST", "/quote/a", f"r{number}", product=product, body=b"p", extra=PROMPT
        )
        for number in range(4)
    ]
    assert [status for status, _, _ in await asyncio.gather(*calls)] == [NOT_RUN] * 4
    assert not any(runner.ran for runner in versions.models)


async def test_upstream_is_asked_for_its_start_once_while_connections_to_it_stay_open(
    versions: VersionedWorld, session: Session
) -> None:
    for number, runner in enumerate(versions.models):
        await async_restart(versions, runner, started_ms=1_700_000_000_000 + number)
    await versions.async_until(lambda: count_starts(versions) == 4)
    for number in range(40):
        prompt = {**PROMPT, "X-Prefix-Hash": f"a1:800,b{number % 8}:400,c3:200"}
        await versions.async_call(
            session, "POST", "/quote/a", f"r{number}", body=b"p", extra=prompt
        )
    used = [runner for runner in versions.models if runner.ran]
    assert sum(runner.report_calls for runner in versions.models) == len(used) > 0


async def test_router_whose_list_is_old_does_not_guess_the_version(
    versions: VersionedWorld, session: Session
) -> None:
    store = PublishedStoreStandin()
    address = await store.async_start()
    for runner in versions.list_of("v1"):
        await versions.async_put_entry(runner, store=store)
    await store.async_put_configuration(make_configuration())
    alone = await versions.async_start_forwarder("entry-5", store=str(address))
    await versions.async_until(alone.is_ready)
    received = await versions.async_begin(session, "r1", "v2")
    await store.async_set_fault(StoreFault.SILENT)
    await versions.async_until(lambda: "models" not in dump(alone)["streams"]["single_version"])
    status, _, _ = await versions.async_take_up(
        session, "again", began_as="r1", received=received, product=alone
    )
    await store.async_stop()
    assert status == NOT_RUN
    assert not versions.arrivals("again")


async def test_unknown_stream_goes_on_while_its_service_has_had_one_version_only(
    versions: VersionedWorld, session: Session
) -> None:
    for runner in versions.list_of("v2"):
        await versions.store.async_remove(f"servers/{runner.name}")
    await versions.async_end(versions.product)
    product = await versions.async_start_forwarder("entry-6")
    await versions.async_until(product.is_ready)
    status, body, _ = await versions.async_take_up(
        session, "again", began_as="elsewhere", received=b"id: 2\n"
    )
    assert (status, count_events(body)) == (200, [3, 4, 5, 6])


def clear_faults(world: VersionedWorld) -> None:
    for runner in world.models:
        runner.next_faults.clear()


async def async_restart(world: VersionedWorld, runner: PlatformRunner, *, started_ms: int) -> None:
    """Start a runner anew under its id, and list it."""
    runner.listener.reset_connections()
    runner.started_ms = started_ms
    await world.async_put_entry(runner)


async def async_wait_told(world: VersionedWorld, count: int) -> None:
    """Wait until a router that did not relay the streams knows their versions."""
    await world.async_until(
        lambda: all(dump(product)["streams"]["known"] >= count for product in world.products[1:])
    )


def dump(product: RunningProcess) -> Any:
    return product.app.dump()


def list_entries(world: VersionedWorld) -> list[dict[str, Any]]:
    upstreams = dump(world.product)["directory"]["upstreams"]
    return [upstream for upstream in upstreams if upstream["service"] == "models"]


def is_leaving(world: VersionedWorld, upstream: str) -> bool:
    return any(e["id"] == upstream and e["state"] == "leaving" for e in list_entries(world))


def list_ready_versions(world: VersionedWorld) -> list[str]:
    return sorted(e["version"] for e in list_entries(world) if e["state"] == "ready")


def count_starts(world: VersionedWorld) -> int:
    return sum(1 for entry in list_entries(world) if entry["started_ms"])


@pytest.mark.parametrize(("split", "status"), [(False, NOT_RUN), (True, 200)])
async def test_stream_of_a_moved_route_goes_on_at_the_service_that_began_it_or_not_at_all(
    versions: VersionedWorld, session: Session, split: bool, status: int
) -> None:
    received = await versions.async_begin(session, "r1", "v1")
    targets = [{"service": "models-b", "weight": 99}]
    if split:
        targets.append({"service": "models", "weight": 1})
    for number in (0, 1):
        runner = PlatformRunner(name=f"i-models-b-{number}", events=6, version="v1")
        versions.models.append(runner)
        versions.addresses[runner.name] = await runner.async_start()
        await versions.async_put_entry(runner, service="models-b")
    moved = make_configuration(version=2)
    for route in moved["routes"]:
        if route["name"] == "quote":
            del route["service"]
            route["split"] = targets
    moved["services"].append({"name": "models-b", "engine": {"slots": 64}})
    await versions.store.async_put_configuration(moved)
    await versions.async_until(lambda: dump(versions.product)["routing"]["version"] == 2)
    answered, body, _ = await versions.async_take_up(
        session, "again", began_as="r1", received=received
    )
    assert answered == status
    assert not [a for r in versions.models[4:] for a in r.arrivals if a.request_id == "again"]
    assert list_versions(body) <= {b"v1"}
