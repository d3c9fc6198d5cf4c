"""Limits of callers' connections, and what the server of a role gives to each connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct


class RequestIdGenerator(Protocol):
    """Generates an id for each request."""

    def __call__(self) -> str:
        """Return a new id."""


class BrokenAnswer(Struct, frozen=True, kw_only=True):
    """An answer that an exception of this process kept from being written.

    `status` is 0 if none of its `bytes_out` bytes, the head included, had been written.
    """

    request_id: str
    upstream: str
    reason: str
    status: int
    bytes_out: int


class ConnectionLimits(Struct, frozen=True, kw_only=True):
    """Limits of caller connections; those of an open connection change with the configuration.

    `max_bytes` limits each line of a request head. `first_byte_timeout_ms` limits the time from the
    opening to the first byte received. `head_timeout_ms` limits the time from the first to the last
    byte of a request head. `idle_timeout_ms` limits the time between the end of an answer and the
    next request.
    """

    max_bytes: int
    first_byte_timeout_ms: int
    head_timeout_ms: int
    idle_timeout_ms: int


GetLimits = Callable[[], ConnectionLimits]
OnBroken = Callable[[BrokenAnswer], None]
