"""Which process answers a health check that is meant for one upstream."""

from __future__ import annotations

import re
from enum import Enum, auto
from typing import Final, Protocol

from gypsumrouter.forwarding.models import Dialect
from gypsumrouter.helpers.http_connection import HttpConnection
from gypsumrouter.helpers.http_questions import async_ask
from gypsumrouter.helpers.http_response import MAX_REPORT_BYTES
from gypsumrouter.routing import DEFAULT_HEALTH_PATH

# What a request line can carry.
PATH: Final = re.compile(r"/[!-~]*")
STATUS_MISDIRECTED: Final = 421
# Any process may reject a request without an id before it reads for whom it is meant.
REFUSAL_STATUSES: Final = frozenset({408, 429, 503})
# How long a health check waits for a slot of its upstream.
DEADLINE_MS: Final = 200


class Responder(Enum):
    """Who has answered. UNKNOWN: the answer does not say it, as that of a proxy does not."""

    UPSTREAM = auto()
    OTHER = auto()
    UNKNOWN = auto()


class ReadResponder(Protocol):
    """Asks which process is at the other end of a connection."""

    async def __call__(self, connection: HttpConnection, *, path: str, upstream: str) -> Responder:
        """Return who answers a health check for `upstream`; raises ConnectionBroken."""
        ...


class HealthCheck:
    """A health check in the representation of a deployment."""

    __slots__ = ("_dialect",)

    def __init__(self, *, dialect: Dialect) -> None:
        self._dialect = dialect

    async def __call__(self, connection: HttpConnection, *, path: str, upstream: str) -> Responder:
        """Return who answers a health check for `upstream`; raises ConnectionBroken.

        A full upstream says so behind the deadline, which tells that, too: any other one answers
        that it is not meant.
        """
        answer, _ = await async_ask(
            connection,
            path if PATH.fullmatch(path) else DEFAULT_HEALTH_PATH,
            headers=self._dialect.make_health_check(upstream, deadline_ms=DEADLINE_MS),
            max_bytes=MAX_REPORT_BYTES,
        )
        metadata = self._dialect.read_response_head(answer)
        connection.keep_alive_ms = metadata.keep_alive_ms
        if answer.status == STATUS_MISDIRECTED:
            return Responder.OTHER
        if metadata.instance is not None:
            is_meant = metadata.instance.strip() == upstream
            return Responder.UPSTREAM if is_meant else Responder.OTHER
        is_refused = metadata.not_run and answer.status in REFUSAL_STATUSES
        return Responder.UPSTREAM if is_refused else Responder.UNKNOWN
