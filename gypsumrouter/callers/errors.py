"""Error responses for callers: status, headers and body for each kind of failure."""

from __future__ import annotations

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

from aiohttp import http_exceptions, web
from msgspec import Struct

from gypsumrouter.callers.const import CONTENT_TYPE_JSON, ERROR_TYPE, EVENT_END
from gypsumrouter.const import HEADER_EXECUTED, HEADER_REQUEST_ID, MS_PER_S
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused, get_executed

STATUS_REFUSED: Final[Mapping[Reason, int]] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.NOT_FOUND: 404,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_INVALID: 400,
    Reason.KEY_REUSED: 422,
    Reason.KEY_EXPIRED: 409,
    Reason.REFUSED_BY_RULE: 403,
    Reason.WORKSPACE_LIMIT: 429,
    Reason.SUSPECT: 422,
    Reason.DEADLINE: 504,
}
STATUS_FAILED: Final[Mapping[Reason, int]] = {
    Reason.DEADLINE: 504,
    Reason.UPSTREAM_TIMEOUT: 504,
}
STATUS_HEAD_TOO_LARGE: Final = 431
DEFAULT_STATUS_REFUSED: Final = 503
DEFAULT_STATUS_FAILED: Final = 502

DEFAULT_MESSAGES: Final[Mapping[Reason, str]] = {
    Reason.UNAUTHENTICATED: "Send a valid key as `Authorization: Bearer <key>`",
    Reason.WORKSPACE_LIMIT: "A limit of the workspace is reached",
    Reason.OVER_CAP: "Every instance that could take the request is at its load limit",
    Reason.QUEUE_FULL: "Too many requests are waiting",
    Reason.TARGET_UNATTAINABLE: "The request could not be answered in time",
    Reason.LEAVING: "The instance is stopping",
    Reason.NO_INSTANCE: "No instance can take the request now",
    Reason.NOT_READY: "The instance is not ready yet",
    Reason.UNREACHABLE: "No instance could be reached",
    Reason.SUSPECT: "Requests with this content have crashed their upstreams",
    Reason.DEADLINE: "The deadline has passed",
}
NOT_RUN_TEXT: Final = "the request was not run"
UNKNOWN_TEXT: Final = "the request may have run"


class Rejection(Struct, frozen=True, kw_only=True):
    """A failure to be sent to the caller; `param` names the invalid field or header.

    `status` overrides the status of the reason, for reasons that have more than one.
    """

    failure: Failure
    param: str | None = None
    status: int | None = None


def reject_field(param: str, message: str, *, status: int | None = None) -> Rejection:
    """Return the rejection of a request whose field or header `param` is invalid."""
    failure = Refused(reason=Reason.BAD_REQUEST, message=message)
    return Rejection(failure=failure, param=param, status=status)


def reject(
    reason: Reason,
    message: str = "",
    *,
    param: str | None = None,
    retry_after_ms: int | None = None,
) -> Rejection:
    """Return the rejection of a request that has not been sent to any instance."""
    failure = Refused(reason=reason, message=message, retry_after_ms=retry_after_ms)
    return Rejection(failure=failure, param=param)


def reject_head_size() -> Rejection:
    """Return the rejection of a request whose head is too large."""
    failure = Refused(reason=Reason.TOO_LARGE, message="The head of the request is too large")
    return Rejection(failure=failure, param="head", status=STATUS_HEAD_TOO_LARGE)


def reject_http(status: int, exc: BaseException | None) -> Rejection:
    """Return the rejection of invalid HTTP, or of a request whose handler raised."""
    if status >= 500:
        failure = Failed(reason=Reason.STOPPED, message="The router failed on this request")
        return Rejection(failure=failure, status=status)
    if isinstance(exc, http_exceptions.LineTooLong):
        return reject_head_size()
    return reject_field("head", "The request is not valid HTTP", status=status)


def get_status(failure: Failure) -> int:
    """Return the HTTP status of a failure."""
    match failure:
        case Refused(reason=reason):
            return STATUS_REFUSED.get(reason, DEFAULT_STATUS_REFUSED)
        case Failed(reason=reason):
            # A refusal reported as a failure, because the request may have run, keeps its status.
            return STATUS_FAILED.get(reason, STATUS_REFUSED.get(reason, DEFAULT_STATUS_FAILED))


def render_error(*, rejection: Rejection, request_id: str) -> bytes:
    """Return the JSON body of an error, in the format of the chat-completions API."""
    failure = rejection.failure
    error = {
        "message": _format_message(failure),
        "type": ERROR_TYPE,
        "code": failure.reason.value,
        "param": rejection.param,
        "executed": get_executed(failure).value,
        "request_id": request_id,
        "retry_after_ms": failure.retry_after_ms,
    }
    return json.dumps({"error": error}).encode()


def render_error_event(*, failure: Failure, request_id: str) -> bytes:
    """Return the server-sent event that reports an error in the middle of a stream."""
    body = render_error(rejection=Rejection(failure=failure), request_id=request_id)
    return b"data: " + body + EVENT_END


def make_error_response(*, rejection: Rejection, request_id: str) -> web.Response:
    """Return the HTTP response for an error."""
    failure = rejection.failure
    headers = {
        HEADER_REQUEST_ID: request_id,
        HEADER_EXECUTED: get_executed(failure).value,
    }
    if failure.retry_after_ms is not None:
        headers["Retry-After"] = str(round_up_seconds(failure.retry_after_ms))
    if failure.reason is Reason.UNAUTHENTICATED:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        status=rejection.status or get_status(failure),
        headers=headers,
        body=render_error(rejection=rejection, request_id=request_id),
        content_type=CONTENT_TYPE_JSON,
    )


def render_stopping(*, request_id: str) -> bytes:
    """Return the whole HTTP response to a request of which only a part of the head has arrived."""
    body = render_error(rejection=reject(Reason.LEAVING), request_id=request_id)
    head = (
        f"HTTP/1.1 {HTTPStatus.SERVICE_UNAVAILABLE.value} Service Unavailable",
        f"Content-Type: {CONTENT_TYPE_JSON}",
        f"Content-Length: {len(body)}",
        "Retry-After: 1",
        "Connection: close",
    )
    return "\r\n".join((*head, "", "")).encode() + body


def round_up_seconds(milliseconds: int) -> int:
    """Convert milliseconds to whole seconds, rounded up; the minimum is 1."""
    return max(1, -(-milliseconds // MS_PER_S))


def _format_message(failure: Failure) -> str:
    text = failure.message or DEFAULT_MESSAGES.get(
        failure.reason, failure.reason.value.replace("_", " ")
    )
    match failure:
        case Refused():
            return f"{text} ({NOT_RUN_TEXT})"
        case Failed():
            return f"{text} ({UNKNOWN_TEXT})"
