"""State of one request at an upstream: hand-over, relay and check of the response."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp

from gypsumrouter.helpers.http_headers import is_framed
from gypsumrouter.helpers.http_response import is_valid_status
from gypsumrouter.link.models import Head, Open
from gypsumrouter.outcomes import Failed, Reason
from gypsumrouter.upstream.const import (
    CONTENT_TYPE_EVENTS,
    HTTP_NO_CONTENT,
    HTTP_NOT_MODIFIED,
    HTTP_OK,
    MAX_UNFRAMED_BYTES,
    RESUME_OVERLAP_BYTES,
    STREAM_END,
)
from gypsumrouter.upstream.headers import select_answer_headers
from gypsumrouter.upstream.models import ConnectionBroken, Sink
from gypsumrouter.upstream.watch import Watch
from gypsumrouter.util.body_formats import (
    is_complete_json,
    is_inside_event,
    is_json_media_type,
    shows_json_end,
)

_METHOD_HEAD = "HEAD"


class ProtocolViolation(Exception):
    """The response has no framing that shows whether it is complete."""


class Run:
    """The state of one request at an upstream.

    `offset` is the number of body bytes relayed, `sends` the number of connections on which the
    request was sent, `heads` the number of response heads received.
    """

    __slots__ = (
        "_handed_over",
        "_is_event_stream",
        "_needs_end_event",
        "_overlap",
        "_tail",
        "_unframed_json",
        "answer",
        "generation",
        "head_sent",
        "heads",
        "offset",
        "priority",
        "request",
        "sends",
        "stream_id",
        "was_handed_over",
        "watch",
    )

    def __init__(
        self,
        *,
        request: Open,
        answer: Sink,
        priority: int,
        handed_over: Callable[[], None],
        watch: Watch,
        generation: int,
        stream_id: str,
    ) -> None:
        self.request = request
        self.answer = answer
        self.priority = priority
        self.watch = watch
        self.generation = generation
        self.stream_id = stream_id
        self.was_handed_over = False
        self.head_sent = False
        self.heads = 0
        self.offset = 0
        self.sends = 0
        self._handed_over = handed_over
        self._is_event_stream = False
        self._needs_end_event = False
        self._tail = b""
        # What a resumed response has to begin with, before it goes on.
        self._overlap = b""
        # A JSON document without a length, kept to check at its end that it is complete.
        self._unframed_json: bytearray | None = None

    def hand_over(self) -> None:
        """Call the hand-over callback, once, before the first byte of the request is written."""
        if self.was_handed_over:
            return
        self._handed_over()
        self.was_handed_over = True

    def begin(self) -> None:
        """Expect a response from its first byte."""
        self._overlap = b""

    def begin_resumed(self) -> int:
        """Expect a response that is resumed; return the byte from which it is to be sent.

        It is asked for from before `offset`, so that it shows that it goes on there.
        """
        self._overlap = self._tail
        return self.offset - len(self._tail)

    async def async_relay(self, response: aiohttp.ClientResponse) -> None:
        """Relay the response to its end; raises ConnectionBroken or ProtocolViolation."""
        self._relay_head(response)
        watch = self.watch
        read = response.content.readany
        while True:
            watch.reading = True
            try:
                chunk = await read()
            except (aiohttp.ClientError, OSError) as error:
                raise ConnectionBroken(f"{type(error).__name__}: {error}") from error
            watch.reading = False
            watch.progress += 1
            if not chunk:
                self._check_overlap(b"")
                return
            if self._overlap:
                chunk = self._check_overlap(chunk)
                if not chunk:
                    continue
            self.offset += len(chunk)
            self._tail = (self._tail + chunk)[-RESUME_OVERLAP_BYTES:]
            self._collect_json(chunk)
            await self.answer.async_write(chunk)

    def _check_overlap(self, chunk: bytes) -> bytes:
        """Return what follows the bytes that were relayed before; raises ProtocolViolation."""
        size = min(len(chunk), len(self._overlap))
        ended = not chunk and bool(self._overlap)
        if ended or chunk[:size] != self._overlap[:size]:
            raise ProtocolViolation("the resumed answer does not go on where the first one ended")
        self._overlap = self._overlap[size:]
        return chunk[size:]

    def check_complete(self) -> Failed | None:
        """Return the failure of a response that ended incomplete, or None."""
        message = self._find_missing_end()
        if message is None:
            return None
        return Failed(reason=Reason.UPSTREAM_PROTOCOL, message=message)

    def _find_missing_end(self) -> str | None:
        if self._unframed_json is not None:
            document = bytes(self._unframed_json)
            if not is_complete_json(document):
                return "the answer ended inside its JSON document"
            if not shows_json_end(document):
                return "the answer's JSON document may be the beginning of a longer one"
        if self._is_event_stream and is_inside_event(self._tail):
            return "the stream ended inside an event"
        if self._needs_end_event and not self._tail.rstrip().endswith(STREAM_END):
            return "the stream ended without its last event"
        return None

    def _collect_json(self, chunk: bytes) -> None:
        if self._unframed_json is None:
            return
        self._unframed_json += chunk
        if len(self._unframed_json) > MAX_UNFRAMED_BYTES:
            raise ProtocolViolation("the answer has no length and is too long to be checked")

    def _relay_head(self, response: aiohttp.ClientResponse) -> None:
        if not is_valid_status(response.status):
            raise ProtocolViolation(f"the answer has the status {response.status}")
        self.heads += 1
        self.watch.progress += 1
        if self.head_sent:
            self._check_resumed(response)
            return
        self._is_event_stream = response.content_type == CONTENT_TYPE_EVENTS
        is_success = response.status == HTTP_OK
        self._needs_end_event = self._is_event_stream and is_success and self.request.stream
        if not self._needs_end_event and not self._is_framed(response):
            self._check_unframed(response)
        headers = select_answer_headers(response.headers.items())
        self.answer.head(Head(status=response.status, headers=headers))
        self.head_sent = True

    def _check_resumed(self, response: aiohttp.ClientResponse) -> None:
        """Check that the end of a resumed response shows too, which may be framed otherwise."""
        shows_end = self._needs_end_event or self._unframed_json is not None
        if not shows_end and not self._is_framed(response):
            raise ProtocolViolation("the resumed answer has neither a length nor chunks")

    def _check_unframed(self, response: aiohttp.ClientResponse) -> None:
        """Accept a response without a length if its format shows where it ends."""
        if not is_json_media_type(response.content_type):
            raise ProtocolViolation("the answer has neither a length nor chunks")
        self._unframed_json = bytearray()

    def _is_framed(self, response: aiohttp.ClientResponse) -> bool:
        if self.request.method == _METHOD_HEAD:
            return True
        if response.status in (HTTP_NO_CONTENT, HTTP_NOT_MODIFIED):
            return True
        return is_framed(response.headers)
