"""Selection of forwarded headers, and validation of requests before they are written as HTTP."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

from gypsumrouter.const import HEADER_CHAT, HEADER_REQUEST_ID
from gypsumrouter.helpers.http_headers import HOP_BY_HOP, list_connection_headers
from gypsumrouter.link.models import Headers, Open
from gypsumrouter.outcomes import Reason, Refused
from gypsumrouter.upstream.const import HEADER_PRIORITY

_OWN_IN_REQUESTS: Final = frozenset(
    {
        "host",
        "content-length",
        "expect",
        HEADER_REQUEST_ID.lower(),
        HEADER_PRIORITY.lower(),
        HEADER_CHAT.lower(),
    }
)
_OWN_IN_ANSWERS: Final = frozenset({HEADER_REQUEST_ID.lower()})
_CONNECTION: Final = "connection"

_METHOD: Final = re.compile(r"[A-Z]{1,16}")
_PATH: Final = re.compile(r"/[!-\"$-~]*")
_HEADER_NAME: Final = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE: Final = re.compile(r"[\t -~\x80-\U0010ffff]*")


def check_request(request: Open) -> Refused | None:
    """Return a refusal if a request can't be written as valid HTTP, or None."""
    if _METHOD.fullmatch(request.method) is None:
        return _refuse("the method is not valid")
    if _PATH.fullmatch(request.path) is None:
        return _refuse("the path is not valid")
    for name, value in request.headers:
        if _HEADER_NAME.fullmatch(name) is None or _HEADER_VALUE.fullmatch(value) is None:
            return _refuse("a header is not valid")
    if _HEADER_VALUE.fullmatch(request.request_id + request.idempotency_key) is None:
        return _refuse("the request id or the idempotency key is not valid")
    return None


def select_request_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the request headers that are forwarded to an upstream."""
    dropped = _list_hop_by_hop(headers) | _OWN_IN_REQUESTS
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def select_answer_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the response headers that are forwarded to the caller."""
    listed = tuple((str(name), str(value)) for name, value in headers)
    dropped = _list_hop_by_hop(listed) | _OWN_IN_ANSWERS
    return tuple((name, value) for name, value in listed if name.lower() not in dropped)


def _list_hop_by_hop(headers: Headers) -> frozenset[str]:
    named = (list_connection_headers(v) for name, v in headers if name.lower() == _CONNECTION)
    return HOP_BY_HOP.union(*named)


def _refuse(message: str) -> Refused:
    return Refused(reason=Reason.BAD_REQUEST, message=message)
