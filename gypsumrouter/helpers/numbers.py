"""Numbers in text and JSON from outside: strict readers that never raise.

Only ASCII digits count, so signs, underscores, exponents, spaces, `nan`, `inf` and digits of other
scripts are no number. The length is bounded, because converting thousands of digits fails.
"""

from __future__ import annotations

import re
from typing import Final, TypeAlias

from gypsumrouter.util.validation import MAX_JSON_INTEGER

# 64-bit numbers have up to 20 digits; the same bound holds for each side of a decimal point.
MAX_DIGITS: Final = 20
MAX_NUMBER: Final = 10**MAX_DIGITS - 1
MAX_PORT: Final = 65_535
# Two hexadecimal digits for each byte of the longest common hash.
MAX_HEXADECIMAL_DIGITS: Final = 128
HEXADECIMAL_BASE: Final = 16

# How many digits there are without leading zeros, and which.
Digits: TypeAlias = tuple[int, str]

# Optional white space in headers (RFC 9110).
_SPACES: Final = " \t"
_DIGITS: Final = re.compile(r"[0-9]+")
_WHOLE: Final = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}")
_DECIMAL: Final = re.compile(
    rf"[0-9]{{1,{MAX_DIGITS}}}(\.[0-9]{{0,{MAX_DIGITS}}})?|\.[0-9]{{1,{MAX_DIGITS}}}"
)
_HEXADECIMAL: Final = re.compile(rf"[0-9A-Fa-f]{{1,{MAX_HEXADECIMAL_DIGITS}}}")


def read_number(
    text: str | None, *, smallest: int = 0, largest: int = MAX_NUMBER, cap: int | None = None
) -> int | None:
    """Return the whole number that a text states; None if it is none or out of range.

    A number above `cap` is returned as `cap`.
    """
    if text is None or _WHOLE.fullmatch(text) is None:
        return None
    number = int(text)
    if not smallest <= number <= largest:
        return None
    return number if cap is None else min(number, cap)


def read_digits(text: str | None) -> Digits | None:
    """Return digits of any length so that they compare as a number, None for other text."""
    if text is None or _DIGITS.fullmatch(text) is None:
        return None
    digits = text.lstrip("0")
    return len(digits), digits


def read_numbers(text: str | None, *, largest: int = MAX_NUMBER) -> tuple[int, ...] | None:
    """Return the whole numbers between commas and spaces; None if one is none or too large."""
    numbers: list[int] = []
    for part in (text or "").split(","):
        number = read_number(part.strip(_SPACES), largest=largest)
        if number is None:
            return None
        numbers.append(number)
    return tuple(numbers)


def read_decimal(text: str | None, *, cap: float | None = None) -> float | None:
    """Return the number, fractions included, that a text states; None if it is none.

    A number above `cap` is returned as `cap`.
    """
    if text is None or _DECIMAL.fullmatch(text) is None:
        return None
    number = float(text)
    return number if cap is None else min(number, cap)


def read_hexadecimal(text: str | None, *, mask: int = -1) -> int | None:
    """Return the number that hexadecimal digits without a prefix state; None if they are none.

    Only the bits in `mask` are kept.
    """
    if text is None or _HEXADECIMAL.fullmatch(text) is None:
        return None
    return int(text, HEXADECIMAL_BASE) & mask


def read_json_number(
    value: object, *, smallest: int = 0, largest: int = MAX_JSON_INTEGER
) -> int | None:
    """Return a decoded JSON value if it is a whole number in the range, else None."""
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value if smallest <= value <= largest else None
