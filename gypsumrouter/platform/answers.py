"""Decoding of upstream responses, and the dialect object that the forwarder uses."""

from __future__ import annotations

from typing import Final

from gypsumrouter.const import MS_PER_S
from gypsumrouter.forwarding.models import (
    AttemptOptions,
    CallerRequest,
    HeaderReader,
    ResponseMetadata,
    read_load_report,
)
from gypsumrouter.helpers.http_headers import (
    HEADER_KEEP_ALIVE,
    HOP_BY_HOP,
    find_keep_alive_timeout,
    read_keep_alive_ms,
    read_retry_after_ms,
)
from gypsumrouter.helpers.http_response import HttpResponse
from gypsumrouter.platform import names
from gypsumrouter.platform.requests import write_request

CONTENT_TYPE_EVENTS: Final = "text/event-stream"
# An empty encoding states none.
PLAIN_ENCODINGS: Final = frozenset({"", "identity"})
DROPPED_HEADERS: Final = HOP_BY_HOP | {"content-length"}


class PlatformDialect:
    """The platform's encoding of requests and responses."""

    __slots__ = ()

    def write_request(self, *, request: CallerRequest, options: AttemptOptions) -> bytes:
        """Encode a request for an upstream."""
        return write_request(request=request, options=options)

    def make_health_check(self, upstream: str, *, deadline_ms: int) -> dict[str, str]:
        """Return the headers of a health check that only the upstream with this id answers."""
        return {names.EXPECT_INSTANCE: upstream, names.DEADLINE: str(deadline_ms)}

    def read_response_head(self, answer: HttpResponse) -> ResponseMetadata:
        """Return the facts that a response's status and headers state."""
        encoding = (answer.get("Content-Encoding") or "").strip().lower()
        media_type = (answer.get("Content-Type") or "").lower()
        reader = HeaderReader(answer.message.headers)
        keep_alive = find_keep_alive_timeout(answer.get(HEADER_KEEP_ALIVE))
        retry_after = answer.get(names.RETRY_AFTER)
        retry_after_ms = reader.read(names.RETRY_AFTER, retry_after, read_retry_after_ms)
        return ResponseMetadata(
            request_id=answer.get(names.REQUEST_ID),
            instance=answer.get(names.INSTANCE),
            signed=answer.get(names.STAMP) is not None,
            not_run=answer.get(names.NOT_RUN) is not None,
            retry_after_ms=(
                retry_after_ms or None if answer.status == names.STATUS_UNAVAILABLE else None
            ),
            draining=names.is_leaving(answer.get(names.SERVER_LEAVING)),
            content_encoded=encoding not in PLAIN_ENCODINGS,
            is_event_stream=media_type.startswith(CONTENT_TYPE_EVENTS),
            keep_alive_ms=reader.read(HEADER_KEEP_ALIVE, keep_alive, read_keep_alive_ms),
            reports_load=answer.get(names.LOAD) is not None,
            load=reader.read(names.LOAD, answer.get(names.LOAD), read_load_report),
            odd_headers=reader.odd,
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
