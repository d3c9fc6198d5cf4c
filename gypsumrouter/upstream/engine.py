"""Client for model engines, whose streams can be resumed and cancelled."""

from __future__ import annotations

import asyncio
import logging
from urllib.parse import quote

import aiohttp

from gypsumrouter.const import HEADER_CHAT, HEADER_REQUEST_ID, MS_PER_S, make_engine_chat_id
from gypsumrouter.outcomes import Failed, Failure, Reason
from gypsumrouter.upstream.client import (
    Attempt,
    BaseClient,
    StreamLost,
    make_unreachable,
)
from gypsumrouter.upstream.const import (
    CANCEL_TIMEOUT_MS,
    HEADER_PRIORITY,
    HTTP_NOT_FOUND,
    HTTP_OK,
    MAX_RESUME_ATTEMPTS,
    MAX_SENDS,
    PATH_STREAMS,
    RESUME_PAUSE_MS,
)
from gypsumrouter.upstream.headers import select_request_headers
from gypsumrouter.upstream.models import ConnectionBroken
from gypsumrouter.upstream.run import Run
from gypsumrouter.upstream.transport import ConnectFailed
from gypsumrouter.upstream.watch import SilenceLimits

_LOGGER = logging.getLogger(__name__)

_ACCEPT_ENCODING = "accept-encoding"


class EngineClient(BaseClient):
    """Send requests to an engine.

    An engine may send nothing for a long time before its first token, so an idle connection is not
    treated as failed. Instead, if the engine answers a probe, the stream is resumed on a new
    connection at the current offset, and the engine responds whether it still has the stream. An
    engine that answers no probe can't resume it either, so the connection is kept.
    """

    __slots__ = ()

    _silence_limits = SilenceLimits(
        max_failed_probes=MAX_RESUME_ATTEMPTS + 1, interrupts_answering=True
    )

    async def _async_drive(self, run: Run) -> Failure | None:
        try:
            failure = await self._async_run_attempts(run)
        except BaseException:
            self._start_cancel(run)
            raise
        if failure is None:
            return None
        if failure.reason is Reason.CANCELLED and run.was_handed_over:
            # Wait for the cancellation, so that the slot is free at the engine for the next run.
            await self._async_cancel_stream(run.stream_id)
        else:
            self._start_cancel(run)
        return failure

    async def _async_run_attempts(self, run: Run) -> Failure | None:
        attempt = await self._async_attempt(run, self._async_open_stream)
        resumes = 0
        was_silent = False
        while True:
            match attempt:
                case Attempt.COMPLETE:
                    return run.check_complete()
                case Attempt.CANCELLED:
                    return _fail(Reason.CANCELLED, "the request was cancelled")
                case Attempt.CONNECT_FAILED if not run.was_handed_over:
                    return make_unreachable()
                case Attempt.LOST if was_silent and self._may_resend(run):
                    attempt = await self._async_resend(run)
                    continue
                case Attempt.LOST:
                    return _fail(Reason.UPSTREAM_LOST, "the upstream lost the answer")
            was_silent = attempt is Attempt.SILENT
            resumes += 1
            if resumes > MAX_RESUME_ATTEMPTS or run.watch.is_unanswered:
                return _make_failure(was_silent)
            if await self._async_has_crashed(run, attempt):
                return _fail(Reason.UPSTREAM_LOST, "the upstream died")
            before = (run.offset, run.heads)
            attempt = await self._async_attempt(run, _Resume(client=self, pause=resumes - 1))
            if _has_progressed(run, before, attempt):
                resumes = 0

    async def _async_has_crashed(self, run: Run, attempt: Attempt) -> bool:
        """Return whether a probe after a broken connection shows that the upstream crashed."""
        if attempt is not Attempt.BROKEN:
            return False
        return await self._health.async_check_crash(run.generation)

    async def _async_open_stream(self, run: Run) -> aiohttp.ClientResponse:
        run.sends += 1
        run.begin()
        run.watch.reading = True
        headers = [
            (name, value)
            for name, value in select_request_headers(run.request.headers)
            if name.lower() != _ACCEPT_ENCODING
        ]
        headers.append((HEADER_REQUEST_ID, run.stream_id))
        headers.append((HEADER_PRIORITY, str(run.priority)))
        if run.request.chat:
            chat = make_engine_chat_id(run.request.workspace, run.request.chat)
            headers.append((HEADER_CHAT, chat))
        return await self._transport.async_open(
            method=run.request.method,
            path=run.request.path,
            headers=headers,
            body=run.request.body,
            hand_over=run.hand_over,
        )

    async def async_resume_stream(self, run: Run) -> aiohttp.ClientResponse:
        """Resume the response at the current offset, with the bytes before it.

        Raises StreamLost if the engine no longer has the stream, and ConnectionBroken for any
        other status.
        """
        run.watch.reading = True
        response = await self._transport.async_open(
            method="POST",
            path=f"{_make_path(run.stream_id)}/resume?offset={run.begin_resumed()}",
        )
        if response.status == HTTP_OK:
            self.recovered_runs.inc()
            return response
        response.close()
        if response.status == HTTP_NOT_FOUND:
            raise StreamLost
        raise ConnectionBroken(f"resume of a stream: expected status 200, got {response.status}")

    async def async_pause(self, pause_ms: int) -> None:
        """Wait before the next attempt to resume."""
        await self._app.clock.async_sleep(pause_ms)

    def _may_resend(self, run: Run) -> bool:
        """Return whether the request may be sent again: no idempotency key and no head yet."""
        if run.request.idempotency_key or run.head_sent:
            return False
        return run.sends < MAX_SENDS

    async def _async_resend(self, run: Run) -> Attempt:
        """Send the request again under a new stream id, so that two responses can't be mixed."""
        _LOGGER.debug(
            "Request %s did not reach the upstream; sending it again with a new stream id",
            run.request.request_id,
        )
        await self._async_cancel_stream(run.stream_id)
        run.stream_id = self._make_stream_id(run.request)
        return await self._async_attempt(run, self._async_open_stream)

    def _start_cancel(self, run: Run) -> None:
        """Start to cancel the stream at the engine without waiting for the response."""
        if not run.was_handed_over:
            return
        self._app.async_create_task(self._async_cancel_stream(run.stream_id), "upstream cancel")

    async def _async_cancel_stream(self, stream_id: str) -> None:
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_MS / MS_PER_S):
                response = await self._transport.async_open(
                    method="DELETE", path=_make_path(stream_id)
                )
                response.close()
        except (ConnectFailed, ConnectionBroken, TimeoutError) as error:
            _LOGGER.debug("Failed to cancel stream %s at the engine: %s", stream_id, error)


class _Resume:
    """Resume a stream after a pause that grows with the number of previous attempts."""

    __slots__ = ("_client", "_pause")

    def __init__(self, *, client: EngineClient, pause: int) -> None:
        self._client = client
        self._pause = pause

    async def __call__(self, run: Run) -> aiohttp.ClientResponse:
        if self._pause > 0:
            await self._client.async_pause(self._pause * RESUME_PAUSE_MS)
        return await self._client.async_resume_stream(run)


def _has_progressed(run: Run, before: tuple[int, int], attempt: Attempt) -> bool:
    """Return whether a resumed stream made progress: more bytes, or a head before going idle."""
    offset, heads = before
    if run.offset > offset:
        return True
    return attempt is Attempt.SILENT and run.heads > heads


def _make_path(stream_id: str) -> str:
    return PATH_STREAMS + quote(stream_id, safe="")


def _make_failure(was_silent: bool) -> Failed:
    if was_silent:
        return _fail(Reason.UPSTREAM_TIMEOUT, "the upstream is silent")
    return _fail(Reason.UPSTREAM_LOST, "the connection to the upstream broke")


def _fail(reason: Reason, message: str) -> Failed:
    return Failed(reason=reason, message=message)
