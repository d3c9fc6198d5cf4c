"""Resetting a caller's connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Final

LINGER_RESET: Final = struct.pack("ii", 1, 0)


def abort_connection(transport: asyncio.Transport | None) -> None:
    """Reset a connection, so that its caller cannot take what it got for a whole answer."""
    if transport is None:
        return
    # The descriptor of a closed connection may already belong to another one.
    connection = None if transport.is_closing() else transport.get_extra_info("socket")
    if connection is not None:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        except OSError:
            pass
    transport.abort()
