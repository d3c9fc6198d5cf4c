"""What a server may forget of routers, and the rate of a status; driven by a clock."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest
from link_harness import SETTINGS

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.link import Hello, Status
from gypsumrouter.link.codec import Greeting, Resume
from gypsumrouter.link.connection import Connection, ReportedLoad
from gypsumrouter.link.const import PROTOCOL_VERSION, Kind
from gypsumrouter.link.handshake import Accepted
from gypsumrouter.link.liveness import keep_alive, reset_silence_timer
from gypsumrouter.link.status import StatusPublisher
from gypsumrouter.link.table import ExchangeTable, RouterRecord
from gypsumrouter.outcomes import Failed, Refused
from gypsumrouter.util.clock import ManualClock

STATUS = Status(load=1, running=1, weight=1.0, leaving=False, ready=True)
LATE_MS = 2 * (SETTINGS.resume_ms + SETTINGS.connect_ms)


class FakeConnection:
    """A connection that only counts what is sent."""

    def __init__(self) -> None:
        self.sent: list[Kind] = []
        self.aborted = False
        self.receiving = False
        self.busy_since_ms: int | None = None
        self.last_received_ms = 0
        self.last_sent_ms = 0

    def send(self, kind: Kind, **_fields: object) -> None:
        self.sent.append(kind)

    def mark_ready(self, _source: object) -> None:
        return

    def abort(self) -> None:
        self.aborted = True


def make_table(clock: ManualClock) -> ExchangeTable:
    return ExchangeTable(
        clock=clock,
        resume_ms=SETTINGS.resume_ms,
        connect_ms=SETTINGS.connect_ms,
        window_bytes=1_000,
        answer_memory_bytes=1_000,
        on_released=lambda: None,
        max_routers=2,
    )


def attach(
    table: ExchangeTable, clock: ManualClock, incarnation: int, attempt: int = 1
) -> tuple[RouterRecord | None, Connection]:
    hello = Hello(name=f"router-{incarnation}", role=Role.ROUTER, incarnation=incarnation)
    greeting = Greeting(
        version=PROTOCOL_VERSION, hello=hello, attempt=attempt, nonce=b"n", window_bytes=1_000
    )
    connection = cast(Connection, FakeConnection())
    accepted = Accepted(greeting=greeting, challenged_ms=clock.now_ms())
    return table.attach(connection, accepted), connection


def test_a_full_table_turns_routers_away_until_a_record_is_old_enough_to_forget() -> None:
    clock = ManualClock()
    table = make_table(clock)
    for incarnation in (1, 2):
        record, connection = attach(table, clock, incarnation)
        assert record is not None
        if incarnation == 1:
            table.detach(record, connection)
    clock.advance(LATE_MS)
    assert attach(table, clock, 3)[0] is None
    clock.advance(1)
    assert attach(table, clock, 3)[0] is not None
    clock.advance(LATE_MS + 1)
    assert attach(table, clock, 1)[0] is None, "routers with a link are never forgotten"


def test_after_forgetting_not_run_is_said_only_of_requests_that_are_surely_newer() -> None:
    clock = ManualClock()
    table = make_table(clock)
    for incarnation in (1, 2):
        record, connection = attach(table, clock, incarnation)
        assert record is not None
        table.detach(record, connection)
    clock.advance(LATE_MS + 1)
    assert attach(table, clock, 3)[0] is not None
    record, _ = attach(table, clock, 1, attempt=2)
    assert record is not None
    maybe_run = Resume(offset=0, has_head=False, age_ms=LATE_MS)
    never_opened = Resume(offset=0, has_head=False, age_ms=100)
    assert isinstance(table.resume(record, 5, maybe_run), Failed)
    assert isinstance(table.resume(record, 6, never_opened), Refused)
    assert isinstance(table.open(record, 6), Refused)


def test_silence_is_judged_anew_after_a_pause_of_the_process() -> None:
    wire = FakeConnection()
    connection = cast(Connection, wire)

    def tick(now_ms: int) -> None:
        keep_alive(
            connection=connection,
            busy=True,
            now_ms=now_ms,
            heartbeat_ms=SETTINGS.heartbeat_ms,
            silence_ms=SETTINGS.silence_ms,
            name="side-1",
        )

    tick(0)
    reset_silence_timer(connection, 60_000)
    tick(60_000)
    assert not wire.aborted
    tick(60_000 + SETTINGS.silence_ms)
    assert wire.aborted


async def test_a_status_is_sent_at_a_bounded_rate_and_at_once_when_leaving() -> None:
    clock = ManualClock()
    app = Application(
        name="side-1", role=Role.SIDE, data_centre="dc-1", region="region-1", clock=clock
    )
    wire = FakeConnection()
    publisher = StatusPublisher(
        app=app, connections=lambda: [cast(Connection, wire)], reported_load=ReportedLoad()
    )
    publisher.publish(STATUS)
    for load in range(2, 50):
        publisher.publish(Status(load=load, running=1, weight=1.0, leaving=False, ready=True))
    await asyncio.sleep(0)
    assert len(wire.sent) == 1
    clock.advance(10_000)
    await asyncio.sleep(0)
    assert len(wire.sent) == 2
    publisher.publish(Status(load=49, running=1, weight=1.0, leaving=True, ready=True))
    assert len(wire.sent) == 3
    await app.async_stop()


@pytest.mark.parametrize(("links", "due_ms"), [(10, 250), (330, 40_000)])
async def test_status_intervals_grow_with_the_square_of_many_links(links: int, due_ms: int) -> None:
    clock = ManualClock()
    app = Application(
        name="side-1", role=Role.SIDE, data_centre="dc-1", region="region-1", clock=clock
    )
    wires = [FakeConnection() for _ in range(links)]
    connections = [cast(Connection, wire) for wire in wires]
    publisher = StatusPublisher(
        app=app, connections=lambda: connections, reported_load=ReportedLoad()
    )
    publisher.publish(STATUS)
    publisher.publish(Status(load=9, running=1, weight=1.0, leaving=False, ready=True))
    await asyncio.sleep(0)
    clock.advance(due_ms // 2)
    await asyncio.sleep(0)
    assert len(wires[0].sent) == 1
    clock.advance(due_ms)
    await asyncio.sleep(0)
    assert len(wires[0].sent) == 2
    await app.async_stop()
