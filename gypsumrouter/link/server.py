"""The listening end of links: accepts links, runs their requests and publishes the status."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection, Coroutine
from typing import Any

from gypsumrouter.core import Application
from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.helpers.tls import TlsFiles, make_server_context
from gypsumrouter.instances import Address
from gypsumrouter.link.answer import Answer
from gypsumrouter.link.codec import decode_goodbye
from gypsumrouter.link.connection import Connection, ReportedLoad
from gypsumrouter.link.const import (
    DIALER_INTERVAL_FACTOR,
    FLAG_ECHO_REPLY,
    FLAG_ECHO_REQUEST,
    IDLE_FACTOR,
    MAX_HANDSHAKES,
    Kind,
)
from gypsumrouter.link.frames import Frame, FrameError
from gypsumrouter.link.handshake import (
    Accepted,
    HandshakeFailed,
    WrongKey,
    async_server_handshake,
    make_greeting,
    to_seconds,
)
from gypsumrouter.link.listeners import LogOnce
from gypsumrouter.link.liveness import async_run_timer, keep_alive, reset_silence_timer
from gypsumrouter.link.models import Hello, Notice, Open, Status
from gypsumrouter.link.notices import NoticeHub, Peer
from gypsumrouter.link.served import ServedLink
from gypsumrouter.link.status import StatusPublisher
from gypsumrouter.link.table import ExchangeTable, RouterRecord
from gypsumrouter.outcomes import Failed, Reason, Refused
from gypsumrouter.settings import Link

_LOGGER = logging.getLogger(__name__)

ExchangeHandler = Callable[[Hello, Open, Answer], Coroutine[Any, Any, None]]

_NO_HANDLER = Refused(
    reason=Reason.WRONG_UPSTREAM, message="this process has no upstream", elsewhere=True
)
_NO_END = Failed(reason=Reason.UPSTREAM_PROTOCOL, message="the answer broke off")


class LinkServer:
    """Accepts links from other processes; each process has one server."""

    __slots__ = (
        "_app",
        "_connections",
        "_diagnostics",
        "_handler",
        "_handshakes",
        "_key",
        "_listener",
        "_notices",
        "_peers",
        "_released",
        "_reported_load",
        "_settings",
        "_status",
        "_table",
        "_wrong_keys",
    )

    def __init__(
        self,
        *,
        app: Application,
        settings: Link,
        key: bytes,
        notices: NoticeHub,
        handler: ExchangeHandler | None,
        answer_memory_bytes: int,
    ) -> None:
        self._app = app
        self._settings = settings
        self._key = key
        self._notices = notices
        self._handler = handler
        self._diagnostics = notices.get_diagnostics(app)
        self._connections: set[Connection] = set()
        self._peers: dict[Connection, tuple[Peer, RouterRecord]] = {}
        self._handshakes = 0
        self._listener: asyncio.Server | None = None
        self._released = asyncio.Event()
        self._wrong_keys = LogOnce()
        self._reported_load = ReportedLoad()
        self._status = StatusPublisher(
            app=app, connections=self._list_open, reported_load=self._reported_load
        )
        self._table = ExchangeTable(
            clock=app.clock,
            resume_ms=settings.resume_ms,
            connect_ms=settings.connect_ms,
            window_bytes=settings.window_bytes,
            answer_memory_bytes=answer_memory_bytes,
            on_released=self._released.set,
        )

    async def async_start(self) -> Address:
        """Start to listen and return the bound address; raises OSError."""
        loop = asyncio.get_running_loop()
        context = None
        if self._settings.tls is not None:
            context = make_server_context(self._settings.tls)
            files = TlsFiles(app=self._app, tls=self._settings.tls, context=context)
            files.async_start()
        self._listener = await loop.create_server(
            self._make_connection, self._settings.host, self._settings.port, ssl=context
        )
        self._app.on_drain(self._async_drain)
        self._app.on_stop(self._async_stop)
        self._diagnostics.add_part("server", self._dump, lambda: len(self._peers))
        self._app.async_create_task(
            async_run_timer(clock=self._app.clock, settings=self._settings, on_tick=self._tick),
            "link server timer",
        )
        host, port = self._listener.sockets[0].getsockname()[:2]
        return Address(host=host, port=port)

    def publish_status(self, status: Status) -> None:
        """Send the status over open links at a bounded rate; `leaving` and `ready` at once."""
        self._status.publish(status)

    def send_to(self, names: Collection[str], notice: Notice) -> None:
        """Send a notice over the open links of the named processes, ahead of later frames."""
        for peer, _ in tuple(self._peers.values()):
            if peer.hello.name in names:
                peer.send(notice)

    def _make_connection(self) -> Connection:
        connection = Connection(
            clock=self._app.clock,
            counts=self._diagnostics.counts,
            reported_load=self._reported_load,
        )
        self._connections.add(connection)
        self._app.async_create_task(self._async_serve(connection), "link server connection")
        return connection

    async def _async_serve(self, connection: Connection) -> None:
        try:
            accepted = await self._async_handshake(connection)
            if accepted is None:
                return
            record = self._table.attach(connection, accepted)
            if record is None:
                return
            await self._async_serve_router(connection, record)
        finally:
            self._connections.discard(connection)
            connection.close()

    async def _async_handshake(self, connection: Connection) -> Accepted | None:
        if self._handshakes >= MAX_HANDSHAKES:
            return None
        greeting = make_greeting(app=self._app, attempt=0, window_bytes=self._settings.window_bytes)
        self._handshakes += 1
        try:
            async with asyncio.timeout(to_seconds(self._settings.connect_ms)):
                accepted = await async_server_handshake(
                    connection=connection, greeting=greeting, key=self._key
                )
        except WrongKey:
            host = connection.peer_host
            if self._wrong_keys.is_first(host):
                _LOGGER.warning(
                    "Rejected a link from %s: its proof does not match the link key", host
                )
            return None
        except (HandshakeFailed, FrameError, TimeoutError) as error:
            _LOGGER.debug(
                "Handshake with %s failed, closing the connection: %s", connection.peer_host, error
            )
            if isinstance(error, FrameError):
                connection.close_with_goodbye(str(error))
            return None
        finally:
            self._handshakes -= 1
        # A paused process may read the proof late; the exchange table relies on this limit.
        if self._app.clock.now_ms() - connection.opened_ms > self._settings.connect_ms:
            return None
        return accepted

    async def _async_serve_router(self, connection: Connection, record: RouterRecord) -> None:
        peer = Peer(hello=record.hello, connection=connection, dialed=False)
        self._peers[connection] = (peer, record)
        connection.raise_frame_limit()
        connection.send(Kind.WELCOME)
        self._status.send_initial(connection)
        _LOGGER.debug("Accepted a link from %s", record.hello.name)
        served = ServedLink(table=self._table, record=record, connection=connection, run=self._run)
        try:
            while (frame := await connection.async_read()) is not None:
                self._on_frame(peer, connection, served, frame)
        except FrameError as error:
            _LOGGER.warning("Closing the link from %s: %s", record.hello.name, error)
            connection.close_with_goodbye(str(error))
        finally:
            del self._peers[connection]
            self._table.detach(record, connection)

    def _on_frame(
        self, peer: Peer, connection: Connection, served: ServedLink, frame: Frame
    ) -> None:
        if served.receive(frame):
            return
        match frame.kind:
            case Kind.HEARTBEAT:
                if frame.flags & FLAG_ECHO_REQUEST:
                    connection.send(Kind.HEARTBEAT, flags=FLAG_ECHO_REPLY)
            case Kind.GOODBYE:
                raise FrameError(f"the dialer closed it: {decode_goodbye(frame.body)}")
            case _:
                self._notices.receive(peer, frame)

    def _run(self, hello: Hello, request: Open, answer: Answer) -> None:
        if self._handler is None:
            answer.fail(_NO_HANDLER)
            return
        self._app.async_create_task(
            self._async_handle(self._handler, hello, request, answer),
            f"exchange {request.request_id}",
        )

    async def _async_handle(
        self, handler: ExchangeHandler, hello: Hello, request: Open, answer: Answer
    ) -> None:
        try:
            await handler(hello, request, answer)
        except InvariantBroken:
            raise
        except Exception:
            _LOGGER.exception(
                "Unexpected exception in the handler of request %s", request.request_id
            )
        if not answer.ended:
            answer.fail(_NO_END)

    def _list_open(self) -> list[Connection]:
        return [connection for connection in self._peers if not connection.closed]

    def _tick(self, now_ms: int, late: bool) -> None:
        self._table.sweep()
        self._diagnostics.publish()
        for connection, (peer, record) in tuple(self._peers.items()):
            if late:
                reset_silence_timer(connection, now_ms)
            keep_alive(
                connection=connection,
                busy=record.busy,
                now_ms=now_ms,
                heartbeat_ms=self._settings.heartbeat_ms,
                silence_ms=self._settings.silence_ms * DIALER_INTERVAL_FACTOR,
                name=peer.hello.name,
            )
            idle_ms = now_ms - connection.last_received_ms
            if idle_ms > IDLE_FACTOR * self._settings.idle_close_ms:
                connection.abort()

    async def _async_drain(self) -> None:
        """Wait until all current answers have been confirmed or discarded."""
        answers = [answer for record in self._table.routers() for answer in record.answers.values()]
        while any(not answer.dropped for answer in answers):
            self._released.clear()
            await self._released.wait()

    async def _async_stop(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self._connections):
            connection.close()

    def _dump(self) -> object:
        return {
            "answer_memory_bytes": self._table.memory.used_bytes,
            "forgotten_before_ms": self._table.forgotten_before_ms,
            "routers": [
                {
                    "name": record.hello.name,
                    "role": record.hello.role.value,
                    "incarnation": record.hello.incarnation,
                    "connected": record.connection is not None,
                    "exchanges": len(record.answers),
                    "floor": record.floor,
                }
                for record in self._table.routers()
            ],
        }
