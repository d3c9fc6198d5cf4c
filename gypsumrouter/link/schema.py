"""The Cap'n Proto schema, loaded once, and safe decoding of its messages."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

import capnp

from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.models import PoolLoad

capnp.remove_import_hook()
SCHEMA: Final[Any] = capnp.load(str(Path(__file__).with_name("messages.capnp")))

MAX_PACKED_BYTES: Final = 16 * 1024

_WORD_BYTES: Final = 8
_READS_PER_WORD: Final = 4
_SPARE_WORDS: Final = 256
_UNPACKED_WORDS_PER_BYTE: Final = 4
# A tag says which of the next eight bytes are there; these two are followed by a count of words.
_TAG_ZEROS: Final = 0x00
_TAG_FULL: Final = 0xFF
# A table of segments has a number of four bytes for each of them, and one for how many there are.
_SIZE_BYTES: Final = 4
_MAX_SEGMENTS: Final = 64
# How many bytes a tag stands for, itself included.
_TAG_BYTES: Final = bytes(1 + tag.bit_count() for tag in range(256))
_DECODE_ERRORS: Final = (capnp.KjException, UnicodeError, ValueError, OverflowError)


def to_bytes(message: Any) -> bytes:
    """Return a message as bytes."""
    body: bytes = message.to_bytes()
    return body


def to_packed(message: Any) -> bytes:
    """Return a small message as bytes without its runs of zeros."""
    body: bytes = message.to_bytes_packed()
    return body


@contextmanager
def open_message(kind: Any, body: bytes) -> Iterator[Any]:
    """Give a reader of `body`; whatever is wrong with it becomes a FrameError.

    The limit on what may be read follows from the length of the body, since a short message can
    claim lists of any length.
    """
    limit = len(body) // _WORD_BYTES * _READS_PER_WORD + _SPARE_WORDS
    try:
        with kind.from_bytes(body, traversal_limit_in_words=limit) as message:
            yield message
    except _DECODE_ERRORS as error:
        raise FrameError(f"a malformed message: {type(error).__name__}") from None


@contextmanager
def open_packed_message(
    kind: Any, body: bytes, *, max_bytes: int = MAX_PACKED_BYTES
) -> Iterator[Any]:
    """Give a reader of the packed `body`; whatever is wrong with it becomes a FrameError.

    Packing leaves out zeros, so that few bytes can stand for many: what may be read is bounded by
    `max_bytes`.
    """
    if len(body) > max_bytes:
        raise FrameError(f"a packed message of {len(body)} bytes is too long")
    _check_packing(body)
    limit = max_bytes * _UNPACKED_WORDS_PER_BYTE
    try:
        yield kind.from_bytes_packed(body, traversal_limit_in_words=limit)
    except _DECODE_ERRORS as error:
        raise FrameError(f"a malformed message: {type(error).__name__}") from None


def _check_packing(body: bytes) -> None:
    """Check that a packed message holds as many words as it says; raises FrameError.

    The library ends the process where a message breaks off before its last word.
    """
    words = _count_words(body)
    segments = 1 + int.from_bytes(_unpack_start(body, _SIZE_BYTES)[:_SIZE_BYTES], "little")
    if segments > _MAX_SEGMENTS:
        raise FrameError(f"a malformed message: {segments} segments")
    table_bytes = _SIZE_BYTES * (1 + segments)
    table = _unpack_start(body, table_bytes)[:table_bytes]
    sizes = (
        int.from_bytes(table[at : at + _SIZE_BYTES], "little")
        for at in range(_SIZE_BYTES, len(table), _SIZE_BYTES)
    )
    # The table fills up its last word.
    if words != segments // 2 + 1 + sum(sizes):
        raise FrameError("a malformed message: it breaks off")


def _count_words(body: bytes) -> int:
    """Return how many words a packed message stands for; raises FrameError."""
    at, words, size = 0, 0, len(body)
    while at < size:
        tag = body[at]
        at += _TAG_BYTES[tag]
        words += 1
        if tag in (_TAG_ZEROS, _TAG_FULL):
            if at >= size:
                raise FrameError("a malformed message: it breaks off")
            count = body[at]
            words += count
            at += 1 + (count * _WORD_BYTES if tag == _TAG_FULL else 0)
    if at != size:
        raise FrameError("a malformed message: it breaks off")
    return words


def _unpack_start(body: bytes, size: int) -> bytes:
    """Return the first words of a packed message, `size` bytes or some more."""
    start = bytearray()
    at = 0
    while at < len(body) and len(start) < size:
        tag = body[at]
        at += 1
        for bit in range(_WORD_BYTES):
            present = tag >> bit & 1
            start.append(body[at] if present else 0)
            at += present
        if tag == _TAG_ZEROS:
            start += bytes(body[at] * _WORD_BYTES)
            at += 1
        elif tag == _TAG_FULL:
            end = at + 1 + body[at] * _WORD_BYTES
            start += body[at + 1 : end]
            at = end
    return bytes(start)


def set_pool_load(message: Any, load: PoolLoad | None) -> None:
    """Write a pool's load into a message that has a place for it."""
    if load is None:
        return
    target = message.init("poolLoad")
    target.mean = load.mean
    target.known = load.known
    target.members = load.members
    target.ageMs = load.age_ms


def read_pool_load(message: Any) -> PoolLoad | None:
    """Return a pool's load from a message, if it is there."""
    if not message._has("poolLoad"):
        return None
    load = message.poolLoad
    return PoolLoad(mean=load.mean, known=load.known, members=load.members, age_ms=load.ageMs)
