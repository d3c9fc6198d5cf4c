"""Handles the exchange frames that a router sends over an accepted link."""

from __future__ import annotations

from collections.abc import Callable

from gypsumrouter.link.answer import Answer
from gypsumrouter.link.codec import decode_confirm, decode_open, decode_resume, encode_failure
from gypsumrouter.link.connection import Connection
from gypsumrouter.link.const import FLAG_FINAL, Kind
from gypsumrouter.link.frames import Frame
from gypsumrouter.link.models import Hello, Open
from gypsumrouter.link.table import ExchangeTable, RouterRecord
from gypsumrouter.outcomes import Failure

RunExchange = Callable[[Hello, Open, Answer], None]


class ServedLink:
    """Handles the frames of a router's exchanges, and runs new requests."""

    __slots__ = ("_connection", "_record", "_run", "_table")

    def __init__(
        self,
        *,
        table: ExchangeTable,
        record: RouterRecord,
        connection: Connection,
        run: RunExchange,
    ) -> None:
        self._table = table
        self._record = record
        self._connection = connection
        self._run = run

    def receive(self, frame: Frame) -> bool:
        """Handle a frame of an exchange; return False for other frames; raises FrameError.

        Late frames of exchanges that have been discarded are dropped.
        """
        match frame.kind:
            case Kind.CONFIRM:
                self._confirm(frame)
            case Kind.OPEN:
                self._open(frame)
            case Kind.CANCEL:
                self._release(frame.stream)
            case Kind.RESUME:
                self._resume(frame)
            case _:
                return False
        return True

    def _open(self, frame: Frame) -> None:
        request = decode_open(frame.body, frame.stream)
        result = self._table.open(self._record, frame.stream)
        match result:
            case None:
                return
            case Answer():
                self._run(self._record.hello, request, result)
            case _:
                self._send_failure(frame.stream, result)

    def _resume(self, frame: Frame) -> None:
        result = self._table.resume(self._record, frame.stream, decode_resume(frame.body))
        if not isinstance(result, Answer):
            self._send_failure(frame.stream, result)

    def _confirm(self, frame: Frame) -> None:
        if frame.flags & FLAG_FINAL:
            self._release(frame.stream)
            return
        offset = decode_confirm(frame.body)
        answer = self._record.answers.get(frame.stream)
        if answer is not None:
            answer.confirm(offset)

    def _release(self, sequence: int) -> None:
        answer = self._record.answers.get(sequence)
        if answer is not None:
            answer.drop()

    def _send_failure(self, sequence: int, failure: Failure) -> None:
        kind, body = encode_failure(failure)
        self._connection.send(kind, stream=sequence, body=body)
