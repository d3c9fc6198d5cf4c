"""Parsing of idempotency keys and of the creation time in UUIDv7 and ULID keys."""

from __future__ import annotations

import re
from typing import Final

from msgspec import Struct

from gypsumrouter.helpers.numbers import read_hexadecimal
from gypsumrouter.idempotency.const import MAX_KEY_LENGTH
from gypsumrouter.outcomes import Reason, Refused

_ALLOWED: Final = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_LENGTH}}}")
_UUID7: Final = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}", re.IGNORECASE
)
_ULID: Final = re.compile(r"([0-7][0-9A-HJKMNP-TV-Z]{9})[0-9A-HJKMNP-TV-Z]{16}", re.IGNORECASE)
_CROCKFORD: Final = {digit: value for value, digit in enumerate("0123456789ABCDEFGHJKMNPQRSTVWXYZ")}
_CROCKFORD_BITS: Final = 5


class Key(Struct, frozen=True, kw_only=True):
    """An idempotency key; `created_ms` is its encoded creation time, None if it is opaque."""

    text: str
    created_ms: int | None


def parse_key(text: str) -> Key | Refused:
    """Return the key, with its creation time if it is a UUIDv7 or a ULID, or why it is invalid."""
    if not text:
        return Refused(
            reason=Reason.KEY_REQUIRED,
            message="this call must not be repeated and needs an Idempotency-Key, best a UUIDv7",
        )
    if not _ALLOWED.fullmatch(text):
        return Refused(
            reason=Reason.KEY_INVALID,
            message=f"an Idempotency-Key has 1 to {MAX_KEY_LENGTH} visible ASCII characters",
        )
    return Key(text=text, created_ms=_read_created_ms(text))


def _read_created_ms(text: str) -> int | None:
    uuid = _UUID7.fullmatch(text)
    if uuid:
        return read_hexadecimal(uuid[1] + uuid[2])
    ulid = _ULID.fullmatch(text)
    if ulid:
        return _decode_crockford(ulid[1].upper())
    return None


def _decode_crockford(digits: str) -> int:
    value = 0
    for digit in digits:
        value = value << _CROCKFORD_BITS | _CROCKFORD[digit]
    return value
