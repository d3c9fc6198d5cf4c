"""Client for plain services, whose responses can't be resumed."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from gypsumrouter.const import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID
from gypsumrouter.core import Application
from gypsumrouter.outcomes import Failed, Failure, Reason
from gypsumrouter.settings import Upstream
from gypsumrouter.upstream.client import Attempt, BaseClient, make_unreachable
from gypsumrouter.upstream.const import (
    HEDGE_BUDGET_BURST,
    HEDGE_BUDGET_SHARE,
    MAX_FAILED_PROBES,
)
from gypsumrouter.upstream.headers import select_request_headers
from gypsumrouter.upstream.models import Cause, Interrupted, Liveness
from gypsumrouter.upstream.run import Run
from gypsumrouter.upstream.watch import SilenceLimits
from gypsumrouter.util.token_bucket import TokenBucket

Call = asyncio.Task[aiohttp.ClientResponse]


class ServiceClient(BaseClient):
    """Send requests to a service.

    If a connection is idle, the service may be slow or the connection lost. A request without an
    idempotency key is then hedged: it is sent once more on a second connection, for a bounded
    share of the requests, and the first response is used. A request with a key, or whose response
    has begun, waits until its deadline while probes of the service succeed; TCP keepalive detects
    connections whose path is lost.
    """

    __slots__ = ("_hedge_budget",)

    _silence_limits = SilenceLimits(max_failed_probes=MAX_FAILED_PROBES, interrupts_answering=False)

    def __init__(self, *, app: Application, settings: Upstream) -> None:
        super().__init__(app=app, settings=settings)
        self._hedge_budget = TokenBucket(capacity=HEDGE_BUDGET_BURST, tokens=HEDGE_BUDGET_BURST)

    async def _async_drive(self, run: Run) -> Failure | None:
        self._hedge_budget.add(HEDGE_BUDGET_SHARE)
        attempt = await self._async_attempt(run, self._async_open_hedged)
        match attempt:
            case Attempt.COMPLETE:
                return run.check_complete()
            case Attempt.CANCELLED:
                return Failed(reason=Reason.CANCELLED, message="the request was cancelled")
            case Attempt.SILENT:
                return Failed(reason=Reason.UPSTREAM_TIMEOUT, message="the upstream is silent")
            case Attempt.CONNECT_FAILED if not run.was_handed_over:
                return make_unreachable()
        await self._health.async_check_crash(run.generation)
        return Failed(reason=Reason.UPSTREAM_LOST, message="the connection to the upstream broke")

    async def _async_open_hedged(self, run: Run) -> aiohttp.ClientResponse:
        """Return the first response, with a hedged request if the connection is idle."""
        calls: set[Call] = {self._open_call(run)}
        try:
            return await self._async_await_first(run, calls)
        finally:
            _close_calls(calls)

    async def _async_await_first(self, run: Run, calls: set[Call]) -> aiohttp.ClientResponse:
        failed_probes = 0
        while True:
            call = await self._async_await_any(calls)
            if call is not None:
                calls.discard(call)
                if call.exception() is None or not calls:
                    return call.result()
                continue
            failed_probes = await self._async_count_failed_probes(failed_probes)
            if failed_probes >= MAX_FAILED_PROBES:
                raise Interrupted(Cause.SILENT)
            if failed_probes == 0 and self._may_hedge(run):
                self.silent_runs.inc()
                calls.add(self._open_call(run))

    async def _async_await_any(self, calls: set[Call]) -> Call | None:
        """Return a call that has ended, or None after `silence_ms`."""
        timeout: asyncio.Task[Any] = asyncio.ensure_future(
            self._app.clock.async_sleep(self._settings.silence_ms)
        )
        try:
            await asyncio.wait({timeout, *calls}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timeout.cancel()
        return next((call for call in calls if call.done()), None)

    async def _async_count_failed_probes(self, failed_probes: int) -> int:
        """Probe the service and return the number of consecutive failed probes."""
        liveness = await self._transport.async_probe(self._health.load_path)
        return 0 if liveness is Liveness.ANSWERS else failed_probes + 1

    def _may_hedge(self, run: Run) -> bool:
        if run.request.idempotency_key or run.sends > 1:
            return False
        return self._hedge_budget.try_take()

    def _open_call(self, run: Run) -> Call:
        run.sends += 1
        request = run.request
        headers = select_request_headers(request.headers)
        headers.append((HEADER_REQUEST_ID, request.request_id))
        if request.idempotency_key:
            headers = [
                (name, value)
                for name, value in headers
                if name.lower() != HEADER_IDEMPOTENCY_KEY.lower()
            ]
            headers.append((HEADER_IDEMPOTENCY_KEY, request.idempotency_key))
        return asyncio.ensure_future(
            self._transport.async_open(
                method=request.method,
                path=request.path,
                headers=headers,
                body=request.body,
                hand_over=run.hand_over,
            )
        )


def _close_calls(calls: set[Call]) -> None:
    """Cancel the remaining calls and close their connections."""
    for call in calls:
        call.cancel()
        call.add_done_callback(_close)


def _close(call: Call) -> None:
    if not call.cancelled() and call.exception() is None:
        call.result().close()
