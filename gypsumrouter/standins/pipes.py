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

HELD_BYTES_MAX: Final = 256 * 1024
PIECE_BYTES: Final = 16 * 1024


class Way(StrEnum):
    """A direction through the proxy."""

    FORWARD = "forward"
    BACK = "back"


BOTH_WAYS: Final = frozenset(Way)


class WayConditions:
    """What happens to all data that goes one way through a proxy."""

    __slots__ = ("_clock", "_free_at_ms", "bytes_per_s", "delay_ms", "gate", "passed_bytes")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._free_at_ms = 0.0
        self.delay_ms = 0
        self.bytes_per_s: float | None = None
        self.gate = Gate()
        self.passed_bytes = 0

    async def async_take_turn(self, size: int) -> None:
        """Wait as long as the bandwidth asks for `size` bytes."""
        self.passed_bytes += size
        if self.bytes_per_s is None:
            return
        now_ms = self._clock.now_ms()
        self._free_at_ms = max(self._free_at_ms, now_ms) + size * MS_PER_S / self.bytes_per_s
        wait_ms = round(self._free_at_ms - now_ms)
        if wait_ms > 0:
            await self._clock.async_sleep(wait_ms)


class Eof(Struct, frozen=True, kw_only=True):
    """The sender has closed its half."""


class Lost(Struct, frozen=True, kw_only=True):
    """The sender's connection is gone."""

    reset: bool


Part = bytes | Eof | Lost


class End(asyncio.Protocol):
    """One end of a proxied connection: it fills the pipe that leads away from it."""

    __slots__ = ("_on_lost", "_on_made", "lost", "pipe", "transport", "writable")

    def __init__(
        self, *, pipe: Pipe, on_made: Callable[[], None], on_lost: Callable[[], None]
    ) -> None:
        self.pipe = pipe
        self._on_made = on_made
        self._on_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; nothing is read until the other end is there too."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.pause_reading()
        self._on_made()

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
        self.pipe.put(Lost(reset=exc is not None))
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
    """What is under way from one end to the other; a silent pipe swallows everything."""

    __slots__ = ("_clock", "_conditions", "_held_bytes", "_queue", "_wake", "ended", "silent")

    def __init__(self, *, clock: Clock, conditions: WayConditions) -> None:
        self._clock = clock
        self._conditions = conditions
        self._queue: deque[tuple[int, Part]] = deque()
        self._held_bytes = 0
        self._wake = asyncio.Event()
        self.ended = False
        self.silent = False

    @property
    def is_full(self) -> bool:
        """Return whether no more should be read into it."""
        return self.silent or self._held_bytes >= HELD_BYTES_MAX

    def put(self, part: Part) -> None:
        """Send something on its way."""
        if self.silent:
            return
        due_ms = self._clock.now_ms() + self._conditions.delay_ms
        self._queue.append((due_ms, part))
        self._held_bytes += len(part) if isinstance(part, bytes) else 0
        self._wake.set()

    def fall_silent(self) -> None:
        """Swallow what is under way and all that comes."""
        self.silent = True
        self._queue.clear()

    async def async_run(self, *, source: End, sink: End) -> None:
        """Carry everything to the sink until the source is lost."""
        while True:
            while not self._queue:
                self._wake.clear()
                await self._wake.wait()
            due_ms, part = self._queue.popleft()
            delay_ms = due_ms - self._clock.now_ms()
            if delay_ms > 0:
                await self._clock.async_sleep(delay_ms)
            await self._conditions.gate.async_pass()
            if self.silent:
                continue
            match part:
                case bytes():
                    await self._async_write(part, sink)
                    self._held_bytes -= len(part)
                    source.set_reading(not self.is_full)
                case Eof():
                    self._end_half(source, sink)
                case Lost(reset=reset):
                    _end(sink, reset)
                    return

    async def _async_write(self, data: bytes, sink: End) -> None:
        for begin in range(0, len(data), PIECE_BYTES):
            piece = data[begin : begin + PIECE_BYTES]
            await self._conditions.async_take_turn(len(piece))
            await self._conditions.gate.async_pass()
            await sink.writable.wait()
            if self.silent or sink.lost or sink.transport is None:
                return
            sink.transport.write(piece)

    def _end_half(self, source: End, sink: End) -> None:
        self.ended = True
        if sink.transport is None or sink.lost:
            return
        if sink.pipe.ended:
            _end(sink, reset=False)
            _end(source, reset=False)
            return
        if sink.transport.can_write_eof():
            sink.transport.write_eof()


def _end(end: End, reset: bool) -> None:
    if end.transport is None or end.lost:
        return
    if reset:
        end.reset()
    else:
        end.transport.close()
