"""What the stand-in of a runner receives, and how it fails."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct
from multidict import CIMultiDict


class RunnerFault(StrEnum):
    """How a runner fails a request.

    SHED rejects it as not run; UNMARKED_REJECTION responds 503 without marking it as not run.
    NO_STAMP omits the stamp header, and ENCODED adds a content encoding. FOREIGN_RESPONSE_FIRST
    sends the response of another request first. RESET_STREAM resets the connection in the middle
    of an event. END_INSIDE_EVENT and END_WITHOUT_EVENT end a stream regularly, but in the middle of
    an event or before the first one; STALL_STREAM sends nothing after the second event. CUT_JSON
    ends a JSON document before its last byte. BREAK_BODY resets the connection in the middle of a
    plain body, and PLAIN sends one in place of a stream. CUT_HEAD closes inside the head.
    """

    NONE = "none"
    SHED = "shed"
    ERROR = "error"
    RESET = "reset"
    HANG = "hang"
    NO_STAMP = "unsigned"
    ENCODED = "encoded"
    UNMARKED_REJECTION = "false_promise"
    FOREIGN_RESPONSE_FIRST = "stranger_first"
    RESET_STREAM = "break_stream"
    END_INSIDE_EVENT = "end_inside_event"
    END_WITHOUT_EVENT = "end_without_event"
    STALL_STREAM = "stall_stream"
    CUT_JSON = "cut_json"
    BREAK_BODY = "break_body"
    PLAIN = "plain"
    CUT_HEAD = "cut_head"


class Arrival(Struct, kw_only=True):
    """A received request, its time of arrival and the end of its run (monotonic seconds).

    `ended_s` is 0 while it runs.
    """

    request_id: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    at_s: float = 0.0
    ended_s: float = 0.0
    ran: bool = False
    cancelled: bool = False


class BackOff(Struct, frozen=True, kw_only=True):
    """The back-off that a runner asked of the sender of a request (monotonic seconds)."""

    request_id: str
    begins_s: float
    ends_s: float
