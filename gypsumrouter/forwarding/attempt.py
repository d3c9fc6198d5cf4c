"""One attempt to send a request to one upstream and read its response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.connections import ConnectionPool, StartCheck
from gypsumrouter.forwarding.const import MAX_BUFFERED_BYTES
from gypsumrouter.forwarding.deadlines import get_handed_ms, get_stop_ms
from gypsumrouter.forwarding.ends.evidence import EndChecks
from gypsumrouter.forwarding.ends.starts import StartProof
from gypsumrouter.forwarding.ends.verdicts import EndVerdict
from gypsumrouter.forwarding.ends.watches import EndWatch
from gypsumrouter.forwarding.models import (
    AttemptOptions,
    CallerRequest,
    CompleteResponse,
    Dialect,
    Outcome,
    Rejected,
    ResponseLost,
    ResponseMetadata,
    StreamingResponse,
    Unreachable,
)
from gypsumrouter.forwarding.placed import Placement
from gypsumrouter.helpers.http_connection import (
    ConnectFailed,
    HttpConnection,
    StartSource,
)
from gypsumrouter.helpers.http_response import (
    ConnectionBroken,
    Framing,
    HttpResponse,
    async_discard_body,
)
from gypsumrouter.routing import RouteMatch
from gypsumrouter.util.body_formats import is_complete_json, is_json_media_type, shows_json_end

STATUS_OK: Final = 200
STATUS_MULTIPLE: Final = 300
STATUS_MISDIRECTED: Final = 421
# Callers take these statuses as a guarantee that the request did not run. They are passed on only
# if the upstream states this explicitly.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})

# A body of another framing has a length, or none at all.
UNSTATED_ENDS: Final = frozenset({Framing.CHUNKED, Framing.CLOSE})

HeadListener = Callable[[Entry, ResponseMetadata], None]
# Gets when an answer ended (monotonic milliseconds), and what tells whether its upstream survived
# that, None if that isn't known.
EndListener = Callable[[int, Callable[[], Awaitable[bool | None]]], None]


class EndedAtDeadline(Exception):
    """An answer ended in order when its upstream had to stop, so it may be cut short."""


class Attempt:
    """An attempt at one upstream; it must be closed in all cases.

    Once `sent` is true, the upstream may run the request. `reused` is true if the connection
    carried an earlier exchange. `may_have_crashed` is false if the answer has broken off and
    nothing shows that the process has ended, or it was known to leave. `on_head` is called with
    the metadata of each response, `on_unframed_end` where an answer without a length or chunks has
    ended and may have been broken off by a crash. If another run can take over, an end that is not
    confirmed within `end_patience_ms` counts as broken off. A reset behind such an end is waited
    for up to `reset_wait_ms`, and for half of the time that is left.
    """

    __slots__ = (
        "_buffer_limit",
        "_connection",
        "_dialect",
        "_doubted",
        "_end_ms",
        "_end_patience_ms",
        "_end_watch",
        "_ended_ms",
        "_ends",
        "_on_head",
        "_on_unframed_end",
        "_pool",
        "_request",
        "_reset_wait_ms",
        "_sent_ms",
        "_unframed",
        "entry",
        "may_have_crashed",
        "metadata",
        "options",
        "reused",
        "sent",
    )

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        ends: EndChecks,
        dialect: Dialect,
        request: CallerRequest,
        options: AttemptOptions,
        entry: Entry,
        on_head: HeadListener,
        on_unframed_end: EndListener,
        buffer_limit: int = MAX_BUFFERED_BYTES,
        end_patience_ms: int | None = None,
        reset_wait_ms: int = 0,
    ) -> None:
        self._buffer_limit = buffer_limit
        self._end_patience_ms = end_patience_ms
        self._reset_wait_ms = reset_wait_ms
        self._pool = pool
        self._ends = ends
        self._dialect = dialect
        self._request = request
        self._on_head = on_head
        self._on_unframed_end = on_unframed_end
        self._connection: HttpConnection | None = None
        # The check of a streamed answer without a length or chunks, until it was asked for.
        self._end_watch: EndWatch | None = None
        self._unframed: HttpResponse | None = None
        # The check of an end that had no verdict within the patience.
        self._doubted: EndWatch | None = None
        self._ended_ms = 0
        self._sent_ms = 0
        # When the end of the answer was received, 0 before.
        self._end_ms = 0
        self.options = options
        self.entry = entry
        self.metadata: ResponseMetadata | None = None
        self.reused = False
        self.sent = False
        self.may_have_crashed = True

    async def async_connect(
        self, *, repeatable: bool, start_check: StartCheck = StartCheck.NEVER
    ) -> Unreachable | None:
        """Acquire a connection without sending the request."""
        try:
            pooled = await self._pool.async_acquire(
                self.entry,
                repeatable=repeatable,
                timeout_ms=self.options.deadline_ms,
                start_check=start_check,
            )
        except ConnectFailed as error:
            return Unreachable(reason=str(error), refused=error.refused, silent=error.silent)
        self._connection = pooled.connection
        self.reused = pooled.reused
        return None

    @property
    def start_source(self) -> StartSource:
        """Return how it is known which start of the upstream the connection leads to."""
        return StartSource.UNKNOWN if self._connection is None else self._connection.start_source

    @property
    def shows_life(self) -> bool:
        """Return whether a part of the answer that is taken now shows that the upstream lives.

        The kernel of a process that has ended goes on to send what waits for a slow caller.
        """
        return self._connection is None or not self._connection.was_paused

    @property
    def answer_ms(self) -> int:
        """Return how long after the request was sent the end of its answer came, -1 before."""
        return self._end_ms - self._sent_ms if self._end_ms else -1

    def _note_body_end(self) -> None:
        self._end_ms = self._pool.now_ms()

    def read_ended_ms(self) -> int:
        """Return when its upstream ended the connection (monotonic milliseconds), 0 before."""
        if self._connection is not None:
            self._ended_ms = self._connection.ended_ms
        return self._ended_ms

    def prove_start(self) -> StartProof | None:
        """Return the proof of the start that the connection leads to, None without one."""
        if self._connection is None:
            return None
        return self._pool.prove_start(self.entry, self._connection)

    async def async_send(self) -> Outcome:
        """Send the request and read the response head, and the body unless it is streamed."""
        connection = self._connection
        if connection is None:
            return Unreachable(reason="there is no connection")
        payload = self._dialect.write_request(request=self._request, options=self.options)
        # Before the first byte: the upstream counts its time from when it has the request.
        self._sent_ms = self._pool.now_ms()
        try:
            connection.send_request(method=self._request.method, data=payload)
        except ConnectionBroken as error:
            return Unreachable(reason=str(error))
        self.sent = True
        try:
            return await self._async_read(connection)
        except ConnectionBroken as error:
            return ResponseLost(reason=str(error), connection_broken=self.may_have_crashed)

    def _check_deadline(self, answer: HttpResponse) -> None:
        """Raise EndedAtDeadline if an answer ended when its upstream had to stop."""
        if answer.framing not in UNSTATED_ENDS or self._connection is None:
            return
        if answer.framing is Framing.CLOSE:
            self._end_ms = self._connection.ended_ms or self._pool.now_ms()
        if self.answer_ms >= get_stop_ms(self.options.deadline_ms):
            raise EndedAtDeadline

    async def _async_find_missing_end(self, answer: HttpResponse) -> str | None:
        """Return why an answer whose body has ended is incomplete, None if it is complete.

        Raises EndedAtDeadline.
        """
        self._check_deadline(answer)
        connection = self._connection
        if answer.framing is not Framing.CLOSE or connection is None:
            return None
        watch, self._end_watch = self._end_watch, None
        watch = watch or self._ends.watch(self.entry, connection)
        # The runs that a crash implicates are known only now: the check may take seconds.
        self._on_unframed_end(
            connection.ended_ms or self._pool.now_ms(), partial(self._async_survived, watch)
        )
        left_ms = max(0, self.options.deadline_ms - self.answer_ms)
        verdict = await self._ends.async_check(
            watch,
            request_id=self._request.request_id,
            patience_ms=self._end_patience_ms,
            reset_wait_ms=min(self._reset_wait_ms, left_ms // 2),
        )
        self._doubted = watch if verdict is EndVerdict.DOUBTED else None
        leaving = self._has_announced_end() or self._ends.is_leaving(self.entry)
        self.may_have_crashed = verdict.shows_death and not leaving
        return None if verdict.complete else f"ended with its upstream: {verdict.value}"

    async def _async_survived(self, watch: EndWatch) -> bool | None:
        return True if self._has_announced_end() else await self._ends.async_survived(watch)

    def _has_announced_end(self) -> bool:
        return self.metadata is not None and self.metadata.draining

    def make_doubt_question(self) -> Callable[[], Awaitable[bool]] | None:
        """Return what tells whether a doubted answer was complete, None if it wasn't doubted."""
        if self._doubted is None:
            return None
        return partial(
            self._ends.async_settle_doubt, self._doubted, request_id=self._request.request_id
        )

    def make_cut_question(self) -> Callable[[], Awaitable[bool | None]] | None:
        """Return what tells whether the upstream outlived a stream that has broken off.

        None if the break needs no question: the connection was reset, the body has a length or
        chunks, or its end was checked already.
        """
        watch, answer = self._end_watch, self._unframed
        if watch is None or answer is None:
            return None
        if not answer.body.is_eof() or answer.body.exception() is not None:
            return None
        return partial(self._ends.async_outlived, watch, request_id=self._request.request_id)

    def release(self) -> None:
        """Return the connection to the pool after a complete response."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self.metadata is not None:
            connection.keep_alive_ms = self.metadata.keep_alive_ms
        self._pool.release(self.entry, connection)

    def close(self) -> None:
        """Close the connection unless it was released, which cancels the request upstream."""
        self.read_ended_ms()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    async def _async_read(self, connection: HttpConnection) -> Outcome:
        answer = await self._async_read_matching(connection)
        metadata = self.metadata = self._dialect.read_response_head(answer)
        if metadata.not_run or answer.status == STATUS_MISDIRECTED:
            if await async_discard_body(answer):
                self._release_or_close(answer)
            else:
                self.close()
            return Rejected(
                status=answer.status, wrong_upstream=answer.status == STATUS_MISDIRECTED
            )
        if metadata.content_encoded:
            return ResponseLost(reason="the response body is content-encoded")
        succeeded = STATUS_OK <= answer.status < STATUS_MULTIPLE
        if succeeded and not metadata.signed:
            return ResponseLost(reason="the response is not signed")
        if answer.framing is Framing.CLOSE and not is_json_media_type(
            answer.get("Content-Type") or ""
        ):
            self._ends.ask_start(self.entry, connection)
            self._end_watch = self._ends.watch(
                self.entry,
                connection,
                has_begun=answer.body.total_bytes > 0,
                is_text=not metadata.is_event_stream,
            )
        if metadata.is_event_stream and succeeded:
            return self._make_streaming(answer, connection, is_event_stream=True)
        body, complete = await _async_read_buffered(answer, limit=self._buffer_limit)
        if answer.status in NOT_RUN_STATUSES:
            if complete:
                self._release_or_close(answer)
            return ResponseLost(
                reason=f"status {answer.status} without the header that the request was not run"
            )
        if not complete and not succeeded and not metadata.signed:
            raise ConnectionBroken(f"the body of status {answer.status} does not end")
        if not complete:
            return self._make_streaming(answer, connection, is_event_stream=False, received=body)
        if answer.framing in UNSTATED_ENDS:
            await self._async_check_body(answer, body)
        self._release_or_close(answer)
        return CompleteResponse(
            answer=answer, status=answer.status, signed=metadata.signed, body=body
        )

    def _make_streaming(
        self,
        answer: HttpResponse,
        connection: HttpConnection,
        *,
        is_event_stream: bool,
        received: bytes = b"",
    ) -> StreamingResponse:
        if answer.framing is Framing.CLOSE:
            self._end_watch = self._end_watch or self._ends.watch(self.entry, connection)
            self._unframed = answer
        return StreamingResponse(
            answer=answer,
            status=answer.status,
            is_event_stream=is_event_stream,
            initial_bytes=received,
            find_missing_end=partial(self._async_find_missing_end, answer),
            check_deadline=partial(self._check_deadline, answer),
        )

    async def _async_read_matching(self, connection: HttpConnection) -> HttpResponse:
        """Return the response to this request; responses to other requests are skipped."""
        while True:
            answer = await connection.async_read_response()
            metadata = self._dialect.read_response_head(answer)
            # A response to another request still describes this upstream's state. A misdirected
            # request was answered by another upstream at the same address.
            if answer.status != STATUS_MISDIRECTED:
                self._on_head(self.entry, metadata)
            request_id = metadata.request_id
            if request_id == self._request.request_id:
                self._pool.note_answered(self.entry, connection, sent_ms=self._sent_ms)
                answer.body.on_eof(self._note_body_end)
                return answer
            if request_id is None and not self.reused and connection.exchanges == 1:
                answer.body.on_eof(self._note_body_end)
                return answer
            if request_id is None:
                raise ConnectionBroken("response without a request id on a reused connection")
            if not await async_discard_body(answer):
                raise ConnectionBroken("the response to another request does not end")

    async def _async_check_body(self, answer: HttpResponse, body: bytes) -> None:
        """Raise ConnectionBroken or EndedAtDeadline unless a body without a length is complete."""
        if is_json_media_type(answer.get("Content-Type") or ""):
            is_complete = is_complete_json(body)
            if answer.framing is Framing.CLOSE and not is_complete:
                raise ConnectionBroken("the body ended inside its JSON document")
            if is_complete and shows_json_end(body):
                return
        missing = await self._async_find_missing_end(answer)
        if missing is not None:
            raise ConnectionBroken(missing)

    def _release_or_close(self, answer: HttpResponse) -> None:
        if answer.message.should_close:
            self.close()
        else:
            self.release()


def make_attempt_options(
    placement: Placement,
    *,
    request: CallerRequest,
    routed: RouteMatch,
    remaining_ms: int,
    last_event_id: str | None,
    prioritized: bool,
) -> AttemptOptions:
    """Return what is added to a request for an attempt at a placement.

    `last_event_id` is that of the last event that was relayed, None before the first one.
    """
    fetch_from = placement.fetch_from
    return AttemptOptions(
        upstream=placement.entry.upstream,
        workspace=routed.workspace,
        deadline_ms=get_handed_ms(remaining_ms),
        priority=routed.priority if prioritized and request.prompt is not None else None,
        last_event_id=last_event_id or request.last_event_id,
        fetch_from=None if fetch_from is None else fetch_from.address,
    )


async def _async_read_buffered(answer: HttpResponse, *, limit: int) -> tuple[bytes, bool]:
    """Read a body up to `limit` bytes; return the bytes and whether it is complete."""
    parts: list[bytes] = []
    size = 0
    while part := await answer.body.readany():
        parts.append(part)
        size += len(part)
        if size > limit:
            return b"".join(parts), False
    return b"".join(parts), True
