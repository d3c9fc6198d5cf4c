"""Responses to callers: the upstream's response, or an error of the router."""

from __future__ import annotations

import random

from aiohttp import web

from gypsumrouter.callers import Rejection, make_error_response
from gypsumrouter.forwarding.const import (
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MIN_MS,
    RETRY_AFTER_RATIO,
)
from gypsumrouter.forwarding.models import CompleteResponse, Dialect
from gypsumrouter.helpers.http_headers import is_writable
from gypsumrouter.outcomes import Failed, Reason, Refused

HEADER_RETRY_AFTER = "Retry-After"


def make_upstream_response(*, outcome: CompleteResponse, dialect: Dialect) -> web.Response:
    """Return the response that passes an upstream's complete response to the caller."""
    response = web.Response(status=outcome.status, body=outcome.body)
    _set_headers(response, dialect.select_headers(outcome.answer))
    return response


def make_stream_response(*, status: int, headers: list[tuple[str, str]]) -> web.StreamResponse:
    """Return an unprepared response whose body is streamed."""
    response = web.StreamResponse(status=status)
    _set_headers(response, headers)
    return response


def make_refusal(
    *,
    reason: Reason,
    message: str,
    request_id: str,
    remaining_ms: int,
    dialect: Dialect,
    not_before_ms: int = 0,
    reserved_ms: int | None = None,
) -> tuple[web.Response, int]:
    """Return the response for a request that was not run, and its Retry-After in milliseconds.

    The delay is `reserved_ms`, at least 1 ms, if there is a return order. Otherwise it is
    randomized, so that callers don't retry all at once, and limited to a part of the time that the
    caller has left. A retry before `not_before_ms` would be refused again.
    """
    if reserved_ms is None:
        retry_after_ms = _choose_random_delay_ms(remaining_ms, not_before_ms)
    else:
        retry_after_ms = max(1, reserved_ms)
    failure = Refused(reason=reason, message=message, retry_after_ms=retry_after_ms)
    response = make_error_response(rejection=Rejection(failure=failure), request_id=request_id)
    response.headers[HEADER_RETRY_AFTER] = dialect.format_retry_after(retry_after_ms)
    return response, retry_after_ms


def make_rejection(*, reason: Reason, message: str, request_id: str) -> web.Response:
    """Return the response for a request that the configuration does not allow."""
    failure = Refused(reason=reason, message=message)
    return make_error_response(rejection=Rejection(failure=failure), request_id=request_id)


def make_failure(*, reason: Reason, message: str, request_id: str) -> web.Response:
    """Return the response for a request that may have run but got no valid response."""
    failure = Failed(reason=reason, message=message)
    return make_error_response(rejection=Rejection(failure=failure), request_id=request_id)


def _choose_random_delay_ms(remaining_ms: int, not_before_ms: int) -> int:
    longest = int(remaining_ms * RETRY_AFTER_RATIO)
    latest = max(1, min(not_before_ms + RETRY_AFTER_MAX_MS, longest))
    soonest = min(not_before_ms + RETRY_AFTER_MIN_MS, latest)
    return random.randint(soonest, latest)


def _set_headers(response: web.StreamResponse, headers: list[tuple[str, str]]) -> None:
    for name, value in headers:
        if not is_writable(value):
            continue
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
