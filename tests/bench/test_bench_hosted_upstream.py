"""The upstreams of the soak of deaths: their questions, and what stands before them."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
import pytest_asyncio

from bench.hosted_upstream import Front, HostedUpstream
from bench.upstream_host import (
    HEALTH_PATH,
    INSTANCE_ID,
    EarlyEnd,
    FirstEvent,
    HostPlan,
    UpstreamFraming,
)
from bench.upstream_proxy import IDLE_S
from gypsumrouter.instances import Address
from gypsumrouter.platform import names
from gypsumrouter.standins import PublishedStoreStandin

NAME = "i-a"
# Longer than anything that an upstream or a proxy does at once, and than a proxy takes to see that
# a connection is idle.
SILENT_S = IDLE_S + 0.05
CLOSING_S = 0.3
CONNECTIONS = 6
READ_BYTES = 65_536

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Starter = Callable[..., Awaitable[HostedUpstream]]


@pytest_asyncio.fixture
async def start(tmp_path: Path) -> AsyncIterator[Starter]:
    """Return a function that starts an upstream; the options are those of its plan."""
    async with AsyncExitStack() as stack:
        store = PublishedStoreStandin()
        await store.async_start()
        stack.push_async_callback(store.async_stop)

        async def async_start(front: Front = Front.DIRECT, **options: object) -> HostedUpstream:
            plan = {
                "name": NAME,
                "port": 0,
                "framing": UpstreamFraming.NEITHER,
                "first_event": FirstEvent.NEXT,
                "pause_s": 0.02,
                "notes": str(tmp_path / "notes"),
                **options,
            }
            upstream = HostedUpstream(
                store=store,
                service="models",
                plan=HostPlan(**plan),  # type: ignore[arg-type]
                front=front,
            )
            stack.push_async_callback(upstream.async_stop)
            await upstream.async_start()
            return upstream

        yield async_start


async def async_connect(address: Address) -> Connection:
    return await asyncio.open_connection(address.host, address.port)


async def async_ask(
    connection: Connection, path: str, expected: str = "", *, more: str = ""
) -> tuple[int, str]:
    """Ask on a connection; return the status and the whole head and body, 0 if it ends."""
    reader, writer = connection
    expects = f"{names.EXPECT_INSTANCE}: {expected}\r\n" if expected else ""
    writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n{expects}{more}\r\n".encode())
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionResetError):
        return 0, ""
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
    return int(head.split(b" ")[1]), (head + await reader.readexactly(length)).decode()


async def async_read_one(address: Address) -> None:
    """Wait for a byte on a new connection."""
    connection = await async_connect(address)
    await connection[0].readexactly(1)


async def async_is_silent(connection: Connection) -> bool:
    """Return whether nothing comes for a while after a question, not even an end."""
    try:
        async with asyncio.timeout(SILENT_S):
            await async_ask(connection, HEALTH_PATH)
    except TimeoutError:
        return True
    return False


async def async_stays_open(connection: Connection) -> bool:
    """Return whether nothing comes for a while without a question, not even an end."""
    try:
        async with asyncio.timeout(SILENT_S):
            await connection[0].read(1)
    except TimeoutError:
        return True
    return False


# Guards against a soak in which no question after an end could be answered.
async def test_upstream_names_its_id_and_rejects_questions_for_another_one(start: Starter) -> None:
    upstream = await start()
    connection = await async_connect(upstream.address)
    status, text = await async_ask(connection, HEALTH_PATH, NAME)
    assert (status, f"{INSTANCE_ID}: {NAME}\r\n" in text) == (200, True)
    for path in (HEALTH_PATH, names.CALL_REPORT, "/a"):
        status, text = await async_ask(connection, path, "i-b")
        assert (status, f"{names.NOT_RUN}: 1\r\n" in text) == (421, True)
    connection[1].close()


async def test_health_waits_for_a_slot_and_a_full_upstream_rejects_it(start: Starter) -> None:
    upstream = await start(slots=1, pause_s=10.0)
    connections = [await async_connect(upstream.address) for _ in range(4)]
    connections[0][1].write(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
    await connections[0][0].readuntil(b"\r\n\r\n")
    assert await async_is_silent(connections[1])
    status, text = await async_ask(connections[2], HEALTH_PATH)
    assert (status, f"{names.NOT_RUN}: 1\r\n" in text) == (503, True)
    connections[1][1].close()
    # Its deadline passes while it waits.
    waiting = await async_connect(upstream.address)
    status, text = await async_ask(waiting, HEALTH_PATH, more=f"{names.DEADLINE}: 50\r\n")
    assert (status, f"{names.NOT_RUN}: 1\r\n" in text) == (503, True)
    waiting[1].close()
    # A report needs no slot.
    status, _ = await async_ask(connections[3], names.CALL_REPORT)
    assert status == 200
    for _, writer in connections:
        writer.close()


# Guards against a soak whose upstreams outlast their deadlines, or all end there in one way.
@pytest.mark.parametrize("framing", list(UpstreamFraming))
@pytest.mark.parametrize("end", list(EarlyEnd))
async def test_answer_ends_at_the_deadline_as_drawn(
    start: Starter, framing: UpstreamFraming, end: EarlyEnd
) -> None:
    upstream = await start(framing=framing, deadline_ends=[end], pause_s=0.05)
    reader, writer = await async_connect(upstream.address)
    begun_s = time.monotonic()
    writer.write(f"GET /a HTTP/1.1\r\nHost: a\r\n{names.DEADLINE}: 180\r\n\r\n".encode())
    head = await reader.readuntil(b"\r\n\r\n")
    is_reset, body = False, b""
    try:
        async with asyncio.timeout(SILENT_S):
            while data := await reader.read(READ_BYTES):
                body += data
    except ConnectionResetError:
        is_reset = True
    except TimeoutError:
        # The connection is kept.
        assert body.endswith(b"0\r\n\r\n") or end is EarlyEnd.STATUS
    # It counts in whole milliseconds.
    assert 0.179 <= time.monotonic() - begun_s < 0.18 + 2 * SILENT_S
    assert head.split(b" ")[1] == (b"504" if end is EarlyEnd.STATUS else b"200")
    assert is_reset is (end is EarlyEnd.RESET)
    assert body.count(f"{NAME}/".encode()) == (0 if end is EarlyEnd.STATUS else 3)
    is_framed = framing is UpstreamFraming.CHUNKS and end is EarlyEnd.IN_ORDER
    assert body.endswith(b"0\r\n\r\n") is is_framed
    writer.close()


# Guards against a soak in which an engine that falls over takes its listener with it.
async def test_answers_end_at_one_moment_and_the_upstream_lives_on(start: Starter) -> None:
    upstream = await start(deadline_ends=[EarlyEnd.IN_ORDER], pause_s=0.05)
    connections = [await async_connect(upstream.address) for _ in range(4)]
    for reader, writer in connections:
        writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
    upstream.fall_over()
    _, pending = await asyncio.wait(
        [asyncio.create_task(reader.read()) for reader, _ in connections], timeout=SILENT_S
    )
    # All of them end, or half.
    assert len(pending) in (0, 2)
    asking = await async_connect(upstream.address)
    assert (await async_ask(asking, HEALTH_PATH, NAME))[0] == 200
    for task in pending:
        task.cancel()
    for _, writer in (*connections, asking):
        writer.close()


async def test_connections_beyond_the_limit_are_reset(start: Starter) -> None:
    upstream = await start(max_connections=1)
    first = await async_connect(upstream.address)
    assert (await async_ask(first, HEALTH_PATH))[0] == 200
    # The reset comes at the connect, or behind it.
    with pytest.raises(ConnectionResetError):
        await async_read_one(upstream.address)
    first[1].close()


@pytest.mark.parametrize("states_start", [True, False])
async def test_next_start_has_another_id_where_no_start_is_stated(
    start: Starter, states_start: bool
) -> None:
    upstream = await start(states_start=states_start)
    first, born = upstream.plan.name, []
    for _ in range(2):
        connection = await async_connect(upstream.address)
        _, text = await async_ask(connection, names.CALL_REPORT)
        born.append(json.loads(text.partition("\r\n\r\n")[2]).get("born"))
        connection[1].close()
        await upstream.async_prepare()
        await upstream.async_kill(signal.SIGKILL)
        await upstream.async_start()
    assert (upstream.plan.name == first) is states_start
    assert (born[0] is not None) is states_start
    assert (born[0] != born[1]) is states_start


# Guards against a death at one moment, which evidence of 40 ms is enough for.
async def test_connections_of_a_slow_death_are_closed_one_by_one(start: Starter) -> None:
    upstream = await start(closing_s=CLOSING_S)
    connections = [await async_connect(upstream.address) for _ in range(CONNECTIONS)]
    for connection in connections:
        assert (await async_ask(connection, HEALTH_PATH))[0] == 200

    async def async_wait_for_end(connection: Connection) -> float:
        await connection[0].read()
        return time.monotonic()

    ends = asyncio.gather(*map(async_wait_for_end, connections))
    await upstream.async_kill(signal.SIGUSR1)
    ended_s = sorted(await ends)
    assert ended_s[-1] - ended_s[0] > CLOSING_S / 2
    with pytest.raises(ConnectionRefusedError):
        await async_connect(upstream.address)


@pytest.mark.parametrize("front", [Front.QUEUE, Front.PROXY_SILENT, Front.PROXY_ONE_WAY])
async def test_listener_that_outlives_its_upstream_accepts_silently(
    start: Starter, front: Front
) -> None:
    upstream = await start(front, states_start=False)
    before = await async_connect(upstream.address)
    assert (await async_ask(before, HEALTH_PATH))[0] == 200
    await upstream.async_kill(signal.SIGKILL)
    assert await before[0].read() == b""
    after = await async_connect(upstream.address)
    assert await async_is_silent(after)
    await upstream.async_start()
    connection = await async_connect(upstream.address)
    assert (await async_ask(connection, HEALTH_PATH, upstream.plan.name))[0] == 200
    for _, writer in (before, after, connection):
        writer.close()


async def test_proxy_that_closes_accepts_and_closes_when_its_upstream_is_gone(
    start: Starter,
) -> None:
    upstream = await start(Front.PROXY_CLOSES)
    await upstream.async_kill(signal.SIGKILL)
    connection = await async_connect(upstream.address)
    assert await connection[0].read() == b""
    connection[1].close()


async def test_proxy_that_stalls_passes_the_end_of_idle_connections_on_late(
    start: Starter,
) -> None:
    upstream = await start(Front.PROXY_STALLS)
    connection = await async_connect(upstream.address)
    assert (await async_ask(connection, HEALTH_PATH))[0] == 200
    # Idle for long enough that the proxy takes it for idle, and not closed for that.
    assert await async_stays_open(connection)
    await upstream.async_kill(signal.SIGKILL)
    assert await async_stays_open(connection)
    connection[1].close()


async def test_one_of_two_workers_answers_for_the_id_when_the_other_dies(start: Starter) -> None:
    upstream = await start(Front.WORKERS)
    await upstream.async_kill(signal.SIGKILL)
    connection = await async_connect(upstream.address)
    assert (await async_ask(connection, HEALTH_PATH, NAME))[0] == 200
    connection[1].close()
