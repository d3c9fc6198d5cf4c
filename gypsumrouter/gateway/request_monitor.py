"""Monitoring of running requests: deadlines, stalled callers, dead connections."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from typing import Any, Final

from gypsumrouter.callers import abort_connection
from gypsumrouter.core import Application
from gypsumrouter.gateway.const import (
    ACK_CHECK_INTERVAL_MS,
    ACK_TIMEOUT_MS,
    DEADLINE_GRACE_MS,
    MONITOR_INTERVAL_MS,
)

_LOGGER = logging.getLogger(__name__)

# Fields of Linux's struct tcp_info: number of unacknowledged segments, and milliseconds since the
# last acknowledgement.
TCP_INFO_BYTES: Final = 60
UNACKED_OFFSET: Final = 24
LAST_ACK_OFFSET: Final = 56
UINT32: Final = struct.Struct("=I")


class MonitoredRequest:
    """A monitored request; its `scope` is cancelled at the deadline.

    `blocked_since_ms` is set while a write waits for the caller, to the time of the last progress.
    """

    __slots__ = (
        "blocked_since_ms",
        "buffered_bytes",
        "deadline_at_ms",
        "request_id",
        "scope",
        "transport",
    )

    def __init__(
        self,
        *,
        request_id: str,
        transport: asyncio.Transport | None,
        scope: asyncio.Timeout,
        deadline_at_ms: int,
    ) -> None:
        self.request_id = request_id
        self.transport = transport
        self.scope: asyncio.Timeout | None = scope
        self.deadline_at_ms = deadline_at_ms
        self.blocked_since_ms: int | None = None
        self.buffered_bytes = 0

    def start_write(self, now_ms: int) -> None:
        """Record the start of a write that waits until the caller reads."""
        self.blocked_since_ms = now_ms
        self.buffered_bytes = (
            0 if self.transport is None else self.transport.get_write_buffer_size()
        )

    def finish_write(self) -> None:
        """Record that the write has completed."""
        self.blocked_since_ms = None


class RequestMonitor:
    """Checks all running requests periodically, and aborts connections of unresponsive callers."""

    __slots__ = ("_app", "_caller_idle_ms", "_monitored", "_next_ack_check_ms", "aborted")

    def __init__(self, *, app: Application, caller_idle_ms: int) -> None:
        self._app = app
        self._caller_idle_ms = caller_idle_ms
        self._next_ack_check_ms = 0
        self._monitored: set[MonitoredRequest] = set()
        self.aborted = 0

    def async_start(self) -> None:
        """Start the periodic checks."""
        self._app.async_create_task(self._async_run(), "gateway request monitor")

    def add(self, monitored: MonitoredRequest) -> None:
        """Monitor a request until it is removed."""
        self._monitored.add(monitored)

    def remove(self, monitored: MonitoredRequest) -> None:
        """Stop monitoring a request."""
        self._monitored.discard(monitored)

    async def _async_run(self) -> None:
        while True:
            await self._app.clock.async_sleep(MONITOR_INTERVAL_MS)
            self._check_all(self._app.clock.now_ms())

    def _check_all(self, now_ms: int) -> None:
        checks_acks = now_ms >= self._next_ack_check_ms
        if checks_acks:
            self._next_ack_check_ms = now_ms + ACK_CHECK_INTERVAL_MS
        for monitored in tuple(self._monitored):
            self._check_deadline(monitored, now_ms)
            if self._is_stalled(monitored, now_ms) or (
                checks_acks and is_unacknowledged(monitored)
            ):
                self._abort(monitored)

    def _check_deadline(self, monitored: MonitoredRequest, now_ms: int) -> None:
        if monitored.scope is None or now_ms < monitored.deadline_at_ms + DEADLINE_GRACE_MS:
            return
        monitored.scope.reschedule(asyncio.get_running_loop().time())
        monitored.scope = None

    def _is_stalled(self, monitored: MonitoredRequest, now_ms: int) -> bool:
        if monitored.blocked_since_ms is None or monitored.transport is None:
            return False
        buffered = monitored.transport.get_write_buffer_size()
        if buffered < monitored.buffered_bytes:
            monitored.blocked_since_ms = now_ms
        monitored.buffered_bytes = buffered
        return now_ms - monitored.blocked_since_ms >= self._caller_idle_ms

    def _abort(self, monitored: MonitoredRequest) -> None:
        _LOGGER.debug(
            "Request %s: caller reads no data or does not acknowledge it; resetting the connection",
            monitored.request_id,
        )
        self.remove(monitored)
        self.aborted += 1
        abort_connection(monitored.transport)


def is_unacknowledged(monitored: MonitoredRequest) -> bool:
    """Return whether sent data has not been acknowledged within `ACK_TIMEOUT_MS`.

    A slow caller still acknowledges data; with a closed receive window no data is outstanding.
    """
    if monitored.transport is None or monitored.transport.is_closing():
        return False
    connection = monitored.transport.get_extra_info("socket")
    info = _read_tcp_info(connection)
    if info is None:
        return False
    unacked: int = UINT32.unpack_from(info, UNACKED_OFFSET)[0]
    last_ack_ms: int = UINT32.unpack_from(info, LAST_ACK_OFFSET)[0]
    return unacked > 0 and last_ack_ms >= ACK_TIMEOUT_MS


def _read_tcp_info(connection: Any) -> bytes | None:
    if connection is None:
        return None
    try:
        info: bytes = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    return info if len(info) == TCP_INFO_BYTES else None
