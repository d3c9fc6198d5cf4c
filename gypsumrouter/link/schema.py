"""The Cap'n Proto schema, loaded once, and safe reading of its messages."""

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
def reading(kind: Any, body: bytes) -> Iterator[Any]:
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
def reading_packed(kind: Any, body: bytes, *, max_bytes: int = MAX_PACKED_BYTES) -> Iterator[Any]:
    """Give a reader of the packed `body`; whatever is wrong with it becomes a FrameError.

    Packing leaves out zeros, so that few bytes can stand for many: what may be read is bounded by
    `max_bytes`.
    """
    if len(body) > max_bytes:
        raise FrameError(f"a packed message of {len(body)} bytes is too long")
    limit = max_bytes * _UNPACKED_WORDS_PER_BYTE
    try:
        yield kind.from_bytes_packed(body, traversal_limit_in_words=limit)
    except _DECODE_ERRORS as error:
        raise FrameError(f"a malformed message: {type(error).__name__}") from None


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
