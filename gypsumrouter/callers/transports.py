"""What transports of connections do not offer: unread bytes and resets."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from typing import Any, Final

# SO_LINGER with a timeout of 0: closing the socket sends RST instead of FIN.
LINGER_RESET: Final = struct.pack("ii", 1, 0)


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


def has_untaken_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether the peer's kernel has not acknowledged all that was written."""
    connection = _get_socket(transport)
    if transport is None or connection is None:
        return False
    if transport.get_write_buffer_size():
        return True
    untaken = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return bool(struct.unpack("i", untaken)[0])


def _get_socket(transport: asyncio.Transport | None) -> Any:
    """Return the socket of an open connection.

    After a close, the file descriptor may have been reused by another connection.
    """
    if transport is None or transport.is_closing():
        return None
    return transport.get_extra_info("socket")
