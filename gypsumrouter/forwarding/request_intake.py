"""Intake of callers' requests: limits on their size, their bodies and their heads."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from aiohttp import web

from gypsumrouter.callers import (
    MemoryBudget,
    MemoryReservation,
    Rejection,
    async_read_body,
    count_head_bytes,
    reject_field,
    reject_head_size,
)
from gypsumrouter.const import HEADER_REQUEST_ID
from gypsumrouter.forwarding.caller_ends import describe_end
from gypsumrouter.forwarding.metrics import RequestRecords
from gypsumrouter.forwarding.models import CallerRequest, MalformedHead
from gypsumrouter.forwarding.refusals import Refusals
from gypsumrouter.routing import RoutingStore

# Limit on the buffered bodies of all running requests together.
# It is an eighth of the memory of the smallest instance.
MAX_BUFFERED_BODY_BYTES: Final = 24 * 1024 * 1024


class RequestParser(Protocol):
    """Parses a request in the HTTP representation of the deployment."""

    def __call__(self, *, request: web.BaseRequest, body: bytes) -> CallerRequest | MalformedHead:
        """Return the request, or what is malformed in its head."""


class RequestIntake:
    """Reads requests, and rejects those that are too large, incomplete or malformed."""

    __slots__ = ("_bodies", "_parse_request", "_records", "_refusals", "_routing")

    def __init__(
        self,
        *,
        parse_request: RequestParser,
        routing: RoutingStore,
        records: RequestRecords,
        refusals: Refusals,
    ) -> None:
        self._parse_request = parse_request
        self._routing = routing
        self._records = records
        self._refusals = refusals
        self._bodies = MemoryBudget(limit=MAX_BUFFERED_BODY_BYTES)

    def reserve(self) -> MemoryReservation:
        """Return the reservation of memory for the body of one request."""
        return MemoryReservation(budget=self._bodies)

    async def async_read(
        self, request: web.BaseRequest, reservation: MemoryReservation, *, arrived_ms: int
    ) -> CallerRequest | web.Response:
        """Return a whole request, or the response that rejects it."""
        limits = self._routing.limits
        if count_head_bytes(request) > limits.max_head_bytes:
            return self._refusals.reject_malformed(reject_head_size())
        try:
            body = await async_read_body(
                request=request,
                reservation=reservation,
                max_bytes=limits.max_body_bytes,
                get_idle_ms=lambda: self._routing.limits.idle_timeout_ms,
            )
        except asyncio.CancelledError:
            outcome = describe_end(request)
            self._records.record_unread(request, reservation, arrived_ms, outcome=outcome)
            raise
        if isinstance(body, Rejection):
            response = self._refusals.reject_malformed(
                body, request_id=request.headers.get(HEADER_REQUEST_ID)
            )
            self._records.record_unread(
                request,
                reservation,
                arrived_ms,
                outcome=body.failure.reason.value,
                status=response.status,
            )
            return response
        caller_request = self._parse_request(request=request, body=body)
        if isinstance(caller_request, MalformedHead):
            return self._refusals.reject_malformed(
                reject_field(caller_request.field, caller_request.message),
                request_id=request.headers.get(HEADER_REQUEST_ID),
            )
        return caller_request
