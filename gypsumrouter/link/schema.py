"""The Cap'n Proto schema, loaded once, and safe decoding of its messages."""

from __future__ import annotations

import logging
import struct
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final, TypeVar

import capnp

from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.listeners import LogOnce
from gypsumrouter.link.models import PoolLoad

_LOGGER = logging.getLogger(__name__)
_T = TypeVar("_T")
_LOGGED: Final = LogOnce()

capnp.remove_import_hook()
SCHEMA: Final[Any] = capnp.load(str(Path(__file__).with_name("messages.capnp")))

MAX_PACKED_BYTES: Final = 16 * 1024

_WORD_BYTES: Final = 8
_READS_PER_WORD: Final = 4
_SPARE_WORDS: Final = 256
_UNPACKED_WORDS_PER_BYTE: Final = 4
# In the packed encoding a tag byte precedes each word; its bits mark the bytes that are not zero.
# These two tags are followed by a count of words: of zero words, and of unpacked words.
_TAG_ZEROS: Final = 0x00
_TAG_FULL: Final = 0xFF
# The segment table consists of 32-bit numbers: the number of segments, then the size of each.
_SIZE_BYTES: Final = 4
_MAX_SEGMENTS: Final = 64
# Encoded size of a word by its tag, including the tag.
_TAG_BYTES: Final = bytes(1 + tag.bit_count() for tag in range(256))
# Raised when a value does not fit its field: a number out of range, or text that is not Unicode.
ENCODE_ERRORS: Final = (
    capnp.KjException,
    OverflowError,
    TypeError,
    ValueError,
    struct.error,
)
_DECODE_ERRORS: Final = (capnp.KjException, UnicodeError, ValueError, OverflowError)


def write_list(
    message: Any, field: str, items: Sequence[_T], write: Callable[[Any, _T], None]
) -> tuple[_T, ...]:
    """Set a list field of a message; return the items that were left out.

    An item that does not fit its fields is left out by itself. This is logged once for each field
    and type of error, as most messages are sent several times a second.
    """
    sound: list[_T] = []
    left_out: list[_T] = []
    errors: list[Exception] = []
    for target, item in zip(message.init(field, len(items)), items, strict=True):
        try:
            write(target, item)
        except ENCODE_ERRORS as error:
            errors.append(error)
            left_out.append(item)
        else:
            sound.append(item)
    if not errors:
        return ()
    for target, item in zip(message.init(field, len(sound)), sound, strict=True):
        write(target, item)
    if _LOGGED.is_first(f"{field} {type(errors[0]).__name__}"):
        _LOGGER.error(
            "Left out %d of %d %s of a message that can't carry them: %.200r; logged once",
            len(errors),
            len(items),
            field,
            errors[0],
        )
    return tuple(left_out)


def to_bytes(message: Any) -> bytes:
    """Encode a message."""
    body: bytes = message.to_bytes()
    return body


def to_packed(message: Any) -> bytes:
    """Encode a message in the packed form, which leaves out zero bytes."""
    body: bytes = message.to_bytes_packed()
    return body


@contextmanager
def open_message(kind: Any, body: bytes) -> Iterator[Any]:
    """Decode `body` within the context; raises FrameError if it is malformed.

    The traversal limit is derived from the length of the body, as a short message can declare lists
    of any length.
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
    """Decode the packed `body` within the context; raises FrameError if it is malformed.

    A packed message can expand to many times its size, so the traversal limit is derived from
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
    """Check that a packed message has as many words as its segment table declares.

    Raises FrameError. The library aborts the process if a packed message is truncated.
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
    # The segment table is padded to a whole word.
    if words != segments // 2 + 1 + sum(sizes):
        raise FrameError("a malformed message: it breaks off")


def _count_words(body: bytes) -> int:
    """Return the number of words that a packed message expands to; raises FrameError."""
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
    """Unpack the start of a packed message: at least `size` bytes if it has as many."""
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
    """Set the `poolLoad` field of a message unless `load` is None."""
    if load is None:
        return
    target = message.init("poolLoad")
    target.mean = load.mean
    target.known = load.known
    target.members = load.members
    target.ageMs = load.age_ms


def read_pool_load(message: Any) -> PoolLoad | None:
    """Return the `poolLoad` field of a message, or None if it is not set."""
    if not message._has("poolLoad"):
        return None
    load = message.poolLoad
    return PoolLoad(mean=load.mean, known=load.known, members=load.members, age_ms=load.ageMs)
