"""One connection through the fault proxy: two ends, and a pipe for each way."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import Final, cast

from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.standins.faults import Gate
from gypsumrouter.standins.listener import reset_transport
from gypsumrouter.util.clock import Clock

MAX_BUFFERED_BYTES: Final = 256 * 1024
CHUNK_BYTES: Final = 16 * 1024


class Direction(StrEnum):
    """A direction through the proxy."""

    FORWARD = "forward"
    BACK = "back"


BOTH_DIRECTIONS: Final = frozenset(Direction)


class TrafficShaper:
    """What happens to all data that goes one way through a proxy."""

    __slots__ = ("_clock", "_free_at_ms", "bytes_per_s", "delay_ms", "forwarded_bytes", "gate")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._free_at_ms = 0.0
        self.delay_ms = 0
        self.bytes_per_s: float | None = None
        self.gate = Gate()
        self.forwarded_bytes = 0

    async def async_throttle(self, size: int) -> None:
        """Wait as long as the bandwidth asks for `size` bytes."""
        self.forwarded_bytes += size
        if self.bytes_per_s is None:
            return
        now_ms = self._clock.now_ms()
        self._free_at_ms = max(self._free_at_ms, now_ms) + size * MS_PER_S / self.bytes_per_s
        wait_ms = round(self._free_at_ms - now_ms)
        if wait_ms > 0:
            await self._clock.async_sleep(wait_ms)


class Eof(Struct, frozen=True, kw_only=True):
    """The sender has closed its half."""


class ConnectionLost(Struct, frozen=True, kw_only=True):
    """The sender's connection is gone."""

    reset: bool


PipeItem = bytes | Eof | ConnectionLost


class Endpoint(asyncio.Protocol):
    """One end of a proxied connection: it fills the pipe that leads away from it."""

    __slots__ = ("_on_connected", "_on_lost", "lost", "pipe", "transport", "writable")

    def __init__(
        self, *, pipe: Pipe, on_connected: Callable[[], None], on_lost: Callable[[], None]
    ) -> None:
        self.pipe = pipe
        self._on_connected = on_connected
        self._on_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; nothing is read until the other end is there too."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.pause_reading()
        self._on_connected()

    def data_received(self, data: bytes) -> None:
        """Put data into the pipe."""
        self.pipe.put(bytes(data))
        if self.pipe.is_full:
            self.set_reading(False)

    def eof_received(self) -> bool:
        """Put the end of this half into the pipe, and keep the other half open."""
        self.pipe.put(Eof())
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Put the loss into the pipe."""
        self.lost = True
        self.writable.set()
        self.pipe.put(ConnectionLost(reset=exc is not None))
        self._on_lost()

    def pause_writing(self) -> None:
        """Note that the reader at this end is slow."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Note that the reader at this end has caught up."""
        self.writable.set()

    def set_reading(self, reading: bool) -> None:
        """Read from this end, or leave what comes to the kernel."""
        if self.transport is None or self.transport.is_closing():
            return
        if reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def reset(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            reset_transport(self.transport)


class Pipe:
    """What is under way from one end to the other; a blackholed pipe swallows everything."""

    __slots__ = (
        "_buffered_bytes",
        "_clock",
        "_queue",
        "_shaper",
        "_wake",
        "blackholed",
        "eof_sent",
    )

    def __init__(self, *, clock: Clock, shaper: TrafficShaper) -> None:
        self._clock = clock
        self._shaper = shaper
        self._queue: deque[tuple[int, PipeItem]] = deque()
        self._buffered_bytes = 0
        self._wake = asyncio.Event()
        self.eof_sent = False
        self.blackholed = False

    @property
    def is_full(self) -> bool:
        """Return whether no more should be read into it."""
        return self.blackholed or self._buffered_bytes >= MAX_BUFFERED_BYTES

    def put(self, item: PipeItem) -> None:
        """Send something on its way."""
        if self.blackholed:
            return
        due_ms = self._clock.now_ms() + self._shaper.delay_ms
        self._queue.append((due_ms, item))
        self._buffered_bytes += len(item) if isinstance(item, bytes) else 0
        self._wake.set()

    def blackhole(self) -> None:
        """Swallow what is under way and all that comes."""
        self.blackholed = True
        self._queue.clear()

    async def async_run(self, *, source: Endpoint, sink: Endpoint) -> None:
        """Carry everything to the sink until the source is lost."""
        while True:
            while not self._queue:
                self._wake.clear()
                await self._wake.wait()
            due_ms, item = self._queue.popleft()
            delay_ms = due_ms - self._clock.now_ms()
            if delay_ms > 0:
                await self._clock.async_sleep(delay_ms)
            await self._shaper.gate.async_wait_open()
            if self.blackholed:
                continue
            match item:
                case bytes():
                    await self._async_write(item, sink)
                    self._buffered_bytes -= len(item)
                    source.set_reading(not self.is_full)
                case Eof():
                    self._forward_eof(source, sink)
                case ConnectionLost(reset=reset):
                    _close_endpoint(sink, reset)
                    return

    async def _async_write(self, data: bytes, sink: Endpoint) -> None:
        for begin in range(0, len(data), CHUNK_BYTES):
            chunk = data[begin : begin + CHUNK_BYTES]
            await self._shaper.async_throttle(len(chunk))
            await self._shaper.gate.async_wait_open()
            await sink.writable.wait()
            if self.blackholed or sink.lost or sink.transport is None:
                return
            sink.transport.write(chunk)

    def _forward_eof(self, source: Endpoint, sink: Endpoint) -> None:
        self.eof_sent = True
        if sink.transport is None or sink.lost:
            return
        if sink.pipe.eof_sent:
            _close_endpoint(sink, reset=False)
            _close_endpoint(source, reset=False)
            return
        if sink.transport.can_write_eof():
            sink.transport.write_eof()


def _close_endpoint(endpoint: Endpoint, reset: bool) -> None:
    if endpoint.transport is None or endpoint.lost:
        return
    if reset:
        endpoint.reset()
    else:
        endpoint.transport.close()
