"""An upstream that is a process of its own, and counts its deadlines in whole milliseconds.

Arguments: as those of `obeying_upstream.py`. A millisecond of its clock begins 0.9 ms before one of
the router's, so that it stops by so much too early. It stops at that moment to the microsecond.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Final

from obeying_upstream import PAUSE_S, ObeyingUpstream

EARLY_S: Final = 0.0009
# Time-outs of the event loop are up to 1 ms late, so that the last ones are waited for in turns.
LATE_S: Final = 0.003


class RoundingUpstream(ObeyingUpstream):
    """Ends answers in order right before their deadline."""

    async def _async_pause(self, ends_s: float) -> bool:
        loop = asyncio.get_running_loop()
        left_s = ends_s - EARLY_S - loop.time()
        if left_s >= PAUSE_S:
            await asyncio.sleep(PAUSE_S)
            return True
        await asyncio.sleep(max(0, left_s - LATE_S))
        while loop.time() < ends_s - EARLY_S:  # noqa: ASYNC110
            await asyncio.sleep(0)
        return False


if __name__ == "__main__":
    upstream = RoundingUpstream(name=sys.argv[1], born=int(sys.argv[2]), framing=sys.argv[3])
    asyncio.run(upstream.async_run())
