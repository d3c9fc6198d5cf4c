"""Answers of upstreams, and the port that the forwarder speaks through."""

from __future__ import annotations

from math import ceil
from typing import Final

from gypsumrouter.const import MS_PER_S
from gypsumrouter.forwarding.models import AnswerFacts, CallerRequest, Sending
from gypsumrouter.helpers.http_connection import HttpResponse
from gypsumrouter.platform import names
from gypsumrouter.platform.requests import write_request

CONTENT_TYPE_EVENTS: Final = "text/event-stream"
IDENTITY: Final = "identity"
# More than a day is no time to come back but a mistake.
MAX_REST_MS: Final = 24 * 3600 * MS_PER_S
DROPPED: Final = names.HOP_BY_HOP | {"content-length"}


class PlatformDialect:
    """How callers and upstreams of the platform spell requests and answers."""

    __slots__ = ()

    def write_request(self, *, request: CallerRequest, sending: Sending) -> bytes:
        """Return the bytes of a request for an upstream."""
        return write_request(request=request, sending=sending)

    def read_answer(self, answer: HttpResponse) -> AnswerFacts:
        """Return what an answer's head says."""
        encoding = answer.get("Content-Encoding")
        return AnswerFacts(
            request_id=answer.get(names.REQUEST_ID),
            signed=answer.get(names.STAMP) is not None,
            not_run=answer.get(names.NOT_RUN) is not None,
            rest_ms=_read_rest_ms(answer),
            leaving=names.says_leaving(answer.get(names.SERVER_LEAVING)),
            encoded=encoding is not None and encoding.lower() != IDENTITY,
            events=(answer.get("Content-Type") or "").startswith(CONTENT_TYPE_EVENTS),
            keep_ms=_read_keep_ms(answer.get("Keep-Alive")),
        )

    def select_headers(self, answer: HttpResponse) -> list[tuple[str, str]]:
        """Return the headers of an answer that go on to the caller."""
        return [
            (name, value)
            for name, value in answer.message.headers.items()
            if name.lower() not in DROPPED
        ]

    def format_retry_after(self, retry_after_ms: int) -> str:
        """Return seconds; callers of the platform also read fractions of one."""
        return f"{retry_after_ms / MS_PER_S:.3f}"


def _read_rest_ms(answer: HttpResponse) -> int | None:
    """Return for how long an upstream that turned a request away wants nothing."""
    if answer.status != names.STATUS_UNAVAILABLE:
        return None
    try:
        rest_ms = float(answer.get(names.RETRY_AFTER) or "") * MS_PER_S
    except ValueError:
        return None
    return ceil(rest_ms) if 0 < rest_ms < MAX_REST_MS else None


def _read_keep_ms(value: str | None) -> int | None:
    """Return how long the upstream keeps an idle connection."""
    if value is None:
        return None
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdigit():
            return int(seconds) * MS_PER_S
    return None
