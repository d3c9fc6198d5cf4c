"""Heartbeats and detection of dead links; a server or a pool checks all its links on one timer."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gypsumrouter.link.connection import Connection
from gypsumrouter.link.const import FLAG_ECHO_REQUEST, TICKS_PER_HEARTBEAT, Kind
from gypsumrouter.settings import Link
from gypsumrouter.util.clock import Clock

_LOGGER = logging.getLogger(__name__)


def keep_alive(
    *,
    connection: Connection,
    busy: bool,
    now_ms: int,
    heartbeat_ms: int,
    silence_ms: int,
    name: str,
) -> None:
    """Send a heartbeat if one is due, and abort the link if nothing was received for `silence_ms`.

    A link without exchanges sends no heartbeats and is not aborted.
    """
    if not busy and not connection.receiving:
        connection.busy_since_ms = None
        return
    if connection.busy_since_ms is None:
        connection.busy_since_ms = now_ms
    silent_ms = now_ms - max(connection.last_received_ms, connection.busy_since_ms)
    if busy and silent_ms >= silence_ms:
        _LOGGER.warning("Received nothing from %s for %s ms; aborting the link", name, silent_ms)
        connection.abort()
        return
    if now_ms - connection.last_sent_ms >= heartbeat_ms:
        connection.send(Kind.HEARTBEAT)


def request_echo(
    *, connection: Connection, waiting: bool, now_ms: int, settings: Link, name: str
) -> None:
    """Request an echo while a request has no answer yet; abort the link if none is received.

    Frames received for other requests do not show that this request reached the server.
    """
    if not waiting:
        connection.echo_requested_ms = None
        return
    if connection.echo_requested_ms is None:
        connection.echo_requested_ms = now_ms
        connection.send(Kind.HEARTBEAT, flags=FLAG_ECHO_REQUEST)
        return
    if now_ms - connection.echo_requested_ms >= settings.silence_ms - settings.heartbeat_ms:
        _LOGGER.warning("No echo from %s, requests do not reach it; aborting the link", name)
        connection.abort()


async def async_run_timer(
    *, clock: Clock, settings: Link, on_tick: Callable[[int, bool], None]
) -> None:
    """Call `on_tick` several times per heartbeat, with the time and whether the tick is late.

    After a late tick, for instance because the process was paused, data received meanwhile has not
    been read yet, so a peer must not be considered silent.
    """
    period_ms = max(1, settings.heartbeat_ms // TICKS_PER_HEARTBEAT)
    due_ms = clock.now_ms() + period_ms
    while True:
        await clock.async_sleep(period_ms)
        now_ms = clock.now_ms()
        on_tick(now_ms, now_ms - due_ms >= settings.heartbeat_ms)
        due_ms = now_ms + period_ms


def reset_silence_timer(connection: Connection, now_ms: int) -> None:
    """Count the silence of a peer from now on."""
    connection.last_received_ms = now_ms
