"""A TCP connection that carries frames; frames are written once per event loop iteration."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol, cast

from gypsumrouter.helpers.listening import set_keepalive_options
from gypsumrouter.link.codec import encode_goodbye
from gypsumrouter.link.const import (
    FLAG_NONE,
    FLUSH_BYTES,
    HIGH_WATER_BYTES,
    LOAD_KINDS,
    LOW_WATER_BYTES,
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_FRAME_BYTES,
    MAX_HANDSHAKE_FRAMES,
    MAX_REPORTED_LOAD,
    Kind,
)
from gypsumrouter.link.diagnostics import ByteCounts
from gypsumrouter.link.frames import (
    HEADER_BYTES,
    KIND_DATA,
    OFFSET_BYTES,
    Frame,
    FrameError,
    FrameReader,
    pack_data_header,
    pack_frame,
)
from gypsumrouter.util.clock import Clock

_DATA_OVERHEAD = HEADER_BYTES + OFFSET_BYTES


class ReportedLoad:
    """The load that a server reports in its answer frames: the load plus one, 0 if unknown."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0

    def set(self, load: int) -> None:
        """Set the load of the upstream, in requests."""
        self.value = min(load + 1, MAX_REPORTED_LOAD)


class FrameSource(Protocol):
    """Produces frames for a connection when the connection can send them."""

    def pump(self, connection: Connection) -> None:
        """Send the frames that are ready."""


class Connection(asyncio.Protocol):
    """One end of a connection; exactly one task reads its frames.

    A frame that is too long or of an unknown kind closes the connection with a GOODBYE frame that
    states the reason, and raises FrameError in the reading task.
    """

    __slots__ = (
        "_closed",
        "_counts",
        "_error",
        "_flush_scheduled",
        "_frames",
        "_loop",
        "_out",
        "_out_bytes",
        "_paused",
        "_reader",
        "_ready",
        "_reported_load",
        "_transport",
        "_waiter",
        "_writable",
        "busy_since_ms",
        "clock",
        "echo_requested_ms",
        "last_received_ms",
        "last_sent_ms",
        "last_used_ms",
        "opened_ms",
    )

    def __init__(
        self, *, clock: Clock, counts: ByteCounts, reported_load: ReportedLoad | None = None
    ) -> None:
        now_ms = clock.now_ms()
        self.clock = clock
        self.opened_ms = now_ms
        self.last_received_ms = now_ms
        self.last_sent_ms = now_ms
        self.last_used_ms = now_ms
        self.busy_since_ms: int | None = None
        self.echo_requested_ms: int | None = None
        self._counts = counts
        self._reported_load = reported_load
        self._loop = asyncio.get_running_loop()
        self._reader = FrameReader(limit=MAX_HANDSHAKE_FRAME_BYTES)
        self._frames: deque[Frame] = deque()
        self._error: FrameError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._out: list[bytes] = []
        self._out_bytes = 0
        self._ready: dict[FrameSource, None] = {}
        self._flush_scheduled = False
        self._paused = False
        self._closed = False

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed for sending."""
        return self._closed

    @property
    def paused(self) -> bool:
        """Return whether sending is paused because the transport's buffer is full."""
        return self._paused

    @property
    def receiving(self) -> bool:
        """Return whether part of a frame has been received."""
        return self._reader.partial

    @property
    def peer_host(self) -> str:
        """Return the peer's IP address for log messages."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the transport of the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=HIGH_WATER_BYTES, low=LOW_WATER_BYTES)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            set_keepalive_options(connection)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes into frames and wake the reading task."""
        if self._closed:
            return
        self.last_received_ms = self.clock.now_ms()
        try:
            frames = self._reader.feed(data)
        except FrameError as error:
            self._error = error
            self.close_with_goodbye(str(error))
            return
        if not frames:
            return
        received = self._counts.received
        for frame in frames:
            received[frame.kind] += HEADER_BYTES + len(frame.body)
        self._frames.extend(frames)
        if self._reader.limit != MAX_FRAME_BYTES and len(self._frames) > MAX_HANDSHAKE_FRAMES:
            self._error = FrameError("too many frames before the end of the handshake")
            self.close_with_goodbye(str(self._error))
        self._wake()

    def eof_received(self) -> bool | None:
        """Close the transport when the peer has closed its end."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake waiting tasks; received frames can still be read."""
        self._mark_closed()

    def pause_writing(self) -> None:
        """Stop producing frames while the transport's buffer is full."""
        self._paused = True

    def resume_writing(self) -> None:
        """Continue to produce and send frames."""
        self._paused = False
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._schedule_flush()

    def raise_frame_limit(self) -> None:
        """Allow frames of full length, after the peer has been authenticated."""
        self._reader.limit = MAX_FRAME_BYTES

    async def async_read(self) -> Frame | None:
        """Return the next frame, or None if the connection is closed; raises FrameError."""
        while not self._frames:
            if self._error is not None:
                raise self._error
            if self._closed:
                return None
            self._waiter = self._loop.create_future()
            await self._waiter
        return self._frames.popleft()

    def read_nowait(self) -> Frame | None:
        """Return the next received frame without waiting, or None if there is none."""
        return self._frames.popleft() if self._frames else None

    async def async_wait_writable(self) -> bool:
        """Wait until sending is not paused; return whether the connection is still open."""
        while self._paused and not self._closed:
            if self._writable is None or self._writable.done():
                self._writable = self._loop.create_future()
            await asyncio.shield(self._writable)
        return not self._closed

    def send(
        self, kind: Kind, *, stream: int = 0, body: bytes = b"", flags: int = FLAG_NONE
    ) -> None:
        """Queue a frame; it is written at the end of this event loop iteration."""
        if self._closed:
            return
        load = 0
        if self._reported_load is not None and kind in LOAD_KINDS:
            load = self._reported_load.value
        frame = pack_frame(kind, flags, stream, body, load)
        self._counts.sent[kind] += len(frame)
        self._out.append(frame)
        self._out_bytes += len(frame)
        self._schedule_flush()

    def send_data(self, stream: int, offset: int, body: bytes) -> None:
        """Queue a DATA frame with a chunk of an answer's body."""
        size = len(body)
        self._counts.sent[KIND_DATA] += _DATA_OVERHEAD + size
        self._out.append(pack_data_header(stream, offset, size))
        self._out.append(body)
        self._out_bytes += _DATA_OVERHEAD + size

    def mark_ready(self, source: FrameSource) -> None:
        """Pump `source` at the end of this event loop iteration, or once sending is not paused."""
        if self._closed:
            return
        self._ready[source] = None
        self._schedule_flush()

    def flush(self) -> None:
        """Write queued frames and those of ready sources to the transport now."""
        self._flush_scheduled = False
        while not self._closed and (self._out or (self._ready and not self._paused)):
            self._pump()
            self._write()

    def close_with_goodbye(self, message: str) -> None:
        """Send a GOODBYE frame with the reason, and close."""
        self.send(Kind.GOODBYE, body=encode_goodbye(message))
        self.close()

    def close(self) -> None:
        """Close after writing the queued frames."""
        if self._closed:
            return
        self.flush()
        self._mark_closed()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately and discard received frames."""
        self._frames.clear()
        self._mark_closed()
        if self._transport is not None:
            self._transport.abort()

    def _pump(self) -> None:
        while self._ready and not self._paused and self._out_bytes < FLUSH_BYTES:
            source = next(iter(self._ready))
            del self._ready[source]
            source.pump(self)

    def _write(self) -> None:
        if not self._out or self._transport is None:
            self._out.clear()
            return
        data = b"".join(self._out)
        self._out.clear()
        self._out_bytes = 0
        self.last_sent_ms = self.clock.now_ms()
        self._transport.write(data)

    def _schedule_flush(self) -> None:
        if self._flush_scheduled or self._closed:
            return
        self._flush_scheduled = True
        self._loop.call_soon(self.flush)

    def _mark_closed(self) -> None:
        self._closed = True
        self._ready.clear()
        self._out.clear()
        self._wake()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
