"""Stand-in of the platform's runners: plain and streamed responses, and faults."""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Sequence
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from gypsumrouter.helpers.numbers import read_number
from gypsumrouter.instances import Address
from gypsumrouter.platform import names
from gypsumrouter.routing import DEFAULT_HEALTH_PATH
from gypsumrouter.standins.listener import StandinListener, reset_transport
from gypsumrouter.standins.runner_content import list_parts, make_body
from gypsumrouter.standins.runner_models import Arrival, BackOff, RunnerFault
from gypsumrouter.standins.unframed_response import UnframedResponse

# Time between two starts of a runner.
RESTART_MS: Final = 5_000


class PlatformRunner:
    """One process of a runner; a restart is a new object.

    Each request takes one entry of `next_faults`, or `default_fault` once they are used up.
    `on_run` is called when a request starts to run; running requests wait while `gate` is cleared.
    While `draining` every response carries the draining header; all have `more_headers`.
    Rejections ask the sender to back off for `retry_after_s`, if it is set. Unless `framed`,
    responses have neither a length nor chunks and end with their connection; with `chunks_bodies`,
    plain ones have chunks for a length.
    With `has_event_per_token` a stream has as many events as its request asks for tokens.
    `version` is that of its software, which its events name if it is set, and `started_ms` the time
    of its start (Unix time; 0 if it doesn't state one).
    A request with one of `crashing_parts` in its prompt crashes it `crash_after_s` after the head
    of the response: it stops listening, resets all connections and calls `on_crash`.
    """

    def __init__(
        self, *, name: str, events: int = 4, version: str = "", events_per_token: bool = False
    ) -> None:
        self.name = name
        self.has_event_per_token = events_per_token
        self.version = version
        self.started_ms = 0
        # Pause before each event of a stream, and a longer one before the first, in seconds.
        self.pause_s = 0.0
        self.first_pause_s = 0.0
        # Pauses of a run before the head of its response, and before the end of a stream.
        self.head_pause_s = 0.0
        self.end_pause_s = 0.0
        self.numbers_events = True
        # The ids of all events of a stream, if those are not their numbers.
        self.event_ids: Sequence[int] | None = None
        # The first event of a stream that is resumed after an event.
        self.find_next_event: Callable[[int], int] = lambda last: last + 1
        # Time from the last byte that a broken body gets to the reset, in seconds.
        self.break_after_s = 0.05
        # Size of the body of a plain response; None for a short one.
        self.body_bytes: int | None = None
        # Parts in which a plain body is sent, with a pause of `pause_s` before each if over one.
        self.body_parts = 1
        # Start of the process at the first request of each connection.
        self._starts: dict[object, int] = {}
        self.framed = True
        self.chunks_bodies = False
        # Sent with each response of a run.
        self.stamp = f"{name}.07.5a2.600.0.c9f2a4d1"
        self.events = events
        self.next_faults: deque[RunnerFault] = deque()
        self.default_fault = RunnerFault.NONE
        self.arrivals: list[Arrival] = []
        self.inventory: list[tuple[str, str, int, str]] = []
        self.inventory_calls = 0
        self.report_calls = 0
        # End of the slow start, during which the request rate is limited; monotonic seconds.
        self.slow_start_until_s = 0.0
        self.on_run: Callable[[], None] = lambda: None
        self.crashing_parts: set[str] = set()
        self.crash_after_s = 0.05
        self.crashes = 0
        self.on_crash: Callable[[], None] = lambda: None
        self.draining = False
        self.more_headers: dict[str, str] = {}
        self.retry_after_s: float | None = None
        self.back_offs: list[BackOff] = []
        self.gate = asyncio.Event()
        self.gate.set()
        # While cleared the runner reads and sends nothing, as a process that stands still.
        self.awake = asyncio.Event()
        self.awake.set()
        routes = web.Application()
        routes.router.add_get(names.CALL_HELD, self._async_get_inventory)
        routes.router.add_get(names.CALL_REPORT, self._async_get_report)
        routes.router.add_get(DEFAULT_HEALTH_PATH, self._async_get_health)
        routes.router.add_route("*", "/{path:.*}", self._async_serve)
        routes.on_response_prepare.append(self._async_add_draining_header)
        self.listener = StandinListener(app=routes, host="127.0.0.1", port=0)

    async def async_start(self) -> Address:
        """Start listening and return the address."""
        return await self.listener.async_start()

    async def async_stop(self) -> None:
        """Stop the runner and reset its connections."""
        await self.listener.async_stop()

    def get_peak_slow_start_rate(self) -> int:
        """Return the most requests that ran within one second of its slow start."""
        times = [a.at_s for a in self.arrivals if a.at_s < self.slow_start_until_s and a.ran]
        return max((sum(1 for t in times if at <= t < at + 1) for at in times), default=0)

    @property
    def ran(self) -> list[str]:
        """Return the ids of the requests that started to run."""
        return [arrival.request_id for arrival in self.arrivals if arrival.ran]

    def restart_unseen(self, *, version: str) -> None:
        """Become another start of another version, as if before the present connections."""
        self.started_ms += RESTART_MS
        self.version = version
        self._starts.clear()

    async def async_fall_silent(self, duration_s: float) -> None:
        """Stand still for some seconds, with all connections open, and go on."""
        self.awake.clear()
        await asyncio.sleep(duration_s)
        self.awake.set()

    async def _async_get_inventory(self, request: web.Request) -> web.Response:
        await self.awake.wait()
        self.inventory_calls += 1
        return web.json_response({"epoch": 1, "next": 1, "held": self.inventory})

    def _end_if_restarted(self, request: web.Request) -> None:
        """Reset a connection that is left of an earlier start; raises CancelledError."""
        if self._starts.setdefault(request.protocol, self.started_ms) != self.started_ms:
            _reset_connection(request)
            raise asyncio.CancelledError

    async def _async_get_report(self, request: web.Request) -> web.Response:
        await self.awake.wait()
        self._end_if_restarted(request)
        self.report_calls += 1
        return web.json_response({"born": self.started_ms} if self.started_ms else {})

    async def _async_get_health(self, request: web.Request) -> web.Response:
        await self.awake.wait()
        self._end_if_restarted(request)
        is_meant = request.headers.get(names.EXPECT_INSTANCE, self.name) == self.name
        return web.Response(status=200 if is_meant else 421, headers={names.INSTANCE: self.name})

    async def _async_serve(self, request: web.Request) -> web.StreamResponse:
        await self.awake.wait()
        arrival = Arrival(
            request_id=request.headers.get(names.REQUEST_ID, ""),
            method=request.method,
            path=request.raw_path,
            headers=CIMultiDict(request.headers),
            body=await request.read(),
            at_s=time.monotonic(),
        )
        self._end_if_restarted(request)
        self.arrivals.append(arrival)
        expected = request.headers.get(names.EXPECT_INSTANCE)
        if expected is not None and expected != self.name:
            return web.Response(status=421, headers={names.INSTANCE: self.name})
        fault = self.next_faults.popleft() if self.next_faults else self.default_fault
        if fault is RunnerFault.SHED:
            return self._reject(arrival)
        arrival.ran = True
        self.on_run()
        try:
            await self.gate.wait()
            await self._async_pause(self.head_pause_s)
            await self.awake.wait()
            return await self._async_run(request, arrival, fault)
        except asyncio.CancelledError:
            arrival.cancelled = True
            raise
        finally:
            arrival.ended_s = time.monotonic()

    async def _async_pause(self, pause_s: float) -> None:
        if pause_s:
            await asyncio.sleep(pause_s)

    def _reject(self, arrival: Arrival) -> web.Response:
        headers = {names.NOT_RUN: "1", names.REQUEST_ID: arrival.request_id}
        response = web.Response(status=503, headers=headers)
        if self.retry_after_s is not None:
            now_s = time.monotonic()
            back_off = BackOff(
                request_id=arrival.request_id, begins_s=now_s, ends_s=now_s + self.retry_after_s
            )
            self.back_offs.append(back_off)
            response.headers[names.RETRY_AFTER] = f"{self.retry_after_s:g}"
        return response

    async def _async_add_draining_header(
        self, _request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        if self.draining:
            response.headers[names.SERVER_LEAVING] = "1"
        response.headers.update(self.more_headers)

    async def _async_run(
        self, request: web.Request, arrival: Arrival, fault: RunnerFault
    ) -> web.StreamResponse:
        headers = {names.REQUEST_ID: arrival.request_id, names.STAMP: self.stamp}
        match fault:
            case RunnerFault.RESET:
                _reset_connection(request)
                raise asyncio.CancelledError
            case RunnerFault.CUT_HEAD if request.transport is not None:
                request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Ser")
                request.transport.close()
                raise asyncio.CancelledError
            case RunnerFault.HANG:
                await asyncio.Event().wait()
            case RunnerFault.ERROR:
                return web.Response(status=500, headers=headers, body=b"broken")
            case RunnerFault.NO_STAMP:
                return web.Response(headers={names.REQUEST_ID: arrival.request_id}, body=b"x")
            case RunnerFault.ENCODED:
                return web.Response(headers={**headers, "Content-Encoding": "gzip"}, body=b"x")
            case RunnerFault.UNMARKED_REJECTION:
                body = make_body("busy", size=self.body_bytes)
                return web.Response(status=503, headers=headers, body=body)
            case RunnerFault.FOREIGN_RESPONSE_FIRST if request.transport is not None:
                request.transport.write(
                    f"HTTP/1.1 200 OK\r\n{names.REQUEST_ID}: other\r\n"
                    f"{names.STAMP}: {self.stamp}\r\nContent-Length: 5\r\n\r\nother".encode()
                )
        if names.TOKEN_USAGE not in request.headers or fault is RunnerFault.PLAIN:
            return await self._async_respond(request, arrival, headers, fault)
        return await self._async_stream(request, headers, fault)

    async def _async_respond(
        self, request: web.Request, arrival: Arrival, headers: dict[str, str], fault: RunnerFault
    ) -> web.StreamResponse:
        body = make_body(f"{self.name} {arrival.path}", size=self.body_bytes)
        if fault is RunnerFault.CUT_JSON:
            headers = {**headers, "Content-Type": "application/json"}
            body = b'{"item": "cloth", "metres": 1'
        breaks = fault is RunnerFault.BREAK_BODY
        in_parts = self.body_parts > 1 and not breaks
        if self.framed and not self.chunks_bodies and not breaks and not in_parts:
            return web.Response(headers=headers, body=body)
        make_response = web.StreamResponse if self.framed else UnframedResponse
        response = make_response(headers=headers)
        if self.framed and not self.chunks_bodies:
            response.content_length = len(body)
        await response.prepare(request)
        if in_parts:
            await self._async_write_parts(response, body)
        else:
            await response.write(body[: len(body) // 2] if breaks else body)
        if breaks:
            await self._async_flush(request)
            _reset_connection(request)
            raise asyncio.CancelledError
        await response.write_eof()
        return response

    async def _async_write_parts(self, response: web.StreamResponse, body: bytes) -> None:
        size = len(body) // self.body_parts + 1
        for begin in range(0, len(body), size):
            await asyncio.sleep(self.pause_s)
            await self.awake.wait()
            await response.write(body[begin : begin + size])

    async def _async_flush(self, request: web.Request) -> None:
        """Let all that was written reach the other end, as a reset discards the rest."""
        if isinstance(request.transport, asyncio.WriteTransport):
            request.transport.set_write_buffer_limits(0)
        await request.writer.drain()
        await asyncio.sleep(self.break_after_s)

    def _make_event(self, number: int) -> bytes:
        version = f"{self.version} " if self.version else ""
        shown = number if self.event_ids is None else self.event_ids[number - 1]
        event_id = f"id: {shown}\n" if self.numbers_events else ""
        return f"{event_id}data: {version}piece {number}\n\n".encode()

    def _end_if_crashed(self, crashes: int) -> None:
        """End a run that began before the last crash; raises CancelledError."""
        if self.crashes != crashes:
            raise asyncio.CancelledError

    def crash(self) -> None:
        """Crash: stop listening and reset all connections."""
        self.crashes += 1
        self.listener.close()
        self.on_crash()

    async def _async_stream(
        self, request: web.Request, headers: dict[str, str], fault: RunnerFault
    ) -> web.StreamResponse:
        make_response = web.StreamResponse if self.framed else UnframedResponse
        response = make_response(headers={**headers, "Content-Type": "text/event-stream"})
        await response.prepare(request)
        crashes = self.crashes
        if self.crashing_parts & set(list_parts(request.headers)):
            await asyncio.sleep(self.crash_after_s)
            self._end_if_crashed(crashes)
            self.crash()
            raise asyncio.CancelledError
        if fault is RunnerFault.END_WITHOUT_EVENT:
            await response.write_eof()
            return response
        last = read_number(request.headers.get(names.LAST_EVENT_ID))
        if last is not None and self.event_ids is not None:
            last = bisect_right(self.event_ids, last)
        first = 1 if last is None else self.find_next_event(last)
        events = self.events
        if self.has_event_per_token:
            events = int(request.headers[names.TOKEN_USAGE].partition(",")[2])
        await asyncio.sleep(self.first_pause_s)
        for number in range(first, events + 1):
            await asyncio.sleep(self.pause_s)
            await self.awake.wait()
            self._end_if_restarted(request)
            self._end_if_crashed(crashes)
            await response.write(self._make_event(number))
            if number != first + 1:
                continue
            if fault in {RunnerFault.RESET_STREAM, RunnerFault.END_INSIDE_EVENT}:
                await response.write(b"id: %d\ndata: ha" % (number + 1))
            if fault is RunnerFault.RESET_STREAM:
                _reset_connection(request)
                raise asyncio.CancelledError
            if fault is RunnerFault.END_INSIDE_EVENT:
                break
            if fault is RunnerFault.STALL_STREAM:
                await asyncio.Event().wait()
        await self._async_pause(self.end_pause_s)
        await self.awake.wait()
        self._end_if_crashed(crashes)
        await response.write_eof()
        return response


def _reset_connection(request: web.Request) -> None:
    if request.transport is not None:
        reset_transport(request.transport)
