"""Callers on sockets of their own, who see how each answer ends, and may read slowly."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import Mapping, Sequence
from contextlib import suppress
from enum import StrEnum
from typing import Any, Final

from msgspec import Struct

from bench.soak_configuration import CALLER_KEY, HOST
from gypsumrouter.const import MS_PER_S
from gypsumrouter.instances import Address
from gypsumrouter.platform import names
from gypsumrouter.util.clock import SystemClock

DEADLINE_MS: Final = 30_000
READ_BYTES: Final = 65_536
# Reads of a slow caller in a second.
READS_PER_S: Final = 20
CHUNKED_END: Final = b"0\r\n\r\n"
CLOCK: Final = SystemClock()


class End(StrEnum):
    """How an answer ended: whole, or with a reset or a close of its connection before that.

    LEFT: its caller gave up.
    """

    WHOLE = "whole"
    RESET = "reset"
    CLOSED = "closed"
    LEFT = "left"


class Answer(Struct, kw_only=True):
    """What a caller got for one request (monotonic seconds); `status` is 0 without a head.

    `whole_s` is when its last byte was sent, 0 if it never was.
    """

    request_id: str
    sent_s: float = 0.0
    whole_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    end: End = End.CLOSED
    head: bytes = b""
    body: bytes = b""

    @property
    def announces_close(self) -> bool:
        """Return whether the answer says that its connection ends with it."""
        return b"connection: close" in self.head.lower()

    @property
    def content(self) -> bytes:
        """Return the body without its chunks; one that was cut ends with the last whole chunk."""
        if b"transfer-encoding: chunked" not in self.head.lower():
            return self.body
        content, rest = b"", self.body
        while rest:
            size, found, rest = rest.partition(b"\r\n")
            length = int(size, 16) if found else 0
            if not length or len(rest) < length:
                break
            content, rest = content + rest[:length], rest[length + 2 :]
        return content


class RawCaller:
    """One connection of a caller; `buffer_bytes` is the size of its receive buffer."""

    def __init__(self, address: Address, *, buffer_bytes: int | None = None) -> None:
        self._address = address
        self._socket = socket.socket()
        self._socket.setblocking(False)
        if buffer_bytes is not None:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)

    async def async_open(self) -> RawCaller:
        """Connect; raises OSError."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (self._address.host, self._address.port))
        return self

    async def async_ask(
        self,
        request_id: str,
        *,
        path: str = "/draft/a",
        tokens: int | None = 80,
        deadline_ms: int = DEADLINE_MS,
        bytes_per_s: float | None = None,
        parts: Sequence[bytes] = (),
        pause_s: float = 0.0,
        rest_after_s: float = 0.0,
        rest_s: float = 0.0,
        max_gap_s: float | None = None,
        leaves_after_s: float = math.inf,
    ) -> Answer:
        """Send a request and return its answer; raises nothing if the connection ends.

        `bytes_per_s` is the pace at which a slow caller reads; it reads nothing for `rest_s` once,
        `rest_after_s` after it began to send or later. `parts` are sent in place of the usual
        request, with a pause after each, and no further ones once the answer is there. The caller
        gives up after a pause of `max_gap_s` in the answer, and `leaves_after_s` after it began to
        send; its connection is of no use then.
        """
        answer = Answer(request_id=request_id, sent_s=time.monotonic())
        loop = asyncio.get_running_loop()
        parts = parts or (make_head(request_id, path, tokens, deadline_ms=deadline_ms),)
        sending = loop.create_task(self._async_send(answer, parts, pause_s))
        try:
            while not _is_whole(answer):
                if rest_s and time.monotonic() - answer.sent_s >= rest_after_s:
                    await CLOCK.async_sleep(round(rest_s * MS_PER_S))
                    rest_s = 0.0
                size = READ_BYTES if bytes_per_s is None else max(1, int(bytes_per_s / READS_PER_S))
                left_s = answer.sent_s + leaves_after_s - time.monotonic()
                gap_s = math.inf if max_gap_s is None or not answer.status else max_gap_s
                limit_s = min(left_s, gap_s)
                async with asyncio.timeout(None if math.isinf(limit_s) else max(0.0, limit_s)):
                    data = await loop.sock_recv(self._socket, size)
                if not data:
                    break
                _note_data(answer, data)
                if bytes_per_s is not None:
                    await CLOCK.async_sleep(round(len(data) / bytes_per_s * MS_PER_S))
        except TimeoutError:
            answer.end = End.LEFT
        except OSError:
            answer.end = End.RESET
        answer.ended_s = time.monotonic()
        sending.cancel()
        await asyncio.wait((sending,))
        return answer

    async def _async_send(self, answer: Answer, parts: Sequence[bytes], pause_s: float) -> None:
        """Send the parts of a request; the reader sees it if the connection ends."""
        with suppress(OSError):
            for number, part in enumerate(parts):
                await CLOCK.async_sleep(round(pause_s * MS_PER_S) if number else 0)
                await asyncio.get_running_loop().sock_sendall(self._socket, part)
            answer.whole_s = time.monotonic()

    async def async_send_later(self, data: bytes, *, after_ms: int) -> None:
        """Send bytes on the connection after a while, if it is open then."""
        await CLOCK.async_sleep(after_ms)
        with suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def async_ask_until_closed(self, first_id: str, **options: Any) -> list[Answer]:
        """Ask on this connection until it ends or says that it does."""
        answers: list[Answer] = []
        while not answers or (answers[-1].end is End.WHOLE and not answers[-1].announces_close):
            answers.append(await self.async_ask(f"{first_id}-{len(answers)}", **options))
        return answers

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def make_head(
    request_id: str, path: str, tokens: int | None, *, deadline_ms: int = DEADLINE_MS
) -> bytes:
    """Return a request; one with `tokens` asks a model for as many."""
    usage = (
        ""
        if tokens is None
        else (
            f"{names.MODEL}: m\r\n{names.TOKEN_USAGE}: 1400,{tokens}\r\n"
            f"{names.PREFIX_PARTS}: a1:800,b2:600\r\n"
        )
    )
    return (
        f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{names.REQUEST_ID}: {request_id}\r\n"
        f"{names.DEADLINE}: {deadline_ms}\r\n{names.API_KEY}: {CALLER_KEY}\r\n{usage}\r\n"
    ).encode()


def make_post_head(
    request_id: str,
    route: str,
    *,
    tokens: int,
    prompt: str,
    deadline_ms: int,
    key: str,
    length: int,
    version: str = "1.1",
    more: Mapping[str, str] | None = None,
) -> bytes:
    """Return the head of a request on a route whose body has `length` bytes.

    One with `tokens` asks a model for as many, after the shared parts of `prompt`. `version` is
    that of HTTP, and `more` are further headers.
    """
    further = "".join(f"{name}: {value}\r\n" for name, value in (more or {}).items())
    usage = (
        f"{names.MODEL}: m\r\n{names.TOKEN_USAGE}: 1400,{tokens}\r\n"
        f"{names.PREFIX_PARTS}: {prompt}\r\n"
        if tokens
        else ""
    )
    return (
        f"POST /{route}/{request_id} HTTP/{version}\r\nHost: {HOST}\r\n"
        f"{names.REQUEST_ID}: {request_id}\r\n{names.DEADLINE}: {deadline_ms}\r\n"
        f"{names.API_KEY}: {key}\r\n{usage}{further}"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def _note_data(answer: Answer, data: bytes) -> None:
    if answer.head:
        answer.body += data
    else:
        head, found, rest = (answer.body + data).partition(b"\r\n\r\n")
        answer.body = head if not found else rest
        answer.head = head + found if found else b""
        if found:
            answer.status = int(head.split(b" ", 2)[1])
    if _is_whole(answer):
        answer.end = End.WHOLE


def _is_whole(answer: Answer) -> bool:
    head = answer.head.lower()
    if not head:
        return False
    if b"transfer-encoding: chunked" in head:
        return answer.body.endswith(CHUNKED_END)
    length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
    return bool(length) and len(answer.body) >= int(length)
