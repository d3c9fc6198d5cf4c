"""Requests at a model engine: streams that can be resumed and cancelled."""

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
    CANCEL_MS,
    HEADER_PRIORITY,
    HTTP_NOT_FOUND,
    HTTP_OK,
    MAX_OPENS,
    PATH_STREAMS,
    RESUME_PAUSE_MS,
    RESUME_TRIES,
)
from gypsumrouter.upstream.headers import select_request_headers
from gypsumrouter.upstream.models import ConnectionBroken
from gypsumrouter.upstream.run import Run
from gypsumrouter.upstream.transport import Unreached

_LOGGER = logging.getLogger(__name__)

_ACCEPT_ENCODING = "accept-encoding"


class EngineClient(BaseClient):
    """Run requests at an engine.

    An engine may be silent for long before its first token. So a silent connection is not taken
    for a dead one: the stream is taken over on a new connection, from the byte after the last,
    and the engine says whether it still has it.
    """

    __slots__ = ()

    async def _async_drive(self, run: Run) -> Failure | None:
        try:
            failure = await self._async_follow(run)
        except BaseException:
            self._begin_cancel(run)
            raise
        if failure is None:
            return None
        if failure.reason is Reason.CANCELLED and run.handed:
            # Whoever gets the slot next should find the engine free.
            await self._async_cancel_stream(run.stream_id)
        else:
            self._begin_cancel(run)
        return failure

    async def _async_follow(self, run: Run) -> Failure | None:
        attempt = await self._async_attempt(run, self._async_open_stream)
        tries = 0
        was_silent = False
        while True:
            match attempt:
                case Attempt.WHOLE:
                    return run.check_whole()
                case Attempt.CANCELLED:
                    return _fail(Reason.CANCELLED, "the request was cancelled")
                case Attempt.UNREACHED if not run.handed:
                    return make_unreachable()
                case Attempt.LOST if was_silent and self._may_open_again(run):
                    attempt = await self._async_open_again(run)
                    continue
                case Attempt.LOST:
                    return _fail(Reason.UPSTREAM_LOST, "the upstream lost the answer")
            was_silent = attempt is Attempt.SILENT
            tries += 1
            if tries > RESUME_TRIES:
                return _give_reason(was_silent)
            if await self._async_has_died(run, attempt):
                return _fail(Reason.UPSTREAM_LOST, "the upstream died")
            mark = (run.offset, run.heads)
            attempt = await self._async_attempt(run, _Resume(client=self, pause=tries - 1))
            if _has_moved(run, mark, attempt):
                tries = 0

    async def _async_has_died(self, run: Run, attempt: Attempt) -> bool:
        """Return whether a new connection shows that the upstream is gone."""
        if attempt is not Attempt.BROKEN:
            return False
        return await self._health.async_note_broken(run.generation)

    async def _async_open_stream(self, run: Run) -> aiohttp.ClientResponse:
        run.opens += 1
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
        """Return the answer from the first byte that is missing; raises StreamLost."""
        run.watch.reading = True
        response = await self._transport.async_open(
            method="POST", path=f"{_make_path(run.stream_id)}/resume?offset={run.offset}"
        )
        if response.status == HTTP_OK:
            self.recovered_runs.inc()
            return response
        response.close()
        if response.status == HTTP_NOT_FOUND:
            raise StreamLost
        raise ConnectionBroken(f"status {response.status}")

    async def async_pause(self, pause_ms: int) -> None:
        """Wait before the next try to resume."""
        await self._app.clock.async_sleep(pause_ms)

    def _may_open_again(self, run: Run) -> bool:
        """Return whether the request may be sent again: it can be repeated and nothing came."""
        if run.request.idempotency_key or run.head_sent:
            return False
        return run.opens < MAX_OPENS

    async def _async_open_again(self, run: Run) -> Attempt:
        """Send the request once more, under a new id, so that two answers can't be mixed."""
        _LOGGER.debug("Request %s never reached the upstream", run.request.request_id)
        await self._async_cancel_stream(run.stream_id)
        run.stream_id = self._make_stream_id(run.request)
        return await self._async_attempt(run, self._async_open_stream)

    def _begin_cancel(self, run: Run) -> None:
        """Tell the engine that nobody wants the stream any more, without waiting for it."""
        if not run.handed:
            return
        self._app.async_create_task(self._async_cancel_stream(run.stream_id), "upstream cancel")

    async def _async_cancel_stream(self, stream_id: str) -> None:
        try:
            async with asyncio.timeout(CANCEL_MS / MS_PER_S):
                response = await self._transport.async_open(
                    method="DELETE", path=_make_path(stream_id)
                )
                response.close()
        except (Unreached, ConnectionBroken, TimeoutError) as error:
            _LOGGER.debug("Cancel of stream %s failed: %s", stream_id, error)


class _Resume:
    """Open a stream again, after a pause that grows with the tries before."""

    __slots__ = ("_client", "_pause")

    def __init__(self, *, client: EngineClient, pause: int) -> None:
        self._client = client
        self._pause = pause

    async def __call__(self, run: Run) -> aiohttp.ClientResponse:
        if self._pause > 0:
            await self._client.async_pause(self._pause * RESUME_PAUSE_MS)
        return await self._client.async_resume_stream(run)


def _has_moved(run: Run, mark: tuple[int, int], attempt: Attempt) -> bool:
    """Return whether a resumed stream is a living one: more bytes, or a head and then silence."""
    offset, heads = mark
    if run.offset > offset:
        return True
    return attempt is Attempt.SILENT and run.heads > heads


def _make_path(stream_id: str) -> str:
    return PATH_STREAMS + quote(stream_id, safe="")


def _give_reason(was_silent: bool) -> Failed:
    if was_silent:
        return _fail(Reason.UPSTREAM_TIMEOUT, "the upstream is silent")
    return _fail(Reason.UPSTREAM_LOST, "the connection to the upstream broke")


def _fail(reason: Reason, message: str) -> Failed:
    return Failed(reason=reason, message=message)
