"""Responses to requests that are not run: they can't be read or routed, or not taken now."""

from __future__ import annotations

from typing import Final

from aiohttp import web

from gypsumrouter.callers import Rejection, RequestIdGenerator, make_error_response
from gypsumrouter.forwarding.const import RETRY_AFTER_MAX_MS
from gypsumrouter.forwarding.metrics import RequestRecords
from gypsumrouter.forwarding.models import CallerRequest, Dialect, make_digest
from gypsumrouter.forwarding.responses import HEADER_RETRY_AFTER, make_refusal, make_rejection
from gypsumrouter.forwarding.return_order import NO_SERVICE, Reservation, ReturnOrder
from gypsumrouter.outcomes import Reason

DEFAULT_TIMEOUT_MS: Final = 15_000


class Refusals:
    """Makes such responses, and records each of them."""

    __slots__ = ("_dialect", "_generate_request_id", "_records", "_return_order")

    def __init__(
        self,
        *,
        dialect: Dialect,
        records: RequestRecords,
        return_order: ReturnOrder | None,
        generate_request_id: RequestIdGenerator,
    ) -> None:
        self._dialect = dialect
        self._records = records
        self._return_order = return_order
        self._generate_request_id = generate_request_id

    def refuse(
        self,
        caller_request: CallerRequest,
        reason: Reason,
        message: str,
        *,
        retry_after_ms: int | None = None,
    ) -> web.Response:
        """Refuse a request that another attempt may serve, after `retry_after_ms` if given."""
        remaining_ms = caller_request.deadline_ms or DEFAULT_TIMEOUT_MS
        reservation = None
        if retry_after_ms is None:
            reservation = self._reserve_return(caller_request, remaining_ms)
            retry_after_ms = None if reservation is None else reservation.retry_after_ms
        response, retry_after_ms = make_refusal(
            reason=reason,
            message=message,
            request_id=caller_request.request_id,
            remaining_ms=remaining_ms,
            dialect=self._dialect,
            reserved_ms=retry_after_ms,
        )
        self._records.record_refusal(
            caller_request.request_id,
            reason,
            response.status,
            retry_after_ms,
            return_position=-1 if reservation is None else reservation.position,
        )
        return response

    def _reserve_return(
        self, caller_request: CallerRequest, remaining_ms: int
    ) -> Reservation | None:
        if self._return_order is None:
            return None
        return self._return_order.reserve(
            service=NO_SERVICE,
            digest=make_digest(caller_request),
            workspace="",
            plain=False,
            room_in_ms=0,
            remaining_ms=remaining_ms,
            # Another router can take the request now, so the return is to be soon.
            target_left_ms=RETRY_AFTER_MAX_MS,
        )

    def reject(self, caller_request: CallerRequest, reason: Reason, message: str) -> web.Response:
        """Reject a request that no attempt could serve."""
        response = make_rejection(
            reason=reason, message=message, request_id=caller_request.request_id
        )
        self._records.record_refusal(caller_request.request_id, reason, response.status, -1)
        return response

    def reject_malformed(
        self, rejection: Rejection, *, request_id: str | None = None
    ) -> web.Response:
        """Reject a request that could not be read, without its id under one of this router."""
        request_id = request_id or self._generate_request_id()
        response = make_error_response(rejection=rejection, request_id=request_id)
        retry_after_ms = -1
        if rejection.failure.retry_after_ms is not None:
            retry_after_ms = rejection.failure.retry_after_ms
            formatted = self._dialect.format_retry_after(retry_after_ms)
            response.headers[HEADER_RETRY_AFTER] = formatted
        reason = rejection.failure.reason
        self._records.record_refusal(request_id, reason, response.status, retry_after_ms)
        return response
