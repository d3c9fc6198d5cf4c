"""Randomized faults on a link: no request may run twice, or be reported as not run if it ran.

A state machine drives the exchange tables of both ends through lost links, resumption, late
frames and expiry, and compares the received answers with those that were written.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from enum import StrEnum
from typing import Any, cast

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from link_harness import HEAD, REQUEST, SETTINGS
from link_models import ModelLink, ModelRun
from msgspec.structs import replace

from gypsumrouter.const import Role
from gypsumrouter.link import Answer, Data, End, Exchange, Head, Hello, Open
from gypsumrouter.link.codec import Greeting, encode_open
from gypsumrouter.link.connection import Connection
from gypsumrouter.link.const import PROTOCOL_VERSION, ROUTER_RETENTION_MS, Kind
from gypsumrouter.link.handshake import Accepted
from gypsumrouter.link.outstanding import Outstanding
from gypsumrouter.link.served import ServedLink
from gypsumrouter.link.table import ExchangeTable
from gypsumrouter.outcomes import Failed, Reason, Refused
from gypsumrouter.util.clock import ManualClock

WINDOW_BYTES = 512
MAX_OUTSTANDING = 3
DELAYS_MS = (100, SETTINGS.resume_ms, ROUTER_RETENTION_MS, ROUTER_RETENTION_MS)


class Fault(StrEnum):
    """Faults that a step may inject."""

    DIAL = "dial"
    ACCEPT = "accept"
    CUT = "cut"
    NOTICE_CUT = "notice_cut"
    LOSE_BOTH_ENDS = "lose_both_ends"
    EVICT = "evict"
    CANCEL = "cancel"


class ResumeMachine(RuleBasedStateMachine):
    """One router incarnation and one side, whose links lose and delay frames as TCP links can."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.random = random.Random(0)
        self.hello = Hello(name="router-1", role=Role.ROUTER, incarnation=5)
        self.outstanding = Outstanding(
            clock=self.clock, settings=replace(SETTINGS, window_bytes=WINDOW_BYTES)
        )
        self.table = ExchangeTable(
            clock=self.clock,
            resume_ms=SETTINGS.resume_ms,
            connect_ms=SETTINGS.connect_ms,
            window_bytes=WINDOW_BYTES,
            answer_memory_bytes=1 << 30,
            on_released=lambda: None,
        )
        self.number = 0
        self.current: ModelLink | None = None
        self.pending: list[ModelLink] = []
        self.old: list[ModelLink] = []
        self.runs: dict[int, ModelRun] = {}
        self.exchanges: dict[int, Exchange] = {}
        self.received: dict[int, bytearray] = {}
        self.refused: set[int] = set()

    def teardown(self) -> None:
        self._finish_all_exchanges()
        self.loop.close()

    def _finish_all_exchanges(self) -> None:
        """Check that all exchanges end once they have a working link."""
        for run in self.runs.values():
            if not run.ended and not run.answer.dropped:
                run.answer.end()
                run.ended = True
        self.reconnect()
        self.deliver_to_server(1_000, False)
        self.deliver_to_router(1_000)
        self.check_answers_and_refusals()
        assert all(exchange.done for exchange in self.exchanges.values())

    @initialize()
    def begin(self) -> None:
        self.dial()
        self.accept(0, False)

    @rule(fault=st.sampled_from(Fault), which=st.integers(0, 3), abandoned=st.booleans())
    def disrupt(self, fault: Fault, which: int, abandoned: bool) -> None:
        match fault:
            case Fault.DIAL:
                self.dial()
            case Fault.ACCEPT if self.pending:
                self.accept(which, abandoned)
            case Fault.CUT if self.current is not None:
                self._abandon_link()
            case Fault.NOTICE_CUT if self.old:
                self.notice_cut(which)
            case Fault.LOSE_BOTH_ENDS:
                self.lose_both_ends(DELAYS_MS[which])
            case Fault.EVICT:
                self.evict()
            case Fault.CANCEL:
                self.cancel(which)

    # Actions of the router

    def dial(self) -> None:
        """Start a handshake: the server has sent its nonce, the proof is in transit."""
        self.pending.append(
            ModelLink(attempt=self._allocate_number(), challenged_ms=self.clock.now_ms())
        )

    def accept(self, which: int, abandoned: bool) -> None:
        """Deliver a proof, which may be late or belong to a link that the router has abandoned."""
        link = self.pending.pop(which % len(self.pending))
        if self.clock.now_ms() - link.challenged_ms > SETTINGS.connect_ms:
            return
        greeting = Greeting(
            version=PROTOCOL_VERSION,
            hello=self.hello,
            attempt=link.attempt,
            nonce=b"n",
            window_bytes=WINDOW_BYTES,
        )
        server = cast(Connection, link.server)
        record = self.table.attach(
            server, Accepted(greeting=greeting, challenged_ms=link.challenged_ms)
        )
        newest = max([0, *(known.attempt for known in self._list_accepted())])
        assert (record is not None) == (link.attempt > newest)
        if record is None:
            return
        link.served = ServedLink(
            table=self.table, record=record, connection=server, run=self._run_exchange
        )
        if abandoned:
            self.old.append(link)
            return
        if self.current is not None:
            self._abandon_link()
        self.current = link
        self.outstanding.attach(cast(Connection, link.dialer), WINDOW_BYTES)

    @rule()
    def reconnect(self) -> None:
        """Open a link without delay, and deliver the resumptions to the server."""
        self.dial()
        self.accept(len(self.pending) - 1, False)
        self.deliver_to_server(20, False)

    def notice_cut(self, which: int) -> None:
        """Let the server detect that an old link is lost."""
        link = self.old[-1 - which % len(self.old)]
        for record in self.table.routers():
            self.table.detach(record, cast(Connection, link.server))
        link.server.abort()

    @precondition(lambda self: self.current and len(self.outstanding) < MAX_OUTSTANDING)
    @rule(arrives=st.booleans())
    def open(self, arrives: bool) -> None:
        assert self.current is not None
        request = replace(REQUEST, sequence=self._allocate_number())
        self.exchanges[request.sequence] = self.outstanding.add(request)
        self.received[request.sequence] = bytearray()
        self.current.dialer.send(Kind.OPEN, stream=request.sequence, body=encode_open(request))
        if arrives:
            self.deliver_to_server(20, False)

    @precondition(lambda self: self.current)
    @rule(count=st.integers(1, 4))
    def read(self, count: int) -> None:
        """Deliver frames to the router, and confirm what it has received."""
        self.deliver_to_router(count)
        for exchange in self.exchanges.values():
            exchange.confirm(exchange.received)
        self.deliver_to_server(20, False)

    def cancel(self, which: int) -> None:
        running = [exchange for exchange in self.exchanges.values() if not exchange.done]
        if running:
            running[which % len(running)].cancel()

    # Actions of the side

    @precondition(lambda self: self.runs)
    @rule(
        which=st.integers(0, 9),
        sizes=st.lists(st.integers(1, 150), min_size=1, max_size=4),
        flush=st.booleans(),
        taken=st.integers(0, 3),
    )
    def write(self, which: int, sizes: list[int], flush: bool, taken: int) -> None:
        run = self._pick_run(which)
        if run is None:
            return
        for size in sizes:
            body = self.random.randbytes(min(size, WINDOW_BYTES - run.answer.held_bytes))
            self._complete(run.answer.async_write(body))
            run.written += body
            if flush and self.current is not None:
                self.current.server.flush()
        if taken and self.current is not None:
            self.read(taken)

    @rule(which=st.integers(0, 9))
    def end(self, which: int) -> None:
        run = self._pick_run(which)
        if run is not None:
            run.answer.end()
            run.ended = True

    def evict(self) -> None:
        """Simulate memory pressure; the answer that lost its link first is discarded."""
        self.table.memory.add_waiter(self.loop.create_future())

    def lose_both_ends(self, delay_ms: int) -> None:
        """Lose the link at both ends for `delay_ms`."""
        if self.current is not None:
            self._abandon_link()
        for which in range(len(self.old)):
            self.notice_cut(which)
        self._advance_clock(delay_ms)
        self.reconnect()

    # Actions of the network

    @rule(count=st.integers(1, 5), duplicate=st.booleans())
    def deliver_to_server(self, count: int, duplicate: bool) -> None:
        if self.current is not None:
            self._deliver_to_server(self.current, count, duplicate)

    @rule(which=st.integers(0, 3), count=st.integers(1, 5))
    def deliver_late_to_server(self, which: int, count: int) -> None:
        if self.old:
            self._deliver_to_server(self.old[-1 - which % len(self.old)], count, False)

    @precondition(lambda self: self.current)
    @rule(count=st.integers(1, 5))
    def deliver_to_router(self, count: int) -> None:
        assert self.current is not None
        self.current.server.flush()
        for _ in range(min(count, len(self.current.server.wire))):
            assert self.outstanding.receive(self.current.server.wire.popleft())

    # Invariants

    @invariant()
    def check_answers_and_refusals(self) -> None:
        for sequence, exchange in self.exchanges.items():
            self._read(exchange)
            run = self.runs.get(sequence)
            assert run is not None or not self.received[sequence]
            if run is not None:
                assert run.written.startswith(self.received[sequence])
        assert not self.refused & self.runs.keys()

    def _run_exchange(self, _hello: Hello, request: Open, answer: Answer) -> None:
        assert request.sequence not in self.runs, "a request ran twice"
        assert request.sequence not in self.refused, "a refused request ran"
        answer.head(HEAD)
        self.runs[request.sequence] = ModelRun(answer=answer)

    def _deliver_to_server(self, link: ModelLink, count: int, duplicate: bool) -> None:
        for _ in range(min(count, len(link.dialer.wire))):
            if link.server.closed or link.served is None:
                return
            frame = link.dialer.wire.popleft()
            for _ in range(1 + duplicate):
                assert link.served.receive(frame)

    def _abandon_link(self) -> None:
        assert self.current is not None
        self.outstanding.detach()
        self.current.dialer.closed = True
        self.old.append(self.current)
        self.current = None

    def _list_accepted(self) -> list[ModelLink]:
        return [*self.old, *([self.current] if self.current else [])]

    def _advance_clock(self, delay_ms: int) -> None:
        """Advance the clock, and discard expired answers and router records."""
        self.clock.advance(delay_ms)
        self.table.sweep()

    def _allocate_number(self) -> int:
        self.number += 1
        return self.number

    def _pick_run(self, which: int) -> ModelRun | None:
        running = [run for run in self.runs.values() if not run.ended and not run.answer.dropped]
        return running[which % len(running)] if running else None

    def _read(self, exchange: Exchange) -> None:
        """Read all events that have been received."""
        sequence = exchange.sequence
        while exchange.has_events:
            match self._complete(exchange.async_next()):
                case Data(offset=offset, body=body):
                    assert offset == len(self.received[sequence])
                    self.received[sequence] += body
                case End(length=length):
                    assert self.runs[sequence].ended
                    assert length == len(self.runs[sequence].written)
                    assert self.received[sequence] == self.runs[sequence].written
                case Refused():
                    self.refused.add(sequence)
                case Failed(reason=reason):
                    self._check_failed(sequence, reason)
                case Head():
                    continue

    def _check_failed(self, sequence: int, reason: Reason) -> None:
        run = self.runs.get(sequence)
        if reason is not Reason.CANCELLED:
            assert reason is Reason.ANSWER_EVICTED
            assert run is None or run.answer.dropped

    def _complete(self, target: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(target)


ResumeMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=80,
    suppress_health_check=list(HealthCheck),
)
TestResume = ResumeMachine.TestCase
