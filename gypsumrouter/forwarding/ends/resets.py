"""Resets that come behind the end of a connection, and how long they are waited for."""

from __future__ import annotations

from typing import Final

from gypsumrouter.helpers.http_connection import HttpConnection
from gypsumrouter.routing import Route
from gypsumrouter.util.clock import Clock

# An upstream may be held up between the end of its side and the reset.
MAX_RESET_WAIT_MS: Final = 100
# Part of the longest pause between events, within which a stream is still on time.
GAP_SHARE: Final = 0.5
LOOK_MS: Final = 10


def get_reset_wait_ms(route: Route) -> int:
    """Return how long the end of an answer without framing is held back for a reset.

    Only that of a stream: its events have been passed on by then. Another answer would be late.
    """
    if not route.streamed:
        return 0
    if not route.max_event_gap_ms:
        return MAX_RESET_WAIT_MS
    return min(MAX_RESET_WAIT_MS, int(route.max_event_gap_ms * GAP_SHARE))


async def async_find_reset(connection: HttpConnection, *, clock: Clock, until_ms: int) -> bool:
    """Return whether a peer that has ended a connection resets it by `until_ms` (monotonic)."""
    while not connection.was_reset:
        left_ms = until_ms - clock.now_ms()
        if left_ms <= 0:
            return False
        await clock.async_sleep(min(LOOK_MS, left_ms))
    return True
