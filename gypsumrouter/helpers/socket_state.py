"""What the kernel knows of a connection, beside the bytes that were read from it."""

from __future__ import annotations

import asyncio
import select
from typing import Final

# The kernel reports POLLHUP and POLLERR in any case.
END_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_peer_ended(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the peer has closed or reset a connection, even behind unread bytes."""
    connection = None if transport is None else transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(connection.fileno(), END_EVENTS)
    return bool(poller.poll(0))
