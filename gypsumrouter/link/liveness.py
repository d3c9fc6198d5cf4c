"""Finding links that went silent: one timer for all links of a server or a pool."""

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
    """Send a heartbeat if one is due, and drop the link if its peer has been silent too long.

    A link without exchanges sends none and may be silent.
    """
    if not busy and not connection.receiving:
        connection.busy_since_ms = None
        return
    if connection.busy_since_ms is None:
        connection.busy_since_ms = now_ms
    silent_ms = now_ms - max(connection.last_received_ms, connection.busy_since_ms)
    if busy and silent_ms >= silence_ms:
        _LOGGER.warning("The link with %s was silent for %s ms and is dropped", name, silent_ms)
        connection.abort()
        return
    if now_ms - connection.last_sent_ms >= heartbeat_ms:
        connection.send(Kind.HEARTBEAT)


def request_echo(
    *, connection: Connection, waiting: bool, now_ms: int, settings: Link, name: str
) -> None:
    """Ask the server for an echo while a request waits for its first word, and drop a link
    that gives none.

    What arrives for other requests does not show that this one got through.
    """
    if not waiting:
        connection.echo_requested_ms = None
        return
    if connection.echo_requested_ms is None:
        connection.echo_requested_ms = now_ms
        connection.send(Kind.HEARTBEAT, flags=FLAG_ECHO_REQUEST)
        return
    if now_ms - connection.echo_requested_ms >= settings.silence_ms - settings.heartbeat_ms:
        _LOGGER.warning("The link with %s takes nothing and is dropped", name)
        connection.abort()


async def async_run_timer(
    *, clock: Clock, settings: Link, on_tick: Callable[[int, bool], None]
) -> None:
    """Call `on_tick` a few times in each heartbeat, with the time and whether we were late.

    After a pause of the process what the peers sent meanwhile has not been read yet, so that
    their silence must not be judged.
    """
    period_ms = max(1, settings.heartbeat_ms // TICKS_PER_HEARTBEAT)
    due_ms = clock.now_ms() + period_ms
    while True:
        await clock.async_sleep(period_ms)
        now_ms = clock.now_ms()
        on_tick(now_ms, now_ms - due_ms >= settings.heartbeat_ms)
        due_ms = now_ms + period_ms


def reset_silence_timer(connection: Connection, now_ms: int) -> None:
    """Begin to judge a peer's silence anew."""
    connection.last_received_ms = now_ms
