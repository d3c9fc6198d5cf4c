"""What transports of connections do not offer: unread bytes and resets."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from typing import Any, Final

# Send buffer of a connection whose caller reads late, near the end of its process. The kernel
# bounds it (net.core.wmem_max), and goes on to send from it when the process has ended.
LAST_SEND_BUFFER_BYTES: Final = 1024 * 1024
# SO_LINGER with a timeout of 0: closing the socket sends RST instead of FIN.
LINGER_RESET: Final = struct.pack("ii", 1, 0)
# Closing the socket sends what the kernel holds, and FIN behind it.
LINGER_OFF: Final = struct.pack("ii", 0, 0)


class ResetOnClose:
    """Lets a connection end with a reset until the kernel holds the whole of an answer.

    For an answer that only the end of its connection ends: also when the process is killed, its
    caller sees that it is incomplete.
    """

    __slots__ = ("_is_whole", "_socket", "_transport")

    def __init__(self, *, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        self._is_whole = False
        self._set(LINGER_RESET)

    def end(self) -> None:
        """Note that the answer is written whole; `note_drained` is to be called once it is sent."""
        if self._is_whole or self._transport.is_closing():
            return
        self._is_whole = True
        # Over TLS, what the transport below holds is not counted; TLS marks its end itself.
        if not self._transport.get_write_buffer_size():
            self._set(LINGER_OFF)
        else:
            self._transport.set_write_buffer_limits(high=0)

    def note_drained(self) -> None:
        """Let the connection end regularly if nothing of the whole answer is left to be sent."""
        # The transport may be closing; its socket is open until all is sent.
        if self._is_whole and not self._transport.get_write_buffer_size():
            self._set(LINGER_OFF)

    def _set(self, linger: bytes) -> None:
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass


def abort_connection(transport: asyncio.Transport | None) -> None:
    """Reset a connection, so that a truncated answer cannot look complete to the caller."""
    if transport is None:
        return
    connection = _get_socket(transport)
    if connection is not None:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        except OSError:
            pass
    transport.abort()


def has_unread_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether the kernel has received bytes, or an end, that are not read yet."""
    connection = _get_socket(transport)
    if connection is None:
        return False
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def grow_send_buffer(transport: asyncio.Transport | None) -> None:
    """Let the kernel take more of what was written to a connection."""
    connection = _get_socket(transport)
    if connection is None:
        return
    # The kernel reports twice the size that was asked for.
    if connection.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < 2 * LAST_SEND_BUFFER_BYTES:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LAST_SEND_BUFFER_BYTES)


def has_untaken_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether the peer's kernel has not acknowledged all that was written."""
    return bool(count_untaken_bytes(transport))


def count_untaken_bytes(transport: asyncio.Transport | None) -> int:
    """Return how much of what was written the peer's kernel has not acknowledged."""
    connection = _get_socket(transport)
    if transport is None or connection is None:
        return 0
    answer = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    untaken: int = struct.unpack("i", answer)[0]
    return transport.get_write_buffer_size() + untaken


def _get_socket(transport: asyncio.Transport | None) -> Any:
    """Return the socket of an open connection.

    After a close, the file descriptor may have been reused by another connection.
    """
    if transport is None or transport.is_closing():
        return None
    return transport.get_extra_info("socket")
