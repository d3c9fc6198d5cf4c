"""Frames on the wire: a fixed header, then a body of bounded length."""

from __future__ import annotations

import struct
from typing import Final, NamedTuple

from gypsumrouter.link.const import KIND_VALUES, MAX_FRAME_BYTES, Kind

HEADER: Final = struct.Struct("<IBBHQ")
HEADER_BYTES: Final = HEADER.size
OFFSET: Final = struct.Struct("<Q")
OFFSET_BYTES: Final = OFFSET.size
DATA_HEADER: Final = struct.Struct("<IBBHQQ")

_KIND_DATA: Final = int(Kind.DATA)


class FrameError(Exception):
    """The peer sent something that is no valid frame, or one that makes no sense here."""


class Frame(NamedTuple):
    """One frame; `stream` is the sequence of an exchange or 0."""

    kind: int
    flags: int
    stream: int
    body: bytes


def pack_frame(kind: int, flags: int, stream: int, body: bytes) -> bytes:
    """Return a frame as bytes."""
    return HEADER.pack(len(body), kind, flags, 0, stream) + body


def pack_data_header(stream: int, offset: int, length: int) -> bytes:
    """Return what goes before `length` raw bytes of an answer."""
    return DATA_HEADER.pack(length + OFFSET_BYTES, _KIND_DATA, 0, 0, stream, offset)


def unpack_offset(body: bytes) -> int:
    """Return the offset that a DATA body begins with; raises FrameError."""
    if len(body) < OFFSET_BYTES:
        raise FrameError("a DATA frame is too short")
    offset: int = OFFSET.unpack_from(body)[0]
    return offset


class FrameReader:
    """Cut a stream of bytes into frames; `limit` bounds the length of a body."""

    __slots__ = ("_needed", "_rest", "limit")

    def __init__(self, *, limit: int = MAX_FRAME_BYTES) -> None:
        self.limit = limit
        self._rest = bytearray()
        self._needed = HEADER_BYTES

    @property
    def partial(self) -> bool:
        """Return whether a frame has begun to arrive."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that are complete with `data`; raises FrameError."""
        if self._rest:
            self._rest += data
            if len(self._rest) < self._needed:
                return []
            data = bytes(self._rest)
        frames: list[Frame] = []
        begin = self._cut(data, frames)
        self._rest = bytearray(data[begin:])
        return frames

    def _cut(self, data: bytes, frames: list[Frame]) -> int:
        begin = 0
        size = len(data)
        while size - begin >= HEADER_BYTES:
            length, kind, flags, zero, stream = HEADER.unpack_from(data, begin)
            self._check(length, kind, zero)
            end = begin + HEADER_BYTES + length
            if end > size:
                self._needed = end - begin
                return begin
            frames.append(Frame(kind, flags, stream, data[begin + HEADER_BYTES : end]))
            begin = end
        self._needed = HEADER_BYTES
        return begin

    def _check(self, length: int, kind: int, zero: int) -> None:
        if length > self.limit:
            raise FrameError(f"a frame of {length} bytes is longer than {self.limit}")
        if kind not in KIND_VALUES or zero != 0:
            raise FrameError(f"a frame of unknown kind {kind}")
