"""Fault proxy: effect of each fault, and how it is cleared."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from driven_clock import HANG_S, async_drive, async_until

from gypsumrouter.instances import Address
from gypsumrouter.standins import Direction, FaultProxy, Partition
from gypsumrouter.standins.pipes import MAX_BUFFERED_BYTES
from gypsumrouter.util.clock import ManualClock

IDLE_ROUNDS = 200


class EchoTarget:
    """A server that echoes received data."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.accepted = 0
        self.ended = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def async_start(self) -> Address:
        self.server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        return Address(host="127.0.0.1", port=self.server.sockets[0].getsockname()[1])

    async def async_stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        self.writers.append(writer)
        try:
            while data := await reader.read(65_536):
                self.received += data
                writer.write(data)
        except ConnectionError:
            pass
        self.ended += 1
        writer.close()


class Caller:
    """One connection through the proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def async_echo(self, data: bytes) -> bytes:
        self.writer.write(data)
        async with asyncio.timeout(HANG_S):
            return await self.reader.readexactly(len(data))

    async def async_is_idle(self) -> bool:
        """Return whether neither data nor EOF arrives."""
        read = asyncio.ensure_future(self.reader.read(1))
        for _ in range(IDLE_ROUNDS):
            await asyncio.sleep(0)
        idle = not read.done()
        read.cancel()
        await asyncio.gather(read, return_exceptions=True)
        return idle


class ProxyHarness:
    """An echo server behind a fault proxy, and callers."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.target = EchoTarget()
        self.callers: list[Caller] = []

    async def async_start(self) -> None:
        self.proxy = FaultProxy(target=await self.target.async_start(), clock=self.clock)
        await self.proxy.async_start()

    async def async_stop(self) -> None:
        for caller in self.callers:
            caller.writer.close()
        await self.proxy.async_stop()
        await self.target.async_stop()

    async def async_connect(self) -> Caller:
        address = self.proxy.address
        caller = Caller(*await asyncio.open_connection(address.host, address.port))
        self.callers.append(caller)
        return caller

    async def async_connect_through(self) -> Caller:
        caller = await self.async_connect()
        assert await caller.async_echo(b"hello") == b"hello"
        return caller


@pytest.fixture
async def harness(clock: ManualClock) -> AsyncIterator[ProxyHarness]:
    harness = ProxyHarness(clock)
    await harness.async_start()
    yield harness
    await harness.async_stop()


async def test_without_faults_all_bytes_are_forwarded_both_ways(harness: ProxyHarness) -> None:
    caller = await harness.async_connect_through()
    data = bytes(range(256)) * 4_096
    assert await caller.async_echo(data) == data
    assert harness.proxy.get_forwarded_bytes(Direction.BACK) == len(data) + 5


async def test_half_close_is_forwarded_and_the_other_half_stays_open(harness: ProxyHarness) -> None:
    caller = await harness.async_connect()
    caller.writer.write(b"last words")
    caller.writer.write_eof()
    async with asyncio.timeout(HANG_S):
        assert await caller.reader.read() == b"last words"
    await async_until(lambda: harness.proxy.connections == 0)


async def test_close_by_the_target_closes_the_caller(harness: ProxyHarness) -> None:
    caller = await harness.async_connect_through()
    harness.target.writers[0].close()
    async with asyncio.timeout(HANG_S):
        assert await caller.reader.read() == b""


async def test_delay_applies_per_direction(harness: ProxyHarness) -> None:
    caller = await harness.async_connect_through()
    harness.proxy.set_delay(30, directions={Direction.FORWARD})
    harness.proxy.set_delay(20, directions={Direction.BACK})
    caller.writer.write(b"x")
    began_ms = harness.clock.now_ms()
    assert await caller.async_is_idle()
    assert await async_drive(harness.clock, caller.reader.readexactly(1)) == b"x"
    assert harness.clock.now_ms() - began_ms >= 50


async def test_delayed_data_keeps_its_order_and_delays_do_not_add_up(
    harness: ProxyHarness,
) -> None:
    caller = await harness.async_connect_through()
    harness.proxy.set_delay(100, directions={Direction.FORWARD})
    began_ms = harness.clock.now_ms()
    for part in (b"a", b"b", b"c"):
        caller.writer.write(part)
        assert await caller.async_is_idle()
        harness.clock.advance(10)
    harness.clock.advance(100)
    async with asyncio.timeout(HANG_S):
        assert await caller.reader.readexactly(3) == b"abc"
    assert harness.clock.now_ms() - began_ms == 130


async def test_bandwidth_is_shared_by_all_connections(harness: ProxyHarness) -> None:
    callers = [await harness.async_connect_through() for _ in range(2)]
    harness.proxy.set_bandwidth(100_000, directions={Direction.FORWARD})
    began_ms = harness.clock.now_ms()
    echoes = [caller.async_echo(b"x" * 50_000) for caller in callers]
    await async_drive(harness.clock, asyncio.gather(*echoes))
    assert harness.clock.now_ms() - began_ms >= 999


async def test_reset_closes_open_connections_and_new_ones_work(harness: ProxyHarness) -> None:
    caller = await harness.async_connect_through()
    assert harness.proxy.reset_connections() == 1
    with pytest.raises(ConnectionResetError):
        await caller.reader.read(1)
    await async_until(lambda: harness.target.ended == 1)
    await harness.async_connect_through()


async def test_refusing_keeps_open_connections_and_the_port(harness: ProxyHarness) -> None:
    caller = await harness.async_connect_through()
    address = harness.proxy.address
    harness.proxy.refuse_connections()
    with pytest.raises(ConnectionRefusedError):
        await harness.async_connect()
    assert await caller.async_echo(b"still here") == b"still here"
    await harness.proxy.async_clear_faults()
    await harness.async_connect_through()
    assert harness.proxy.address == address


async def test_refusing_target_resets_the_caller(harness: ProxyHarness) -> None:
    await harness.target.async_stop()
    caller = await harness.async_connect()
    with pytest.raises(ConnectionResetError):
        await caller.reader.read(1)


async def test_blackholed_connection_stays_blackholed_while_new_ones_work(
    harness: ProxyHarness,
) -> None:
    caller = await harness.async_connect_through()
    harness.proxy.blackhole()
    caller.writer.write(b"lost")
    assert await caller.async_is_idle()
    await harness.async_connect_through()
    await harness.proxy.async_clear_faults()
    caller.writer.write(b"lost too")
    assert await caller.async_is_idle()
    assert bytes(harness.target.received) == b"hello" * 2


async def test_close_is_not_forwarded_on_a_blackholed_connection(
    harness: ProxyHarness,
) -> None:
    caller = await harness.async_connect_through()
    other = await harness.async_connect_through()
    harness.proxy.blackhole()
    caller.writer.close()
    assert await other.async_is_idle()
    assert harness.target.ended == 0
    harness.target.writers[1].close()
    assert await other.async_is_idle()


async def test_blackhole_of_one_direction_keeps_the_other(harness: ProxyHarness) -> None:
    caller = await harness.async_connect_through()
    harness.proxy.blackhole(directions={Direction.BACK})
    caller.writer.write(b"one way")
    await async_until(lambda: bytes(harness.target.received) == b"helloone way")
    assert await caller.async_is_idle()


async def test_blackhole_of_new_connections_ends_when_faults_are_cleared(
    harness: ProxyHarness,
) -> None:
    harness.proxy.blackhole(include_new=True)
    caller = await harness.async_connect()
    caller.writer.write(b"lost")
    assert await caller.async_is_idle()
    await harness.proxy.async_clear_faults()
    await harness.async_connect_through()
    assert bytes(harness.target.received) == b"hello"


async def test_blocked_data_is_delivered_after_unblock(
    harness: ProxyHarness,
) -> None:
    opened = await harness.async_connect_through()
    harness.proxy.block()
    new = await harness.async_connect()
    for caller in (opened, new):
        caller.writer.write(b"held")
        assert await caller.async_is_idle()
    assert harness.target.accepted == 1
    harness.proxy.unblock()
    async with asyncio.timeout(HANG_S):
        for caller in (opened, new):
            assert await caller.reader.readexactly(4) == b"held"


async def test_blocked_proxy_buffers_a_bounded_number_of_bytes(harness: ProxyHarness) -> None:
    caller = await harness.async_connect_through()
    harness.proxy.block(directions={Direction.FORWARD})
    flood = b"x" * (MAX_BUFFERED_BYTES * 128)
    caller.writer.write(flood)
    for _ in range(IDLE_ROUNDS):
        await asyncio.sleep(0)
    buffered = caller.writer.transport.get_write_buffer_size()
    assert buffered > len(flood) // 4
    harness.proxy.unblock()
    async with asyncio.timeout(HANG_S):
        assert await caller.reader.readexactly(len(flood)) == flood


async def test_partition_blocks_only_between_the_two_groups(
    clock: ManualClock,
) -> None:
    partition = Partition()
    harnesses = {name: ProxyHarness(clock) for name in ("a-b", "b-a", "a-c")}
    for name, harness in harnesses.items():
        await harness.async_start()
        source, _, target = name.partition("-")
        partition.add(source=source, target=target, proxy=harness.proxy)
    callers = {name: await harness.async_connect_through() for name, harness in harnesses.items()}
    partition.block(["a"], ["b"])
    assert await callers["a-c"].async_echo(b"open") == b"open"
    for name in ("a-b", "b-a"):
        callers[name].writer.write(b"shut")
        assert await callers[name].async_is_idle()
    await partition.async_clear_faults()
    async with asyncio.timeout(HANG_S):
        for name in ("a-b", "b-a"):
            assert await callers[name].reader.readexactly(4) == b"shut"
    for harness in harnesses.values():
        await harness.async_stop()
