"""HTTP server for callers, shared by the router and the forwarder: connections, bodies, errors."""

from __future__ import annotations

from gypsumrouter.callers.body import (
    MemoryBudget,
    MemoryReservation,
    async_read_body,
    count_head_bytes,
)
from gypsumrouter.callers.closing import ConnectionDrain
from gypsumrouter.callers.connection import CallerConnection, ConnectionState
from gypsumrouter.callers.const import (
    CONTENT_TYPE_JSON,
    DEFAULT_RETRY_AFTER_MS,
    ERROR_TYPE,
    EVENT_END,
    KEEPALIVE_TIMEOUT_MS,
    MAX_HEADERS,
    WRITE_BUFFER_BYTES,
)
from gypsumrouter.callers.errors import (
    Rejection,
    get_status,
    make_error_response,
    reject,
    reject_field,
    reject_head_size,
    render_error,
    render_error_event,
    round_up_seconds,
)
from gypsumrouter.callers.listener import CallerListener, CallerServer, Handler
from gypsumrouter.callers.models import BrokenAnswer, ConnectionLimits, RequestIdGenerator
from gypsumrouter.callers.transports import abort_connection

__all__ = [
    "CONTENT_TYPE_JSON",
    "DEFAULT_RETRY_AFTER_MS",
    "ERROR_TYPE",
    "EVENT_END",
    "KEEPALIVE_TIMEOUT_MS",
    "MAX_HEADERS",
    "WRITE_BUFFER_BYTES",
    "BrokenAnswer",
    "CallerConnection",
    "CallerListener",
    "CallerServer",
    "ConnectionDrain",
    "ConnectionLimits",
    "ConnectionState",
    "Handler",
    "MemoryBudget",
    "MemoryReservation",
    "Rejection",
    "RequestIdGenerator",
    "abort_connection",
    "async_read_body",
    "count_head_bytes",
    "get_status",
    "make_error_response",
    "reject",
    "reject_field",
    "reject_head_size",
    "render_error",
    "render_error_event",
    "round_up_seconds",
]
