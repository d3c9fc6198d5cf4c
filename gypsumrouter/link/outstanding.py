"""The exchanges of a dialed link that have not ended, and the frames sent for them."""

from __future__ import annotations

from gypsumrouter.link.codec import (
    Resume,
    decode_end,
    decode_failure,
    decode_goodbye,
    decode_head,
    encode_confirm,
    encode_resume,
)
from gypsumrouter.link.connection import Connection
from gypsumrouter.link.const import (
    CONFIRMS_PER_WINDOW,
    FLAG_CONFIRM_REQUEST,
    FLAG_ECHO_REPLY,
    FLAG_FINAL,
    Kind,
)
from gypsumrouter.link.exchange import Exchange
from gypsumrouter.link.frames import KIND_DATA, OFFSET_BYTES, Frame, FrameError, unpack_offset
from gypsumrouter.link.models import Open
from gypsumrouter.outcomes import Failure
from gypsumrouter.settings import Link
from gypsumrouter.util.clock import Clock


class Outstanding:
    """Exchanges by sequence, in ascending order, and cancellations that may have to be resent."""

    __slots__ = (
        "_clock",
        "_confirm_bytes",
        "_connection",
        "_exchanges",
        "_sent_cancels",
        "_silence_ms",
        "_unsent_cancels",
        "_window_bytes",
    )

    def __init__(self, *, clock: Clock, settings: Link) -> None:
        self._clock = clock
        self._window_bytes = settings.window_bytes
        self._confirm_bytes = settings.window_bytes // CONFIRMS_PER_WINDOW
        self._connection: Connection | None = None
        self._exchanges: dict[int, Exchange] = {}
        self._unsent_cancels: set[int] = set()
        self._sent_cancels: dict[int, int] = {}
        self._silence_ms = settings.silence_ms

    def __len__(self) -> int:
        return len(self._exchanges) + len(self._unsent_cancels)

    def add(self, request: Open) -> Exchange:
        """Add an exchange whose OPEN frame is sent next."""
        exchange = Exchange(request=request, owner=self, opened_ms=self._clock.now_ms())
        self._exchanges[request.sequence] = exchange
        return exchange

    def attach(self, connection: Connection, window_bytes: int) -> None:
        """Resume all exchanges over a new link to the same incarnation, in ascending order."""
        self._connection = connection
        window_bytes = min(self._window_bytes, window_bytes)
        self._confirm_bytes = max(1, window_bytes // CONFIRMS_PER_WINDOW)
        for sequence in sorted(self._unsent_cancels):
            connection.send(Kind.CANCEL, stream=sequence)
        self._unsent_cancels.clear()
        now_ms = self._clock.now_ms()
        for sequence, exchange in self._exchanges.items():
            resume = Resume(
                offset=exchange.received,
                has_head=exchange.has_head,
                age_ms=now_ms - exchange.opened_ms,
            )
            connection.send(Kind.RESUME, stream=sequence, body=encode_resume(resume))
            exchange.confirm_sent = 0
            exchange.arrived = False
            self.confirm(exchange, exchange.confirmed)

    def detach(self) -> None:
        """Record that the link is lost; recent cancellations are sent again over the next link."""
        self._connection = None
        self._expire_cancels()
        self._unsent_cancels.update(self._sent_cancels)
        self._sent_cancels.clear()

    def fail_all(self, failure: Failure) -> None:
        """Fail all exchanges."""
        self._unsent_cancels.clear()
        for exchange in tuple(self._exchanges.values()):
            exchange.fail(failure)

    def receive(self, frame: Frame) -> bool:
        """Handle a frame of an exchange or of the link itself; return False for other frames.

        Late frames of exchanges that have ended are dropped. Raises FrameError.
        """
        exchange = self._exchanges.get(frame.stream)
        if frame.kind == KIND_DATA:
            offset = unpack_offset(frame.body)
            if exchange is not None:
                exchange.receive_data(offset, frame.body[OFFSET_BYTES:])
            return True
        match frame.kind:
            case Kind.HEAD:
                head = decode_head(frame.body)
                if exchange is not None:
                    exchange.receive_head(head)
            case Kind.END:
                end = decode_end(frame.body)
                if exchange is not None:
                    exchange.receive_end(end)
            case Kind.REFUSED | Kind.FAILED:
                failure = decode_failure(frame.kind, frame.body)
                if exchange is not None:
                    exchange.fail(failure)
            case Kind.HEARTBEAT:
                self._handle_heartbeat(frame.flags)
            case Kind.GOODBYE:
                raise FrameError(f"the server closed it: {decode_goodbye(frame.body)}")
            case _:
                return False
        return True

    def confirm(self, exchange: Exchange, offset: int) -> None:
        """Send a confirmation when the unconfirmed bytes exceed a fraction of the window."""
        if offset - exchange.confirm_sent >= self._confirm_bytes:
            self._send_confirm(exchange)

    def has_undelivered(self, *, since_ms: int) -> bool:
        """Return whether a request sent by `since_ms` is not known to have reached the server."""
        return any(
            not exchange.arrived and exchange.opened_ms <= since_ms
            for exchange in self._exchanges.values()
        )

    def finish(self, exchange: Exchange) -> None:
        """Let the server discard an exchange that has ended."""
        self._exchanges.pop(exchange.sequence, None)
        if self._connection is not None:
            self._connection.send(Kind.CONFIRM, stream=exchange.sequence, flags=FLAG_FINAL)

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange at the server, over this link or else the next one."""
        if self._exchanges.pop(exchange.sequence, None) is None:
            return
        if self._connection is None or self._connection.closed:
            self._unsent_cancels.add(exchange.sequence)
            return
        self._connection.send(Kind.CANCEL, stream=exchange.sequence)
        self._expire_cancels()
        self._sent_cancels[exchange.sequence] = self._clock.now_ms()

    def _expire_cancels(self) -> None:
        """Discard cancellations sent so long ago that a link lost since then had delivered them."""
        oldest_ms = self._clock.now_ms() - self._silence_ms
        while self._sent_cancels:
            sequence, sent_ms = next(iter(self._sent_cancels.items()))
            if sent_ms >= oldest_ms:
                return
            del self._sent_cancels[sequence]

    def _handle_heartbeat(self, flags: int) -> None:
        if flags & FLAG_CONFIRM_REQUEST:
            self._confirm_all()
        if flags & FLAG_ECHO_REPLY:
            self._handle_echo()

    def _handle_echo(self) -> None:
        """Mark the requests that were sent before the echo request as received by the server."""
        if self._connection is None or self._connection.echo_requested_ms is None:
            return
        asked_ms = self._connection.echo_requested_ms
        self._connection.echo_requested_ms = None
        for exchange in self._exchanges.values():
            if exchange.opened_ms < asked_ms:
                exchange.arrived = True

    def _confirm_all(self) -> None:
        for exchange in self._exchanges.values():
            if exchange.confirmed > exchange.confirm_sent:
                self._send_confirm(exchange)

    def _send_confirm(self, exchange: Exchange) -> None:
        if self._connection is None:
            return
        exchange.confirm_sent = exchange.confirmed
        body = encode_confirm(exchange.confirmed)
        self._connection.send(Kind.CONFIRM, stream=exchange.sequence, body=body)
