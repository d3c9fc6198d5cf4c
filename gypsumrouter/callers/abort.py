"""Reset of a caller's TCP connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Final

# SO_LINGER with a timeout of 0: closing the socket sends RST instead of FIN.
LINGER_RESET: Final = struct.pack("ii", 1, 0)


def abort_connection(transport: asyncio.Transport | None) -> None:
    """Reset a connection, so that a truncated answer cannot look complete to the caller."""
    if transport is None:
        return
    # After a close, the file descriptor may have been reused by another connection.
    connection = None if transport.is_closing() else transport.get_extra_info("socket")
    if connection is not None:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        except OSError:
            pass
    transport.abort()
