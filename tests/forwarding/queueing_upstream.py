"""An upstream that is a process of its own, and whose requests wait until their deadline.

Arguments: as those of `obeying_upstream.py`. At the deadline it states that a request has not run.
"""

from __future__ import annotations

import asyncio
import sys

from obeying_upstream import ObeyingUpstream


class QueueingUpstream(ObeyingUpstream):
    """Refuses each request at its deadline."""

    async def _async_run_request(
        self,
        writer: asyncio.StreamWriter,
        opening: str,
        headers: dict[str, str],
        *,
        ends_s: float,
    ) -> None:
        await asyncio.sleep(max(0, ends_s - asyncio.get_running_loop().time()))
        opening += "X-Not-Executed: 1\r\nContent-Length: 0\r\n"
        writer.write(f"HTTP/1.1 503 Service Unavailable\r\n{opening}\r\n".encode())


if __name__ == "__main__":
    upstream = QueueingUpstream(name=sys.argv[1], born=int(sys.argv[2]), framing=sys.argv[3])
    asyncio.run(upstream.async_run())
