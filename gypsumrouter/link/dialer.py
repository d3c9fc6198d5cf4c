"""The dialing end of a link: connects on demand and resumes exchanges after a lost link."""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.core import Application
from gypsumrouter.instances import Instance
from gypsumrouter.link.codec import Greeting, encode_open
from gypsumrouter.link.connection import Connection
from gypsumrouter.link.const import (
    BACKOFF_FIRST_MS,
    BACKOFF_MAX_MS,
    DIALER_INTERVAL_FACTOR,
    MAX_FRAME_BYTES,
    Kind,
)
from gypsumrouter.link.diagnostics import ByteCounts
from gypsumrouter.link.exchange import Exchange
from gypsumrouter.link.frames import Frame, FrameError
from gypsumrouter.link.handshake import (
    HandshakeFailed,
    WrongKey,
    async_dialer_handshake,
    make_greeting,
    to_seconds,
)
from gypsumrouter.link.listeners import LogOnce
from gypsumrouter.link.liveness import keep_alive, request_echo, reset_silence_timer
from gypsumrouter.link.models import Hello, Notice, Open
from gypsumrouter.link.notices import Peer
from gypsumrouter.link.outstanding import Outstanding
from gypsumrouter.outcomes import Failed, Reason, Refused
from gypsumrouter.settings import Link

_LOGGER = logging.getLogger(__name__)

_UNREACHABLE = Refused(
    reason=Reason.UNREACHABLE, message="the instance cannot be reached", elsewhere=True
)
_TOO_LARGE = Refused(reason=Reason.TOO_LARGE, message="the request does not fit into one message")
_RESTARTED = Failed(reason=Reason.SIDE_RESTARTED, message="the side was replaced")
_LOST = Failed(reason=Reason.LINK_LOST, message="the link was lost and could not be resumed")
_STOPPED = Failed(reason=Reason.STOPPED, message="this process stops")
_BROKEN = Failed(reason=Reason.CORRUPTED, message="the link carried a malformed message")


class DialerContext(Struct, frozen=True, kw_only=True):
    """State and callbacks that all dialers of a pool share."""

    app: Application
    settings: Link
    key: bytes
    tls: ssl.SSLContext | None
    counts: ByteCounts
    wrong_keys: LogOnce
    allocate_number: Callable[[], int]
    on_notice: Callable[[Peer, Frame], None]
    on_load: Callable[[str, int, int], None]
    on_connect_attempt: Callable[[str, bool], None]
    on_connected: Callable[[Peer], None]


class Dialer:
    """The link to one instance; one task connects, reads frames and reconnects."""

    __slots__ = (
        "_connect_requested",
        "_connection",
        "_context",
        "_failures",
        "_incarnation",
        "_lost_ms",
        "_outstanding",
        "_retry_ms",
        "_task",
        "_waiters",
        "instance",
        "last_used_ms",
        "peer",
    )

    def __init__(self, *, context: DialerContext, instance: Instance) -> None:
        self.instance = instance
        self.peer: Peer | None = None
        self.last_used_ms = context.app.clock.now_ms()
        self._context = context
        self._connection: Connection | None = None
        self._incarnation: int | None = None
        self._failures = 0
        self._lost_ms = 0
        self._retry_ms = 0
        self._outstanding = Outstanding(clock=context.app.clock, settings=context.settings)
        self._waiters: list[asyncio.Future[None]] = []
        self._connect_requested = asyncio.Event()
        self._task = context.app.async_create_task(self._async_run(), f"link {instance.name}")

    @property
    def connected(self) -> bool:
        """Return whether the link is open."""
        return self._connection is not None and not self._connection.closed

    @property
    def incarnation(self) -> int | None:
        """Return the incarnation of the instance in the last handshake."""
        return self._incarnation

    @property
    def outstanding(self) -> int:
        """Return the number of exchanges that have not ended."""
        return len(self._outstanding)

    @property
    def in_use(self) -> bool:
        """Return whether `tick` must be called on each timer tick."""
        connection = self._connection
        return len(self._outstanding) > 0 or (
            connection is not None and connection.busy_since_ms is not None
        )

    @property
    def unused(self) -> bool:
        """Return whether the link is closed and no exchange or task waits for it."""
        return not (self.connected or len(self._outstanding) or self._waiters)

    async def async_open(self, request: Open) -> Exchange | Refused:
        """Send a request; `Refused` means that none of its bytes were sent."""
        connection = await self._async_get_connection()
        if connection is None:
            return _UNREACHABLE
        if not await connection.async_wait_writable():
            return _UNREACHABLE
        request = replace(request, sequence=self._context.allocate_number())
        body = encode_open(request)
        if len(body) > MAX_FRAME_BYTES:
            return _TOO_LARGE
        exchange = self._outstanding.add(request)
        connection.last_used_ms = exchange.opened_ms
        connection.send(Kind.OPEN, stream=request.sequence, body=body)
        connection.flush()
        return exchange

    async def async_send(self, notice: Notice) -> bool:
        """Send a notice, opening the link if needed; return whether it was sent."""
        if await self._async_get_connection() is None or self.peer is None:
            return False
        return self.peer.send(notice)

    def tick(self, now_ms: int, late: bool) -> None:
        """Check the liveness of a link in use, and close an idle one."""
        connection = self._connection
        if connection is None:
            return
        busy = len(self._outstanding) > 0
        if late:
            reset_silence_timer(connection, now_ms)
        keep_alive(
            connection=connection,
            busy=busy,
            now_ms=now_ms,
            heartbeat_ms=self._context.settings.heartbeat_ms * DIALER_INTERVAL_FACTOR,
            silence_ms=self._context.settings.silence_ms,
            name=self.instance.name,
        )
        self._check_delivery(connection, now_ms)
        if busy or self._waiters:
            connection.last_used_ms = now_ms
        self.last_used_ms = connection.last_used_ms
        if now_ms - connection.last_used_ms >= self._context.settings.idle_close_ms:
            connection.close()

    def _check_delivery(self, connection: Connection, now_ms: int) -> None:
        settings = self._context.settings
        request_echo(
            connection=connection,
            waiting=self._outstanding.has_undelivered(since_ms=now_ms - settings.heartbeat_ms),
            now_ms=now_ms,
            settings=settings,
            name=self.instance.name,
        )

    def stop(self) -> None:
        """Close the link and fail the outstanding exchanges."""
        self._outstanding.fail_all(_STOPPED)
        if self._connection is not None:
            self._connection.close()
        self._wake_waiters()
        self._task.cancel()

    async def _async_get_connection(self) -> Connection | None:
        """Return the open link, connecting if needed; None if that fails or is in back-off."""
        if self.connected:
            return self._connection
        now_ms = self._context.app.clock.now_ms()
        if now_ms < self._retry_ms:
            return None
        self.last_used_ms = now_ms
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._connect_requested.set()
        await waiter
        return self._connection if self.connected else None

    async def _async_run(self) -> None:
        while True:
            await self._connect_requested.wait()
            connection = await self._async_connect()
            if connection is not None:
                await self._async_serve(connection)
            self._fail_expired()
            if len(self._outstanding):
                await self._async_pause()
            elif not self._waiters:
                self._connect_requested.clear()

    async def _async_connect(self) -> Connection | None:
        context = self._context
        connection: Connection | None = None
        try:
            async with asyncio.timeout(to_seconds(context.settings.connect_ms)):
                connection = await self._async_open_connection()
                greeting = await async_dialer_handshake(
                    connection=connection,
                    greeting=make_greeting(
                        app=context.app,
                        attempt=context.allocate_number(),
                        window_bytes=context.settings.window_bytes,
                    ),
                    key=context.key,
                    expected_name=self.instance.name or None,
                )
        except WrongKey:
            if context.wrong_keys.is_first(self.instance.name):
                _LOGGER.warning(
                    "Instance %s uses another link key; refusing requests to it",
                    self.instance.name,
                )
        except (OSError, TimeoutError, HandshakeFailed, FrameError) as error:
            _LOGGER.debug("Failed to open a link to instance %s: %r", self.instance.name, error)
        else:
            self._activate(connection, greeting)
            return connection
        if connection is not None:
            connection.abort()
        self._handle_connect_failure()
        return None

    async def _async_open_connection(self) -> Connection:
        address = self.instance.address
        context = self._context
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: Connection(clock=context.app.clock, counts=context.counts),
            address.host,
            address.port,
            ssl=context.tls,
        )
        return connection

    def _activate(self, connection: Connection, greeting: Greeting) -> None:
        """Start to use a new link: resume or fail exchanges, then notify listeners."""
        hello: Hello = greeting.hello
        if self._incarnation is not None and self._incarnation != hello.incarnation:
            self._outstanding.fail_all(_RESTARTED)
        self._incarnation = hello.incarnation
        self._connection = connection
        connection.last_used_ms = self._context.app.clock.now_ms()
        self.peer = Peer(hello=hello, connection=connection, dialed=True)
        self._outstanding.attach(connection, greeting.window_bytes)
        self._context.wrong_keys.clear(self.instance.name)
        self._retry_ms = 0
        self._wake_waiters()
        self._context.on_connect_attempt(self.instance.name, True)
        self._context.on_connected(self.peer)

    async def _async_serve(self, connection: Connection) -> None:
        try:
            while (frame := await connection.async_read()) is not None:
                self._on_frame(frame)
                # Frames often arrive in batches; awaiting each of them is too slow.
                while (frame := connection.read_nowait()) is not None:
                    self._on_frame(frame)
        except FrameError as error:
            _LOGGER.warning(
                "Closing the link to instance %s and failing its exchanges: %s",
                self.instance.name,
                error,
            )
            connection.close_with_goodbye(str(error))
            # The server would send the same bytes again over a new link.
            self._outstanding.fail_all(_BROKEN)
        connection.abort()
        self._handle_lost_link(connection)

    def _on_frame(self, frame: Frame) -> None:
        if frame.load and self._incarnation is not None:
            self._context.on_load(self.instance.name, self._incarnation, frame.load - 1)
        if self._outstanding.receive(frame):
            return
        if self.peer is not None:
            self._context.on_notice(self.peer, frame)

    def _handle_lost_link(self, connection: Connection) -> None:
        now_ms = self._context.app.clock.now_ms()
        self._connection = None
        self._outstanding.detach()
        self._lost_ms = now_ms
        lived_ms = now_ms - connection.opened_ms
        self._failures = self._failures + 1 if lived_ms < BACKOFF_MAX_MS else 0

    def _handle_connect_failure(self) -> None:
        self._failures += 1
        if not len(self._outstanding):
            self._retry_ms = self._context.app.clock.now_ms() + self._get_backoff_ms()
        self._wake_waiters()
        self._context.on_connect_attempt(self.instance.name, False)

    def _fail_expired(self) -> None:
        now_ms = self._context.app.clock.now_ms()
        if now_ms - self._lost_ms >= self._context.settings.resume_ms:
            self._outstanding.fail_all(_LOST)

    async def _async_pause(self) -> None:
        if self._failures:
            await self._context.app.clock.async_sleep(self._get_backoff_ms())

    def _get_backoff_ms(self) -> int:
        ceiling = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS << min(self._failures, 8))
        return random.randint(ceiling // 2, ceiling)

    def _wake_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
