"""Relaying of streamed responses to callers, resumed on another upstream after a failure."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import StrEnum

from aiohttp import web
from msgspec import Struct

from gypsumrouter.forwarding.ends.event_order import OrderFault
from gypsumrouter.forwarding.ends.events import EventSplitter, EventTooLong
from gypsumrouter.forwarding.ends.relay_turns import RelayTurns
from gypsumrouter.forwarding.models import Dialect, StreamingResponse
from gypsumrouter.forwarding.next_step import SentPart
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.forwarding.responses import make_stream_response
from gypsumrouter.forwarding.silence import Replaced
from gypsumrouter.helpers.http_response import (
    MAX_PASSED_BYTES,
    ConnectionBroken,
    Framing,
)
from gypsumrouter.util.body_formats import count_events
from gypsumrouter.util.clock import Clock


class RelayResult(StrEnum):
    """How relaying a stream from one upstream ended; the values appear in the journal."""

    COMPLETE = "whole"
    BROKEN = "broken"
    REPLACED = "silent"


class StreamEnd(Struct, frozen=True, kw_only=True):
    """End of a stream from one upstream; `partial_bytes` is the size of an incomplete event.

    `fault` is why its next event does not follow those that the caller has, if it was ended there.
    """

    result: RelayResult
    partial_bytes: int
    reason: str = ""
    fault: OrderFault | None = None


class ContinuationBegun(Struct, frozen=True, kw_only=True):
    """The first event of a run that has to go on behind another; with a `fault` it does not."""

    last_event_id: str
    first_event_id: str | None
    fault: OrderFault | None


class CallerDisconnected(ConnectionError):
    """The caller closed its connection before its response was written whole."""


class Relay:
    """Writes one streamed response, which may be continued from several upstreams.

    Only complete events are relayed. Nothing is sent before the first one, so that the request can
    still get another response until then. The connection is closed after the response if
    `close_connection` returns true when it begins. `on_begun` is called right before the first
    event is sent, `on_received` for each piece of an upstream's response. `read_part` returns the
    next piece, and raises Replaced if the stream is to go on at another upstream. `on_resumed` is
    called with the first event of each run that has to go on behind another; one that does not is
    broken off before that event. `taken_up_after` is the last event that the caller has.
    """

    __slots__ = (
        "_clock",
        "_close_connection",
        "_dialect",
        "_headers",
        "_is_event_stream",
        "_on_begun",
        "_on_received",
        "_on_resumed",
        "_progress",
        "_read_part",
        "_splitter",
        "_turns",
        "_waits_since_ms",
        "_web_request",
        "response",
    )

    def __init__(
        self,
        *,
        web_request: web.BaseRequest,
        dialect: Dialect,
        clock: Clock,
        progress: Progress,
        close_connection: Callable[[], bool],
        on_begun: Callable[[], None],
        on_received: Callable[[], None],
        on_resumed: Callable[[ContinuationBegun], None],
        read_part: Callable[[StreamingResponse], Awaitable[bytes]],
        taken_up_after: str | None,
        turns: RelayTurns,
    ) -> None:
        self._turns = turns
        self._read_part = read_part
        self._on_begun = on_begun
        self._on_received = on_received
        self._on_resumed = on_resumed
        self._web_request = web_request
        self._dialect = dialect
        self._clock = clock
        self._progress = progress
        self._close_connection = close_connection
        self._splitter = EventSplitter(taken_up_after=taken_up_after)
        self._headers: list[tuple[str, str]] | None = None
        self._is_event_stream = False
        # Since when the next part of a stream that has begun is waited for.
        self._waits_since_ms: int | None = None
        self.response: web.StreamResponse | None = None

    @property
    def last_event_id(self) -> str | None:
        """Return the id of the last event that was relayed."""
        return self._splitter.last_event_id

    @property
    def sent(self) -> SentPart | None:
        """Return the part that was sent to the caller, None if nothing was."""
        if self.response is None:
            return None
        last_event_id = self._splitter.last_event_id if self._splitter.last_has_id else None
        return SentPart(is_event_stream=self._is_event_stream, last_event_id=last_event_id)

    @property
    def goes_on(self) -> bool:
        """Return whether the next run has to go on behind events that the caller has."""
        return self._splitter.has_relayed

    def find_order_fault(self, streaming: StreamingResponse) -> OrderFault | None:
        """Return why a response that has begun can't follow the events that the caller has.

        POSSIBLE_GAP if its second event is yet to show that.
        """
        if not streaming.is_event_stream:
            return None
        return self._splitter.find_first_fault(streaming.initial_bytes)

    async def async_relay(self, streaming: StreamingResponse) -> StreamEnd:
        """Relay the response of one upstream until it ends.

        Raises CallerDisconnected and EndedAtDeadline.
        """
        if self.response is None:
            self._headers = self._dialect.select_headers(streaming.answer)
        self._splitter.start()
        received = 0
        try:
            part = streaming.initial_bytes or await self._async_read(streaming)
            self._note_pause()
            while part:
                received += len(part)
                if received > MAX_PASSED_BYTES:
                    return self._end(RelayResult.BROKEN, "the response does not end")
                complete = self._feed(part) if streaming.is_event_stream else part
                fault = self._splitter.fault
                if complete or fault is None:
                    self._on_received()
                await self._async_write(streaming, complete)
                if fault is not None:
                    return self._end(RelayResult.BROKEN, f"does not go on: {fault}")
                if streaming.is_event_stream:
                    await self._turns.async_wait(len(part))
                part = await self._async_read(streaming)
                self._note_pause()
        except Replaced:
            return self._end(RelayResult.REPLACED)
        except ConnectionBroken as error:
            return self._end(RelayResult.BROKEN, str(error))
        except EventTooLong:
            return self._end(RelayResult.BROKEN, "an event is too long")
        # Where an upstream stops, it may do so inside an event.
        streaming.check_deadline()
        self._splitter.end()
        fault = self._splitter.fault
        if fault is not None:
            return self._end(RelayResult.BROKEN, f"does not go on: {fault}")
        missing = self._find_missing_end(streaming) or await streaming.find_missing_end()
        if missing is not None:
            return self._end(RelayResult.BROKEN, missing)
        await self.async_finish(streaming)
        return self._end(RelayResult.COMPLETE)

    def _feed(self, part: bytes) -> bytes:
        """Return the events that are complete and, after another run, go on behind it."""
        splitter = self._splitter
        if splitter.goes_on_after is None or splitter.has_events:
            return splitter.feed(part)
        last_event_id = splitter.goes_on_after
        complete = splitter.feed(part)
        if complete or splitter.fault is not None:
            self._on_resumed(
                ContinuationBegun(
                    last_event_id=last_event_id,
                    first_event_id=splitter.first_id,
                    fault=None if complete else splitter.fault,
                )
            )
        return complete

    async def _async_read(self, streaming: StreamingResponse) -> bytes:
        if self.response is not None and self._waits_since_ms is None:
            self._waits_since_ms = self._clock.now_ms()
        return await self._read_part(streaming)

    def _note_pause(self) -> None:
        """Note how long the part that has arrived was waited for, from whichever upstream."""
        since_ms, self._waits_since_ms = self._waits_since_ms, None
        if since_ms is not None:
            pause_ms = self._clock.now_ms() - since_ms
            self._progress.longest_pause_ms = max(self._progress.longest_pause_ms, pause_ms)

    def _find_missing_end(self, streaming: StreamingResponse) -> str | None:
        """Return why a body that ended regularly is incomplete, None if it is complete."""
        if not streaming.is_event_stream:
            return None
        if self._splitter.inside_event:
            return "ended inside an event"
        if streaming.answer.framing is Framing.CLOSE and not self._splitter.has_events:
            return "ended before the first event"
        return None

    def _end(self, result: RelayResult, reason: str = "") -> StreamEnd:
        partial_bytes = self._splitter.partial_bytes
        fault = self._splitter.fault
        return StreamEnd(result=result, partial_bytes=partial_bytes, reason=reason, fault=fault)

    async def _async_write(self, streaming: StreamingResponse, data: bytes) -> None:
        if not data:
            return
        response = self.response
        try:
            if response is None:
                response = await self._async_prepare(streaming)
            await response.write(data)
        except ConnectionError:
            raise CallerDisconnected from None
        self._progress.bytes_out += len(data)
        events = count_events(data)
        if not self._progress.events:
            self._progress.first_events = events
        self._progress.events += events

    async def _async_prepare(self, streaming: StreamingResponse) -> web.StreamResponse:
        response = make_stream_response(status=streaming.status, headers=self._headers or [])
        if self._close_connection():
            response.force_close()
        self.response = response
        self._is_event_stream = streaming.is_event_stream
        self._progress.status = streaming.status
        self._on_begun()
        self._progress.first_byte_ms = self._clock.now_ms() - self._progress.arrived_ms
        await response.prepare(self._web_request)
        return response

    async def async_finish(self, streaming: StreamingResponse) -> None:
        """End the response as a complete one; raises CallerDisconnected."""
        response = self.response
        try:
            if response is None:
                response = await self._async_prepare(streaming)
            await response.write_eof()
        except ConnectionError:
            raise CallerDisconnected from None
