"""Questions that a process at the other end of a connection answers about itself."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from gypsumrouter.const import MS_PER_S
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.responders import ReadResponder, Responder
from gypsumrouter.helpers.http_connection import ConnectFailed, HttpConnection
from gypsumrouter.helpers.http_response import ConnectionBroken

Answered = TypeVar("Answered")

NOT_STATED: Final = 0
# Returns when the upstream at the other end started (Unix time), NOT_STATED if it doesn't say.
ReadStart = Callable[[HttpConnection], Awaitable[int]]


class UpstreamQuestions:
    """Asks for the start or the id of an upstream, each within a time limit."""

    __slots__ = ("_read_responder", "_read_start")

    def __init__(self, *, read_start: ReadStart, read_responder: ReadResponder) -> None:
        self._read_start = read_start
        self._read_responder = read_responder

    async def async_read_start(self, connection: HttpConnection, *, timeout_ms: int) -> int:
        """Return the start that an upstream states, or NOT_STATED; raises ConnectFailed."""
        return await _async_ask(connection, self._read_start(connection), timeout_ms=timeout_ms)

    async def async_verify_id(
        self, entry: Entry, connection: HttpConnection, *, path: str, timeout_ms: int
    ) -> None:
        """Ask for the upstream's id; raises ConnectFailed."""
        question = self._read_responder(connection, path=path, upstream=entry.upstream)
        match await _async_ask(connection, question, timeout_ms=timeout_ms):
            case Responder.OTHER:
                connection.close()
                raise ConnectFailed("another upstream has its address", other_start=True)
            case Responder.UNKNOWN:
                connection.close()
                raise ConnectFailed("the answer names no upstream", unnamed=True)


async def _async_ask(
    connection: HttpConnection, question: Awaitable[Answered], *, timeout_ms: int
) -> Answered:
    """Return the answer to a question on a connection, which is closed without one.

    Raises ConnectFailed.
    """
    asking = asyncio.ensure_future(question)
    try:
        # In halves: after a pause of this process that is longer than the timeout, an answer that
        # arrived meanwhile is still read in the second one.
        for _ in range(2):
            if not asking.done():
                await asyncio.wait((asking,), timeout=max(1, timeout_ms) / 2 / MS_PER_S)
        if not asking.done():
            raise TimeoutError
        answer = asking.result()
    except (ConnectionBroken, TimeoutError) as error:
        dropped = not connection.open
        connection.close()
        silent = isinstance(error, TimeoutError)
        message = f"the upstream does not say who it is: {error}"
        raise ConnectFailed(message, silent=silent, dropped=dropped) from error
    except BaseException:
        connection.close()
        raise
    finally:
        asking.cancel()
    connection.finish()
    return answer
