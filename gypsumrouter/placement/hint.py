"""Placement hints: opaque tokens that a caller returns to reach the same instance again."""

from __future__ import annotations

import base64
import binascii
import struct
from typing import Final

import xxhash

_FORMAT_VERSION: Final = 1
_LAYOUT: Final = struct.Struct(">BQH")
_CHECKSUM_INPUT: Final = struct.Struct(">BQ")
_CHECKSUM_MASK: Final = 0xFFFF
HINT_LENGTH: Final = 15


def encode_hint(digest: int) -> str:
    """Return the hint for the digest of an instance's name."""
    body = _LAYOUT.pack(_FORMAT_VERSION, digest, _compute_checksum(digest))
    return base64.urlsafe_b64encode(body).rstrip(b"=").decode()


def decode_hint(hint: str) -> int | None:
    """Return the digest in a hint, or None if the hint is not valid."""
    if len(hint) != HINT_LENGTH or not hint.isascii():
        return None
    try:
        body = base64.b64decode(hint + "=", altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None
    _version, digest, _checksum = _LAYOUT.unpack(body)
    # Comparing the encoded form rejects other encodings of the same digest and checks the checksum.
    return int(digest) if encode_hint(digest) == hint else None


def _compute_checksum(digest: int) -> int:
    return xxhash.xxh64_intdigest(_CHECKSUM_INPUT.pack(_FORMAT_VERSION, digest)) & _CHECKSUM_MASK
