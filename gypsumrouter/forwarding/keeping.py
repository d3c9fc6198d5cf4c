"""Maximum idle time of pooled connections to upstreams.

With many routers and upstreams, each pair exchanges a request only every few seconds. A new
connection costs a round trip and a handshake, but an idle one may be closed by its upstream at the
moment of reuse, and a request that must not be repeated then fails.
"""

from __future__ import annotations

from typing import Final

# Used if the upstream announces no keep-alive timeout; servers usually keep idle connections for
# five seconds or more.
DEFAULT_KEEP_ALIVE_MS: Final = 4_000
# As above, for requests that must not be repeated.
DEFAULT_NON_REPEATABLE_IDLE_MS: Final = 1_500
# Connections are discarded this long before the upstream closes them, to allow for network delay
# and for pauses of this process.
KEEP_ALIVE_MARGIN_MS: Final = 1_000
# Requests that must not be repeated use a connection only within this part of the announced time.
# A path that fell silent is found by the kernel's probes within three seconds.
NON_REPEATABLE_IDLE_RATIO: Final = 0.5


def get_max_idle_ms(announced_ms: int | None, *, repeatable: bool) -> int:
    """Return how long a connection may have been idle to be reused for a request.

    `announced_ms` is the keep-alive timeout that the upstream announced, None if it did not.
    """
    if announced_ms is None:
        return DEFAULT_KEEP_ALIVE_MS if repeatable else DEFAULT_NON_REPEATABLE_IDLE_MS
    kept_ms = max(0, announced_ms - KEEP_ALIVE_MARGIN_MS)
    return kept_ms if repeatable else min(kept_ms, int(announced_ms * NON_REPEATABLE_IDLE_RATIO))
