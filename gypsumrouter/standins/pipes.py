"""Transport of one proxied connection: two endpoints and a pipe in each direction."""

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
    """The direction of data: from caller to target (forward) or back."""

    FORWARD = "forward"
    BACK = "back"


BOTH_DIRECTIONS: Final = frozenset(Direction)


class TrafficShaper:
    """Delay, bandwidth and blocking of all data of a proxy in one direction."""

    __slots__ = ("_clock", "_free_at_ms", "bytes_per_s", "delay_ms", "forwarded_bytes", "gate")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._free_at_ms = 0.0
        self.delay_ms = 0
        self.bytes_per_s: float | None = None
        self.gate = Gate()
        self.forwarded_bytes = 0

    async def async_throttle(self, size: int) -> None:
        """Wait until `size` more bytes fit into the bandwidth."""
        self.forwarded_bytes += size
        if self.bytes_per_s is None:
            return
        now_ms = self._clock.now_ms()
        self._free_at_ms = max(self._free_at_ms, now_ms) + size * MS_PER_S / self.bytes_per_s
        wait_ms = round(self._free_at_ms - now_ms)
        if wait_ms > 0:
            await self._clock.async_sleep(wait_ms)


class Eof(Struct, frozen=True, kw_only=True):
    """The sender has closed its half of the connection."""


class ConnectionLost(Struct, frozen=True, kw_only=True):
    """The connection to the sender is closed, with a reset or without."""

    reset: bool


PipeItem = bytes | Eof | ConnectionLost


class Endpoint(asyncio.Protocol):
    """One endpoint of a proxied connection; received data goes into its pipe."""

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
        """Store the transport and pause reading until the other endpoint is connected."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.pause_reading()
        self._on_connected()

    def data_received(self, data: bytes) -> None:
        """Put received data into the pipe, and pause reading if it is full."""
        self.pipe.put(bytes(data))
        if self.pipe.is_full:
            self.set_reading(False)

    def eof_received(self) -> bool:
        """Put the EOF into the pipe and keep the other half open."""
        self.pipe.put(Eof())
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Put the loss of the connection into the pipe."""
        self.lost = True
        self.writable.set()
        self.pipe.put(ConnectionLost(reset=exc is not None))
        self._on_lost()

    def pause_writing(self) -> None:
        """Stop writing until the transport's buffer has drained."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Allow writing again."""
        self.writable.set()

    def set_reading(self, reading: bool) -> None:
        """Resume or pause reading from the transport."""
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
    """Data in transit from one endpoint to the other; a blackholed pipe discards everything."""

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
        """Return whether reading from the source must pause."""
        return self.blackholed or self._buffered_bytes >= MAX_BUFFERED_BYTES

    def put(self, item: PipeItem) -> None:
        """Queue an item for delivery after the delay."""
        if self.blackholed:
            return
        due_ms = self._clock.now_ms() + self._shaper.delay_ms
        self._queue.append((due_ms, item))
        self._buffered_bytes += len(item) if isinstance(item, bytes) else 0
        self._wake.set()

    def blackhole(self) -> None:
        """Discard the queued items and all later ones."""
        self.blackholed = True
        self._queue.clear()

    async def async_run(self, *, source: Endpoint, sink: Endpoint) -> None:
        """Deliver items to the sink until the connection to the source is lost."""
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
