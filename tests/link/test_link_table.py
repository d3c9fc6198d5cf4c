"""Expiry of router records, silence detection and status rate, with a manual clock."""

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
    """A connection that records the kinds of the frames sent."""

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


def test_full_table_rejects_routers_until_a_record_expires() -> None:
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
    assert attach(table, clock, 1)[0] is None, "the record of a connected router was removed"


def test_after_removing_a_record_only_newer_requests_are_refused() -> None:
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


def test_silence_timer_is_reset_after_a_pause_of_the_process() -> None:
    fake = FakeConnection()
    connection = cast(Connection, fake)

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
    assert not fake.aborted
    tick(60_000 + SETTINGS.silence_ms)
    assert fake.aborted


async def test_status_rate_is_limited_unless_leaving_changes() -> None:
    clock = ManualClock()
    app = Application(
        name="side-1", role=Role.SIDE, data_centre="dc-1", region="region-1", clock=clock
    )
    fake = FakeConnection()
    publisher = StatusPublisher(
        app=app, connections=lambda: [cast(Connection, fake)], reported_load=ReportedLoad()
    )
    publisher.publish(STATUS)
    for load in range(2, 50):
        publisher.publish(Status(load=load, running=1, weight=1.0, leaving=False, ready=True))
    await asyncio.sleep(0)
    assert len(fake.sent) == 1
    clock.advance(10_000)
    await asyncio.sleep(0)
    assert len(fake.sent) == 2
    publisher.publish(Status(load=49, running=1, weight=1.0, leaving=True, ready=True))
    assert len(fake.sent) == 3
    await app.async_stop()


@pytest.mark.parametrize(("links", "due_ms"), [(10, 250), (330, 40_000)])
async def test_status_interval_grows_with_the_square_of_the_number_of_links(
    links: int, due_ms: int
) -> None:
    clock = ManualClock()
    app = Application(
        name="side-1", role=Role.SIDE, data_centre="dc-1", region="region-1", clock=clock
    )
    fakes = [FakeConnection() for _ in range(links)]
    connections = [cast(Connection, fake) for fake in fakes]
    publisher = StatusPublisher(
        app=app, connections=lambda: connections, reported_load=ReportedLoad()
    )
    publisher.publish(STATUS)
    publisher.publish(Status(load=9, running=1, weight=1.0, leaving=False, ready=True))
    await asyncio.sleep(0)
    clock.advance(due_ms // 2)
    await asyncio.sleep(0)
    assert len(fakes[0].sent) == 1
    clock.advance(due_ms)
    await asyncio.sleep(0)
    assert len(fakes[0].sent) == 2
    await app.async_stop()
