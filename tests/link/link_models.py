"""Links and answers as the state machine test models them, without a network."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import cast

from gypsumrouter.link import Answer
from gypsumrouter.link.connection import Connection, FrameSource
from gypsumrouter.link.const import Kind
from gypsumrouter.link.frames import OFFSET, Frame
from gypsumrouter.link.served import ServedLink


class WireEnd:
    """One end of a simulated link; the state machine delivers its frames."""

    def __init__(self) -> None:
        self.closed = False
        self.wire: deque[Frame] = deque()
        self.ready: dict[FrameSource, None] = {}

    def send(self, kind: Kind, *, stream: int = 0, body: bytes = b"", flags: int = 0) -> None:
        if not self.closed:
            self.wire.append(Frame(kind, flags, stream, body))

    def send_data(self, stream: int, offset: int, body: bytes) -> None:
        self.send(Kind.DATA, stream=stream, body=OFFSET.pack(offset) + body)

    def mark_ready(self, source: FrameSource) -> None:
        if not self.closed:
            self.ready[source] = None

    def flush(self) -> None:
        while self.ready:
            source = next(iter(self.ready))
            del self.ready[source]
            source.pump(cast(Connection, self))

    def abort(self) -> None:
        self.closed = True
        self.ready.clear()


@dataclass
class ModelLink:
    """A link with both ends; one end may be lost while the other is still open."""

    attempt: int
    challenged_ms: int
    dialer: WireEnd = field(default_factory=WireEnd)
    server: WireEnd = field(default_factory=WireEnd)
    served: ServedLink | None = None


@dataclass
class ModelRun:
    """The answer that the side wrote for one sequence."""

    answer: Answer
    written: bytearray = field(default_factory=bytearray)
    ended: bool = False
