"""How long a connection to an upstream may have been idle and still carry a request.

Answers this load: many routers before many upstreams, where each pair meets once in some seconds
only. A new connection costs its upstream a handshake and the request a round trip; a kept one may
be closed by its upstream at the moment of use, and a request that must not be repeated is lost
with it.
"""

from __future__ import annotations

from typing import Final

# Without a word of the upstream: servers close idle connections after five seconds or more.
DEFAULT_KEEP_ALIVE_MS: Final = 4_000
# What must not be repeated is not sent on a connection that its upstream may be closing just now.
DEFAULT_NON_REPEATABLE_IDLE_MS: Final = 1_500
# A connection is given up this long before its upstream closes it: the way there, and a pause of
# this process that its clock does not count.
KEEP_ALIVE_MARGIN_MS: Final = 1_000
# What must not be repeated keeps away from the announced end by half of it. A path that fell silent
# is found by the kernel's probes within three seconds.
NON_REPEATABLE_IDLE_RATIO: Final = 0.5


def get_max_idle_ms(announced_ms: int | None, *, repeatable: bool) -> int:
    """Return for how long a connection may be idle before a request.

    `announced_ms` is how long its upstream says that it keeps idle connections.
    """
    if announced_ms is None:
        return DEFAULT_KEEP_ALIVE_MS if repeatable else DEFAULT_NON_REPEATABLE_IDLE_MS
    kept_ms = max(0, announced_ms - KEEP_ALIVE_MARGIN_MS)
    return kept_ms if repeatable else min(kept_ms, int(announced_ms * NON_REPEATABLE_IDLE_RATIO))
