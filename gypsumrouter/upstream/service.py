"""Requests at a plain service, whose answers can't be resumed."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from gypsumrouter.const import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID
from gypsumrouter.core import Application
from gypsumrouter.outcomes import Failed, Failure, Reason
from gypsumrouter.settings import Upstream
from gypsumrouter.upstream.budget import Budget
from gypsumrouter.upstream.client import Attempt, BaseClient, make_unreachable
from gypsumrouter.upstream.const import PROBE_TRIES
from gypsumrouter.upstream.headers import select_request_headers
from gypsumrouter.upstream.models import Cause, Interrupted, Liveness
from gypsumrouter.upstream.run import Run

Head = asyncio.Task[aiohttp.ClientResponse]


class ServiceClient(BaseClient):
    """Run requests at a service.

    A service that says nothing may be slow, or its connection may be dead. A call that may be
    repeated is sent once more on a second connection, within a budget, and the first head wins.
    One that may not be repeated waits for its deadline while the service lives; the kernel's
    keepalive finds the connections whose path is gone.
    """

    __slots__ = ("_budget",)

    def __init__(self, *, app: Application, settings: Upstream) -> None:
        super().__init__(app=app, settings=settings)
        self._budget = Budget()

    async def _async_drive(self, run: Run) -> Failure | None:
        self._budget.note_run()
        attempt = await self._async_attempt(run, self._async_open_patiently)
        match attempt:
            case Attempt.WHOLE:
                return run.check_whole()
            case Attempt.CANCELLED:
                return Failed(reason=Reason.CANCELLED, message="the request was cancelled")
            case Attempt.SILENT:
                return Failed(reason=Reason.UPSTREAM_TIMEOUT, message="the upstream is silent")
            case Attempt.UNREACHED if not run.handed:
                return make_unreachable()
        await self._health.async_note_broken(run.generation)
        return Failed(reason=Reason.UPSTREAM_LOST, message="the connection to the upstream broke")

    async def _async_open_patiently(self, run: Run) -> aiohttp.ClientResponse:
        """Return the answer whose head comes first."""
        heads: set[Head] = {self._open_call(run)}
        try:
            return await self._async_await_head(run, heads)
        finally:
            _abandon(heads)

    async def _async_await_head(self, run: Run, heads: set[Head]) -> aiohttp.ClientResponse:
        misses = 0
        while True:
            head = await self._async_await_any(heads)
            if head is not None:
                heads.discard(head)
                if head.exception() is None or not heads:
                    return head.result()
                continue
            misses = await self._async_count_misses(misses)
            if misses >= PROBE_TRIES:
                raise Interrupted(Cause.SILENT)
            if misses == 0 and self._may_open_again(run):
                self.silent_runs.inc()
                heads.add(self._open_call(run))

    async def _async_await_any(self, heads: set[Head]) -> Head | None:
        """Return the first call that ended, None after the time of a silence."""
        silence: asyncio.Task[Any] = asyncio.ensure_future(
            self._app.clock.async_sleep(self._settings.silence_ms)
        )
        try:
            await asyncio.wait({silence, *heads}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            silence.cancel()
        return next((head for head in heads if head.done()), None)

    async def _async_count_misses(self, misses: int) -> int:
        """Return how many probes in a row went without an answer."""
        liveness = await self._transport.async_probe(self._health.load_path)
        return 0 if liveness is Liveness.ANSWERS else misses + 1

    def _may_open_again(self, run: Run) -> bool:
        if run.request.idempotency_key or run.opens > 1:
            return False
        return self._budget.take()

    def _open_call(self, run: Run) -> Head:
        run.opens += 1
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


def _abandon(heads: set[Head]) -> None:
    """Close the connections of the calls whose answers are not wanted."""
    for head in heads:
        head.cancel()
        head.add_done_callback(_close)


def _close(head: Head) -> None:
    if not head.cancelled() and head.exception() is None:
        head.result().close()
