"""Decoding of upstream responses, and the dialect object that the forwarder uses."""

from __future__ import annotations

from math import ceil
from typing import Final

from gypsumrouter.const import MS_PER_S
from gypsumrouter.forwarding.models import AttemptOptions, CallerRequest, ResponseMetadata
from gypsumrouter.helpers.http_connection import HttpResponse
from gypsumrouter.platform import names
from gypsumrouter.platform.requests import write_request

CONTENT_TYPE_EVENTS: Final = "text/event-stream"
IDENTITY_ENCODING: Final = "identity"
# Longer values of Retry-After are taken for errors and ignored.
MAX_RETRY_AFTER_MS: Final = 24 * 3600 * MS_PER_S
DROPPED_HEADERS: Final = names.HOP_BY_HOP | {"content-length"}


class PlatformDialect:
    """The platform's encoding of requests and responses."""

    __slots__ = ()

    def write_request(self, *, request: CallerRequest, options: AttemptOptions) -> bytes:
        """Encode a request for an upstream."""
        return write_request(request=request, options=options)

    def read_response_head(self, answer: HttpResponse) -> ResponseMetadata:
        """Return the facts that a response's status and headers state."""
        encoding = answer.get("Content-Encoding")
        return ResponseMetadata(
            request_id=answer.get(names.REQUEST_ID),
            signed=answer.get(names.STAMP) is not None,
            not_run=answer.get(names.NOT_RUN) is not None,
            retry_after_ms=_read_retry_after_ms(answer),
            draining=names.is_leaving(answer.get(names.SERVER_LEAVING)),
            content_encoded=encoding is not None and encoding.lower() != IDENTITY_ENCODING,
            is_event_stream=(answer.get("Content-Type") or "").startswith(CONTENT_TYPE_EVENTS),
            keep_alive_ms=_read_keep_alive_ms(answer.get("Keep-Alive")),
        )

    def select_headers(self, answer: HttpResponse) -> list[tuple[str, str]]:
        """Return the response headers that are forwarded to the caller."""
        return [
            (name, value)
            for name, value in answer.message.headers.items()
            if name.lower() not in DROPPED_HEADERS
        ]

    def format_retry_after(self, retry_after_ms: int) -> str:
        """Format a delay in seconds; the platform's callers accept fractions."""
        return f"{retry_after_ms / MS_PER_S:.3f}"


def _read_retry_after_ms(answer: HttpResponse) -> int | None:
    """Return the delay that an upstream requests with a status 503; None without one."""
    if answer.status != names.STATUS_UNAVAILABLE:
        return None
    try:
        retry_after_ms = float(answer.get(names.RETRY_AFTER) or "") * MS_PER_S
    except ValueError:
        return None
    return ceil(retry_after_ms) if 0 < retry_after_ms < MAX_RETRY_AFTER_MS else None


def _read_keep_alive_ms(value: str | None) -> int | None:
    """Return the idle timeout that a Keep-Alive header announces."""
    if value is None:
        return None
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdigit():
            return int(seconds) * MS_PER_S
    return None
