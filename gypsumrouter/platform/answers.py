"""Decoding of upstream responses, and the dialect object that the forwarder uses."""

from __future__ import annotations

import re
from typing import Final

from gypsumrouter.const import MS_PER_S
from gypsumrouter.forwarding.models import (
    AttemptOptions,
    CallerRequest,
    LoadReport,
    ResponseMetadata,
    make_load_report,
)
from gypsumrouter.helpers.http_headers import HOP_BY_HOP, read_keep_alive_ms, read_retry_after_ms
from gypsumrouter.helpers.http_response import HttpResponse
from gypsumrouter.platform import names
from gypsumrouter.platform.requests import write_request

CONTENT_TYPE_EVENTS: Final = "text/event-stream"
IDENTITY_ENCODING: Final = "identity"
# Three counts of up to a million, and the pace in percent; more digits are taken for errors.
LOAD_PATTERN: Final = re.compile(r"(\s*[0-9]{1,6}\s*,){2}\s*[0-9]{1,6}\s*(,\s*[0-9]{1,5}\s*)?")
DROPPED_HEADERS: Final = HOP_BY_HOP | {"content-length"}


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
            retry_after_ms=(
                read_retry_after_ms(answer.get(names.RETRY_AFTER))
                if answer.status == names.STATUS_UNAVAILABLE
                else None
            ),
            draining=names.is_leaving(answer.get(names.SERVER_LEAVING)),
            content_encoded=encoding is not None and encoding.lower() != IDENTITY_ENCODING,
            is_event_stream=(answer.get("Content-Type") or "").startswith(CONTENT_TYPE_EVENTS),
            keep_alive_ms=read_keep_alive_ms(answer.get("Keep-Alive")),
            reports_load=answer.get(names.LOAD) is not None,
            load=read_load_report(answer.get(names.LOAD)),
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


def read_load_report(value: str | None) -> LoadReport | None:
    """Return the load that a header reports; None if it is missing or malformed."""
    if value is None or LOAD_PATTERN.fullmatch(value) is None:
        return None
    return make_load_report(*(int(figure) for figure in value.split(",")))
