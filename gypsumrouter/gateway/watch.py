"""Watch over the requests that run: deadlines, callers that take nothing, silent connections."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from typing import Any, Final

from gypsumrouter.callers import abort_connection
from gypsumrouter.core import Application
from gypsumrouter.gateway.const import DEADLINE_GRACE_MS, SILENCE_CHECK_MS, SILENT_MS, SWEEP_MS

_LOGGER = logging.getLogger(__name__)

# Of Linux's struct tcp_info: what is unacknowledged, and how long the last acknowledgement is ago.
TCP_INFO_BYTES: Final = 60
UNACKED_OFFSET: Final = 24
LAST_ACK_OFFSET: Final = 56
UINT32: Final = struct.Struct("=I")


class Watched:
    """One request that runs; `blocked_since_ms` is set while the caller takes nothing."""

    __slots__ = (
        "blocked_since_ms",
        "buffered",
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
        self.buffered = 0

    def block(self, now_ms: int) -> None:
        """Note that the caller has to take something before more is written."""
        self.blocked_since_ms = now_ms
        self.buffered = 0 if self.transport is None else self.transport.get_write_buffer_size()

    def unblock(self) -> None:
        """Note that the caller took it."""
        self.blocked_since_ms = None


class Watch:
    """Checks every running request in fixed steps of the application's clock."""

    __slots__ = ("_app", "_caller_idle_ms", "_next_silence_check_ms", "_watched", "cut")

    def __init__(self, *, app: Application, caller_idle_ms: int) -> None:
        self._app = app
        self._caller_idle_ms = caller_idle_ms
        self._next_silence_check_ms = 0
        self._watched: set[Watched] = set()
        self.cut = 0

    def async_start(self) -> None:
        """Begin to watch."""
        self._app.async_create_task(self._async_run(), "gateway watch")

    def add(self, watched: Watched) -> None:
        """Watch a request until it is removed."""
        self._watched.add(watched)

    def remove(self, watched: Watched) -> None:
        """Watch a request no longer."""
        self._watched.discard(watched)

    async def _async_run(self) -> None:
        while True:
            await self._app.clock.async_sleep(SWEEP_MS)
            self._sweep(self._app.clock.now_ms())

    def _sweep(self, now_ms: int) -> None:
        checks_silence = now_ms >= self._next_silence_check_ms
        if checks_silence:
            self._next_silence_check_ms = now_ms + SILENCE_CHECK_MS
        for watched in tuple(self._watched):
            self._check_deadline(watched, now_ms)
            if self._is_stuck(watched, now_ms) or (checks_silence and is_silent(watched)):
                self._cut(watched)

    def _check_deadline(self, watched: Watched, now_ms: int) -> None:
        if watched.scope is None or now_ms < watched.deadline_at_ms + DEADLINE_GRACE_MS:
            return
        watched.scope.reschedule(asyncio.get_running_loop().time())
        watched.scope = None

    def _is_stuck(self, watched: Watched, now_ms: int) -> bool:
        if watched.blocked_since_ms is None or watched.transport is None:
            return False
        buffered = watched.transport.get_write_buffer_size()
        if buffered < watched.buffered:
            watched.blocked_since_ms = now_ms
        watched.buffered = buffered
        return now_ms - watched.blocked_since_ms >= self._caller_idle_ms

    def _cut(self, watched: Watched) -> None:
        _LOGGER.debug("Request %s: its caller takes nothing, cut", watched.request_id)
        self.remove(watched)
        self.cut += 1
        abort_connection(watched.transport)


def is_silent(watched: Watched) -> bool:
    """Return whether sent bytes have gone without any acknowledgement for too long.

    A caller that is only slow still acknowledges; nothing is unacknowledged while its window is
    closed.
    """
    if watched.transport is None or watched.transport.is_closing():
        return False
    connection = watched.transport.get_extra_info("socket")
    info = _read_tcp_info(connection)
    if info is None:
        return False
    unacked: int = UINT32.unpack_from(info, UNACKED_OFFSET)[0]
    last_ack_ms: int = UINT32.unpack_from(info, LAST_ACK_OFFSET)[0]
    return unacked > 0 and last_ack_ms >= SILENT_MS


def _read_tcp_info(connection: Any) -> bytes | None:
    if connection is None:
        return None
    try:
        info: bytes = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    return info if len(info) == TCP_INFO_BYTES else None
