"""What callers get: an upstream's answer unchanged, or an error of our own."""

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
from gypsumrouter.outcomes import Failed, Reason, Refused

HEADER_RETRY_AFTER = "Retry-After"


def make_upstream_response(*, outcome: CompleteResponse, dialect: Dialect) -> web.Response:
    """Return an upstream's whole answer for its caller."""
    response = web.Response(status=outcome.status, body=outcome.body)
    _set_headers(response, dialect.select_headers(outcome.answer))
    return response


def make_stream_response(*, status: int, headers: list[tuple[str, str]]) -> web.StreamResponse:
    """Return the beginning of an answer that is passed on as it comes."""
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
) -> tuple[web.Response, int]:
    """Return the answer for a request that never ran, and when its caller may come back.

    Callers wait for at most a third of the time that they have left, and come back spread over a
    span, so that they do not all meet the same moment again; before `not_before_ms` they would be
    refused again.
    """
    longest = int(remaining_ms * RETRY_AFTER_RATIO)
    latest = max(1, min(not_before_ms + RETRY_AFTER_MAX_MS, longest))
    soonest = min(not_before_ms + RETRY_AFTER_MIN_MS, latest)
    retry_after_ms = random.randint(soonest, latest)
    failure = Refused(reason=reason, message=message, retry_after_ms=retry_after_ms)
    response = make_error_response(rejection=Rejection(failure=failure), request_id=request_id)
    response.headers[HEADER_RETRY_AFTER] = dialect.format_retry_after(retry_after_ms)
    return response, retry_after_ms


def make_rejection(*, reason: Reason, message: str, request_id: str) -> web.Response:
    """Return the answer for a request that the configuration does not allow."""
    failure = Refused(reason=reason, message=message)
    return make_error_response(rejection=Rejection(failure=failure), request_id=request_id)


def make_failure(*, reason: Reason, message: str, request_id: str) -> web.Response:
    """Return the answer for a request that may have run and brought none."""
    failure = Failed(reason=reason, message=message)
    return make_error_response(rejection=Rejection(failure=failure), request_id=request_id)


def _set_headers(response: web.StreamResponse, headers: list[tuple[str, str]]) -> None:
    for name, value in headers:
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
