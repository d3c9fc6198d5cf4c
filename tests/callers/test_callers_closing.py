"""Which connections a planned stop closes, and when; decided without a network."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import cast

import pytest

from gypsumrouter.callers.closing import POLL_MS, Closing, ConnectionDrain, decide_closing
from gypsumrouter.callers.connection import CallerConnection, ConnectionState
from gypsumrouter.util.clock import ManualClock

LIMIT_MS = 1_000
ARRIVING = (ConnectionState.HEAD, ConnectionState.BODY)


class FakeConnection:
    """A connection in a given state."""

    def __init__(self, state: ConnectionState) -> None:
        self.state = state
        self.closed = False
        self.refusals = 0

    def close_idle(self) -> None:
        self.closed = True

    def refuse_arriving(self) -> None:
        self.refusals += 1


class FakeServer:
    """A server with such connections."""

    def __init__(self, *states: ConnectionState) -> None:
        self.connection_closed = asyncio.Event()
        self.connections = [FakeConnection(state) for state in states]
        self.listening = True
        self.closes_after_answers = False

    def close_after_answers(self) -> None:
        self.closes_after_answers = True

    def list_connections(self) -> list[CallerConnection]:
        still_open = [connection for connection in self.connections if not connection.closed]
        return cast(list[CallerConnection], still_open)

    async def async_stop_listening(self) -> None:
        self.listening = False


class Draining:
    """A drain of such a server, on a clock that the test advances."""

    def __init__(self, *states: ConnectionState) -> None:
        self.clock = ManualClock()
        self.server = FakeServer(*states)
        self.counted: Counter[ConnectionState] = Counter()
        self.drain = ConnectionDrain(
            clock=self.clock,
            server=self.server,
            limit_at_ms=self.clock.now_ms() + LIMIT_MS,
            on_closing=self.counted.update,
        )
        self.drain.begin()
        self.task = asyncio.create_task(self.drain.async_run())

    async def async_advance(self, delay_ms: int) -> None:
        """Let time pass in steps, and the drain act on it."""
        for _ in range(0, delay_ms, POLL_MS):
            self.clock.advance(POLL_MS)
            for _ in range(5):
                await asyncio.sleep(0)


@pytest.mark.parametrize("state", ConnectionState)
def test_only_idle_connections_are_closed_at_once(state: ConnectionState) -> None:
    closes = decide_closing(state, out_of_time=False) is Closing.NOW
    assert closes == (state is ConnectionState.IDLE)


@pytest.mark.parametrize("state", ARRIVING)
def test_arriving_request_is_refused_at_the_limit(state: ConnectionState) -> None:
    assert decide_closing(state, out_of_time=False) is Closing.AFTER_ANSWER
    assert decide_closing(state, out_of_time=True) is Closing.REFUSE


def test_request_that_has_arrived_whole_is_answered_even_after_the_limit() -> None:
    assert decide_closing(ConnectionState.ANSWERING, out_of_time=True) is Closing.AFTER_ANSWER


@pytest.mark.parametrize("state", [ConnectionState.OPENED, *ARRIVING, ConnectionState.ANSWERING])
async def test_drain_waits_for_what_is_arriving_or_answered(state: ConnectionState) -> None:
    draining = Draining(ConnectionState.IDLE, state)
    await draining.async_advance(LIMIT_MS // 2)
    idle, busy = draining.server.connections
    assert idle.closed
    assert not busy.closed
    assert draining.server.closes_after_answers
    assert draining.server.listening
    assert draining.counted == Counter({ConnectionState.IDLE: 1, state: 1})
    busy.closed = True
    draining.server.connection_closed.set()
    await asyncio.wait_for(draining.task, timeout=5)
    assert not draining.server.listening
    assert busy.refusals == 0


async def test_drain_refuses_what_arrives_at_its_limit_and_stops_listening() -> None:
    draining = Draining(ConnectionState.BODY)
    await draining.async_advance(LIMIT_MS + POLL_MS)
    (arriving,) = draining.server.connections
    assert arriving.refusals >= 1
    assert not arriving.closed
    assert not draining.server.listening
    assert not draining.task.done()
    draining.task.cancel()


async def test_connection_that_opened_during_the_drain_is_closed_at_its_end() -> None:
    draining = Draining(ConnectionState.ANSWERING)
    await draining.async_advance(POLL_MS)
    opened = FakeConnection(ConnectionState.IDLE)
    draining.server.connections.append(opened)
    await draining.async_advance(POLL_MS)
    assert not opened.closed
    draining.server.connections[0].closed = True
    draining.server.connection_closed.set()
    await asyncio.wait_for(draining.task, timeout=5)
    assert opened.closed
