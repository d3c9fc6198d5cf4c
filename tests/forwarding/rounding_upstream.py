"""An upstream that is a process of its own, and counts its deadlines in whole milliseconds.

Arguments: as those of `obeying_upstream.py`. A millisecond of its clock begins 0.9 ms before one of
the router's, so that it stops by so much too early. It stops at that moment to the microsecond.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Final

from obeying_upstream import PAUSE_S, PIECES, ObeyingUpstream, make_piece

EARLY_S: Final = 0.0009
# Time-outs of the event loop are up to 1 ms late, so that the last ones are waited for in turns.
LATE_S: Final = 0.003


class RoundingUpstream(ObeyingUpstream):
    """Ends answers in order right before their deadline."""

    async def _async_run_request(
        self,
        writer: asyncio.StreamWriter,
        opening: str,
        headers: dict[str, str],
        *,
        ends_s: float,
    ) -> None:
        events = "x-token-usage" in headers
        opening += f"Content-Type: {'text/event-stream' if events else 'text/plain'}\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{opening}Transfer-Encoding: chunked\r\n\r\n".encode())
        first = int(headers.get("last-event-id") or 0) + 1
        loop = asyncio.get_running_loop()
        for number in range(first, PIECES + 1):
            left_s = ends_s - EARLY_S - loop.time()
            if left_s < PAUSE_S:
                await asyncio.sleep(max(0, left_s - LATE_S))
                while loop.time() < ends_s - EARLY_S:  # noqa: ASYNC110
                    await asyncio.sleep(0)
                break
            await asyncio.sleep(PAUSE_S)
            self._write(writer, make_piece(number, events=events))
        writer.write(b"0\r\n\r\n")


if __name__ == "__main__":
    upstream = RoundingUpstream(name=sys.argv[1], born=int(sys.argv[2]), framing=sys.argv[3])
    asyncio.run(upstream.async_run())
