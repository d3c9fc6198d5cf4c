"""A process with one stand-in upstream that notes each run and event in a file, and its parent.

The process stops at the end of standard input, or by any signal.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import sys
import time
from enum import StrEnum
from typing import Final

import msgspec
from aiohttp import web
from msgspec import Struct

from bench.child import Child
from gypsumrouter.helpers.numbers import read_number
from gypsumrouter.instances import Address
from gypsumrouter.platform import names
from gypsumrouter.standins import PublishedStoreStandin
from gypsumrouter.standins.listener import PortReservation, StandinListener
from gypsumrouter.standins.unframed_response import UnframedResponse

PLAIN_PARTS: Final = 30
# The entry of an upstream that comes back under another id is removed so much later.
UNLISTED_AFTER_S: Final = 2.0


class UpstreamFraming(StrEnum):
    """How the responses of an upstream show their end; NEITHER by the end of the connection."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NEITHER = "neither"


class FirstEvent(StrEnum):
    """The event with which a run begins that is asked to go on after another.

    NEXT: the next one. ANEW: event 1. SAME: the last one again. BEYOND: one is left out.
    """

    NEXT = "next"
    ANEW = "anew"
    SAME = "same"
    BEYOND = "beyond"


class HostPlan(Struct, frozen=True, kw_only=True):
    """An upstream: its name and port, how it responds, and the file for its notes."""

    name: str
    port: int
    framing: UpstreamFraming
    first_event: FirstEvent
    pause_s: float
    notes: str


class NoteKind(StrEnum):
    """What is noted of a run; GONE: its sender closed the connection."""

    BEGUN = "begun"
    SENT = "sent"
    ENDED = "ended"
    GONE = "gone"


class Note(Struct, frozen=True, kw_only=True):
    """A line of the file, written before what it says is sent (monotonic seconds).

    `run` names the run in all events. `number` is that of an event, or of the first one of a run,
    which was asked to go on after the event `after`.
    """

    kind: NoteKind
    at_s: float
    run: str
    request_id: str = ""
    number: int = 0
    after: int = 0
    framing: UpstreamFraming = UpstreamFraming.NEITHER


class UpstreamHost:
    """One start of an upstream."""

    def __init__(self, *, plan: HostPlan) -> None:
        self._plan = plan
        self.started_ms = time.time_ns() // 1_000_000
        self._runs = itertools.count(1)
        # Lines of several processes are appended whole.
        self._notes = os.open(plan.notes, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        routes = web.Application()
        routes.router.add_get(names.CALL_HELD, self._async_get_inventory)
        routes.router.add_get(names.CALL_REPORT, self._async_get_report)
        routes.router.add_route("*", "/{path:.*}", self._async_serve)
        self.listener = StandinListener(app=routes, host="127.0.0.1", port=plan.port)

    def _note(self, kind: NoteKind, run: str, **more: object) -> None:
        line = {"kind": kind, "at_s": time.monotonic(), "run": run, **more}
        os.write(self._notes, msgspec.json.encode(line) + b"\n")

    async def _async_get_inventory(self, _request: web.Request) -> web.Response:
        return web.json_response({"epoch": 1, "next": 1, "held": []})

    async def _async_get_report(self, _request: web.Request) -> web.Response:
        return web.json_response({"born": self.started_ms})

    async def _async_serve(self, request: web.Request) -> web.StreamResponse:
        await request.read()
        if request.headers.get(names.EXPECT_INSTANCE, self._plan.name) != self._plan.name:
            return web.Response(status=421)
        run = f"{self._plan.name}/{self.started_ms}/{next(self._runs)}"
        tokens = request.headers.get(names.TOKEN_USAGE, "").partition(",")[2]
        after = read_number(request.headers.get(names.LAST_EVENT_ID)) or 0
        first = self._choose_first(after)
        self._note(
            NoteKind.BEGUN,
            run,
            request_id=request.headers.get(names.REQUEST_ID, ""),
            number=first,
            after=after,
            framing=self._plan.framing,
        )
        events = range(first, (int(tokens) if tokens else PLAIN_PARTS) + 1)
        try:
            return await self._async_send(request, run, events, is_stream=bool(tokens))
        except (asyncio.CancelledError, OSError):
            self._note(NoteKind.GONE, run)
            raise asyncio.CancelledError from None

    def _choose_first(self, after: int) -> int:
        if not after:
            return 1
        match self._plan.first_event:
            case FirstEvent.ANEW:
                return 1
            case FirstEvent.SAME:
                return after
            case FirstEvent.BEYOND:
                return after + 2
        return after + 1

    async def _async_send(
        self, request: web.Request, run: str, events: range, *, is_stream: bool
    ) -> web.StreamResponse:
        parts = {number: make_part(run, number, is_stream=is_stream) for number in events}
        headers = {
            names.REQUEST_ID: request.headers.get(names.REQUEST_ID, ""),
            names.STAMP: f"{self._plan.name}.07.5a2.600.0.c9f2a4d1",
            "Content-Type": "text/event-stream" if is_stream else "text/plain",
        }
        is_unframed = self._plan.framing is UpstreamFraming.NEITHER
        response = (UnframedResponse if is_unframed else web.StreamResponse)(headers=headers)
        if self._plan.framing is UpstreamFraming.LENGTH:
            response.content_length = sum(map(len, parts.values()))
        await response.prepare(request)
        for number, part in parts.items():
            await asyncio.sleep(self._plan.pause_s)
            self._note(NoteKind.SENT, run, number=number)
            await response.write(part)
        await response.write_eof()
        self._note(NoteKind.ENDED, run)
        return response


def make_part(run: str, number: int, *, is_stream: bool) -> bytes:
    """Return an event of a stream, or a part of a plain body, that names its run."""
    return (
        f"id: {number}\ndata: {run} {number}\n\n" if is_stream else f"{run} {number}\n"
    ).encode()


class HostedUpstream:
    """An upstream that is a process of its own, and always has the same port."""

    def __init__(self, *, store: PublishedStoreStandin, service: str, plan: HostPlan) -> None:
        self._store = store
        self._service = service
        self._port = PortReservation(host="127.0.0.1", port=0)
        self.plan = msgspec.structs.replace(plan, port=self._port.address.port)
        self._child: Child | None = None
        # The start that runs, as notes name it.
        self.process = ""

    async def async_start(self) -> None:
        """Start it, and write its store entry."""
        self._child = Child(module="bench.upstream_host", plan=msgspec.to_builtins(self.plan))
        _, started_ms = await self._child.async_start()
        self.process = f"{self.plan.name}/{started_ms}"
        await self._store.async_put_runner(
            self.plan.name,
            service=self._service,
            address=Address(host="127.0.0.1", port=self.plan.port),
            slots=64,
            cold_left_ms=0,
            version="v1",
            born=started_ms,
        )

    async def async_replace(self, name: str) -> None:
        """Start it under another id; the entry of the previous one is removed later."""
        previous = self.plan.name
        self.plan = msgspec.structs.replace(self.plan, name=name)
        await self.async_start()
        await asyncio.sleep(UNLISTED_AFTER_S)
        await self._store.async_remove(f"{names.PREFIX_SERVERS}{previous}")

    async def async_kill(self, number: signal.Signals) -> None:
        """End it by a signal."""
        if self._child is not None:
            os.kill(self._child.pid, number)
            await self._child.async_stop()

    async def async_fall_silent(self, duration_s: float) -> None:
        """Stand still for some seconds, with all connections open, and go on."""
        assert self._child is not None
        os.kill(self._child.pid, signal.SIGSTOP)
        try:
            await asyncio.sleep(duration_s)
        finally:
            os.kill(self._child.pid, signal.SIGCONT)

    async def async_stop(self) -> None:
        """Stop it and release its port."""
        if self._child is not None:
            await self._child.async_stop()
        self._port.close()


async def async_host(plan: HostPlan) -> None:
    """Run an upstream until the end of standard input; the greeting is its port and start."""
    host = UpstreamHost(plan=plan)
    address = await host.listener.async_start()
    print(json.dumps([address.port, host.started_ms]), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await host.listener.async_stop()


if __name__ == "__main__":
    import uvloop

    uvloop.run(async_host(msgspec.json.decode(sys.argv[1], type=HostPlan)))
