"""Framing of the link protocol: a fixed header, then a body of bounded length."""

from __future__ import annotations

import struct
from typing import Final, NamedTuple, NoReturn

from gypsumrouter.link.const import KIND_VALUES, LOAD_KINDS, MAX_FRAME_BYTES, Kind

HEADER: Final = struct.Struct("<IBBHQ")
HEADER_BYTES: Final = HEADER.size
OFFSET: Final = struct.Struct("<Q")
OFFSET_BYTES: Final = OFFSET.size
DATA_HEADER: Final = struct.Struct("<IBBHQQ")

# A plain integer: the lookup of an enum member is too slow for each frame.
KIND_DATA: Final = int(Kind.DATA)


class FrameError(Exception):
    """The peer sent an invalid frame, or one that is not allowed in the current state."""


class Frame(NamedTuple):
    """One frame; `stream` is the sequence of its exchange, or 0 if it belongs to none.

    `load` is the load of the sender's upstream plus one, or 0 if it is not reported.
    """

    kind: int
    flags: int
    stream: int
    body: bytes
    load: int = 0


def pack_frame(kind: int, flags: int, stream: int, body: bytes, load: int = 0) -> bytes:
    """Encode a frame."""
    return HEADER.pack(len(body), kind, flags, load, stream) + body


def pack_data_header(stream: int, offset: int, length: int) -> bytes:
    """Encode the header of a DATA frame that carries `length` bytes of an answer's body."""
    return DATA_HEADER.pack(length + OFFSET_BYTES, KIND_DATA, 0, 0, stream, offset)


def unpack_offset(body: bytes) -> int:
    """Decode the offset at the start of a DATA frame's body; raises FrameError."""
    if len(body) < OFFSET_BYTES:
        raise FrameError("a DATA frame is too short")
    offset: int = OFFSET.unpack_from(body)[0]
    return offset


class FrameReader:
    """Parses a stream of bytes into frames; `limit` is the maximum length of a body."""

    __slots__ = ("_buffered", "_needed", "limit")

    def __init__(self, *, limit: int = MAX_FRAME_BYTES) -> None:
        self.limit = limit
        self._buffered = bytearray()
        self._needed = HEADER_BYTES

    @property
    def partial(self) -> bool:
        """Return whether part of a frame has been received."""
        return bool(self._buffered)

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are now complete; raises FrameError."""
        if self._buffered:
            self._buffered += data
            if len(self._buffered) < self._needed:
                return []
            data = bytes(self._buffered)
        frames: list[Frame] = []
        begin = self._cut(data, frames)
        self._buffered = bytearray(data[begin:])
        return frames

    def _cut(self, data: bytes, frames: list[Frame]) -> int:
        begin = 0
        size = len(data)
        limit = self.limit
        unpack_from = HEADER.unpack_from
        while size - begin >= HEADER_BYTES:
            length, kind, flags, load, stream = unpack_from(data, begin)
            if length > limit or kind not in KIND_VALUES or (load and kind not in LOAD_KINDS):
                self._reject(length, kind)
            end = begin + HEADER_BYTES + length
            if end > size:
                self._needed = end - begin
                return begin
            frames.append(Frame(kind, flags, stream, data[begin + HEADER_BYTES : end], load))
            begin = end
        self._needed = HEADER_BYTES
        return begin

    def _reject(self, length: int, kind: int) -> NoReturn:
        if length > self.limit:
            raise FrameError(f"a frame of {length} bytes is longer than {self.limit}")
        raise FrameError(f"a frame of unknown kind {kind}")
