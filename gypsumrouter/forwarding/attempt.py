"""One attempt: a request written to one upstream, and the head of its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from gypsumrouter.const import MS_PER_S
from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.connections import UpstreamConnections
from gypsumrouter.forwarding.const import MAX_HELD_BYTES
from gypsumrouter.forwarding.models import (
    AnswerFacts,
    Begun,
    CallerRequest,
    Dialect,
    Lost,
    NotReached,
    Outcome,
    Sending,
    TurnedAway,
    Whole,
)
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    ConnectionBroken,
    HttpConnection,
    HttpResponse,
)

STATUS_OK: Final = 200
STATUS_MULTIPLE: Final = 300
STATUS_MISDIRECTED: Final = 421
# These say "not run" to a caller, which only an upstream that says so itself may let it hear.
PROMISES: Final = frozenset({408, 421, 429, 503})

TakeWords = Callable[[Entry, AnswerFacts], None]


class Attempt:
    """One request at one upstream; close it in any case.

    Once `sent` is true the upstream may run it. `take_words` gets the head of each answer, for what
    the upstream says of itself there.
    """

    __slots__ = (
        "_connection",
        "_connections",
        "_dialect",
        "_request",
        "_take_words",
        "entry",
        "facts",
        "kept",
        "sending",
        "sent",
    )

    def __init__(
        self,
        *,
        connections: UpstreamConnections,
        dialect: Dialect,
        request: CallerRequest,
        sending: Sending,
        entry: Entry,
        take_words: TakeWords,
    ) -> None:
        self._connections = connections
        self._dialect = dialect
        self._request = request
        self._take_words = take_words
        self._connection: HttpConnection | None = None
        self.sending = sending
        self.entry = entry
        self.facts: AnswerFacts | None = None
        self.kept = False
        self.sent = False

    async def async_connect(self, *, repeatable: bool) -> NotReached | None:
        """Get a connection; nothing is sent yet."""
        try:
            leased = await self._connections.async_lease(
                self.entry, repeatable=repeatable, timeout_ms=self.sending.deadline_ms
            )
        except ConnectFailed as error:
            return NotReached(reason=str(error), refused=error.refused)
        self._connection = leased.connection
        self.kept = leased.kept
        return None

    async def async_send(self, *, silence_ms: int | None) -> Outcome:
        """Write the request and read the head, and the body too unless it is a stream."""
        connection = self._connection
        if connection is None:
            return NotReached(reason="there is no connection")
        data = self._dialect.write_request(request=self._request, sending=self.sending)
        try:
            connection.send_request(method=self._request.method, data=data)
        except ConnectionBroken as error:
            return NotReached(reason=str(error))
        self.sent = True
        try:
            timeout_s = None if silence_ms is None else silence_ms / MS_PER_S
            async with asyncio.timeout(timeout_s):
                return await self._async_read(connection)
        except TimeoutError:
            return Lost(reason="silent")
        except ConnectionBroken as error:
            return Lost(reason=str(error), broken=True)

    def finish(self) -> None:
        """Give the connection back after a whole answer."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self.facts is not None:
            connection.keep_alive_ms = self.facts.keep_ms
        self._connections.give_back(self.entry, connection)

    def close(self) -> None:
        """Close the connection if it is still held, which makes the upstream stop."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    async def _async_read(self, connection: HttpConnection) -> Outcome:
        answer = await self._async_read_own(connection)
        facts = self.facts = self._dialect.read_answer(answer)
        if facts.not_run or answer.status == STATUS_MISDIRECTED:
            await answer.body.read()
            self._finish_unless_closing(answer)
            return TurnedAway(status=answer.status, stranger=answer.status == STATUS_MISDIRECTED)
        if facts.encoded:
            return Lost(reason="the body is encoded")
        succeeded = STATUS_OK <= answer.status < STATUS_MULTIPLE
        if succeeded and not facts.signed:
            return Lost(reason="the answer is not signed")
        if facts.events and succeeded:
            return Begun(answer=answer, status=answer.status, events=True)
        body, whole = await _async_read_held(answer)
        if not whole:
            return Begun(answer=answer, status=answer.status, events=False, first=body)
        self._finish_unless_closing(answer)
        if answer.status in PROMISES:
            return Lost(reason=f"status {answer.status} without the word that it was not run")
        return Whole(answer=answer, status=answer.status, signed=facts.signed, body=body)

    async def _async_read_own(self, connection: HttpConnection) -> HttpResponse:
        """Return the answer to this request; others that come first belong to nobody."""
        while True:
            answer = await connection.async_read_response()
            facts = self._dialect.read_answer(answer)
            # Whomever an answer is for, it is from this upstream, unless another one is there now.
            if answer.status != STATUS_MISDIRECTED:
                self._take_words(self.entry, facts)
            request_id = facts.request_id
            if request_id == self._request.request_id:
                return answer
            if request_id is None and not self.kept and connection.exchanges == 1:
                return answer
            if request_id is None:
                raise ConnectionBroken("an answer that names no request")
            await answer.body.read()

    def _finish_unless_closing(self, answer: HttpResponse) -> None:
        if answer.message.should_close:
            self.close()
        else:
            self.finish()


async def _async_read_held(answer: HttpResponse) -> tuple[bytes, bool]:
    """Return a body as far as it may be held back, and whether that is all of it."""
    parts: list[bytes] = []
    size = 0
    while part := await answer.body.readany():
        parts.append(part)
        size += len(part)
        if size > MAX_HELD_BYTES:
            return b"".join(parts), False
    return b"".join(parts), True
