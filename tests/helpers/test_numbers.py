"""Numbers in text from outside: what is one, and that nothing else is taken for one."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumrouter.helpers.http_headers import (
    find_keep_alive_timeout,
    read_keep_alive_ms,
    read_retry_after_ms,
)
from gypsumrouter.helpers.numbers import (
    MAX_NUMBER,
    read_decimal,
    read_hexadecimal,
    read_json_number,
    read_number,
    read_numbers,
)
from gypsumrouter.util.validation import MAX_JSON_INTEGER

# No reader takes any of these for a number.
ODD = [
    None,
    "",
    " ",
    "-1",
    "+1",
    " 1",
    "1 ",
    "1\n",
    "1_0",
    "1,0",
    "1e3",
    "1e400",
    "0x1f",
    "nan",
    "inf",
    "-inf",
    "²",
    "٣",
    "\uff11",
    "९",
    "1²",
    "1\x00",
    "\udcb2",
    "9" * 6_000,
    "0" * 6_000,
]


@pytest.mark.parametrize("text", [*ODD, "1.0", "1.", ".5", "a", "9" * 21])
def test_text_that_is_nearly_a_whole_number_is_none(text: str | None) -> None:
    """Guards against an exception of `int`, or a number that nobody stated."""
    assert read_number(text) is None


@pytest.mark.parametrize("text", [*ODD, ".", "1.2.3", "9" * 21, "1." + "9" * 6_000])
def test_text_that_is_nearly_a_decimal_number_is_none(text: str | None) -> None:
    """Guards against `float`, which takes signs, underscores, exponents, nan and inf."""
    assert read_decimal(text) is None


@pytest.mark.parametrize("text", [t for t in ODD if t != "1e3" and t != "1e400"] + ["g", "1:"])
def test_text_that_is_nearly_hexadecimal_is_none(text: str | None) -> None:
    assert read_hexadecimal(text) is None


@pytest.mark.parametrize(
    "value",
    [None, True, False, "1", 1.0, -1, MAX_JSON_INTEGER + 1, 10**4_000, float("nan"), [1], {}],
)
def test_json_value_that_is_no_count_is_none(value: object) -> None:
    """Guards against `int` of a decoded value, which takes booleans, texts and fractions."""
    assert read_json_number(value) is None


@pytest.mark.parametrize(
    ("text", "number"),
    [("0", 0), ("007", 7), ("65535", 65_535), (str(MAX_NUMBER), MAX_NUMBER)],
)
def test_plain_number_is_read(text: str, number: int) -> None:
    assert read_number(text) == number
    assert read_decimal(text) == float(number)


@pytest.mark.parametrize(
    ("text", "number"),
    [("0.25", 0.25), (".5", 0.5), ("1.", 1.0), ("0.30000000000000004", 0.1 + 0.2)],
)
def test_fraction_is_read(text: str, number: float) -> None:
    assert read_decimal(text) == number


def test_hexadecimal_digits_are_read() -> None:
    assert read_hexadecimal("5c1e07A2") == 0x5C1E07A2
    assert read_hexadecimal("f" * 128) == 16**128 - 1
    assert read_hexadecimal("f" * 129) is None
    assert read_hexadecimal("1ff", mask=0xFF) == 0xFF


def test_range_and_cap_hold() -> None:
    assert read_number("5", smallest=6) is None
    assert read_number("5", largest=4) is None
    assert read_number("5", cap=4) == 4
    assert read_decimal("4.1", cap=4.0) == 4.0
    assert read_numbers("1, 2\t,3", largest=3) == (1, 2, 3)
    assert read_numbers("1,2,3", largest=2) is None
    assert read_json_number(MAX_JSON_INTEGER) == MAX_JSON_INTEGER
    assert read_json_number(4, smallest=5) is None


@given(st.text(max_size=40) | st.text(alphabet="0123456789.+-_eExn ²٣\uff11", max_size=40))
def test_no_text_raises(text: str) -> None:
    """Guards against an exception, and against a figure that is not written in ASCII digits."""
    whole, decimal = read_number(text), read_decimal(text)
    read_hexadecimal(text)
    read_numbers(text)
    assert (whole is not None) == (text.isascii() and text.isdigit() and len(text) <= 20)
    assert decimal is None or 0 <= decimal < 10 ** len(text)


@given(st.recursive(st.none() | st.booleans() | st.integers() | st.floats() | st.text(), st.lists))
def test_no_json_value_raises(value: object) -> None:
    number = read_json_number(json.loads(json.dumps(value)))
    assert number is None or number == value


@pytest.mark.parametrize(
    ("value", "keep_alive_ms"),
    [
        ("timeout=5", 5_000),
        ("max=9, Timeout=5", 5_000),
        ("timeout=99999999999", 86_400_000),
        ("max=9", None),
        (None, None),
        *(
            (f"timeout={text}", None)
            for text in ODD
            if text and text.strip() == text and "," not in text
        ),
    ],
)
def test_keep_alive_that_is_no_number_counts_as_absent(
    value: str | None, keep_alive_ms: int | None
) -> None:
    timeout = find_keep_alive_timeout(value)
    assert (None if timeout is None else read_keep_alive_ms(timeout)) == keep_alive_ms


@pytest.mark.parametrize(
    ("value", "retry_after_ms"),
    [("2", 2_000), ("0.0301", 31), ("0", 0), ("86400", None), *((text, None) for text in ODD)],
)
def test_retry_after_that_is_no_number_counts_as_absent(
    value: str | None, retry_after_ms: int | None
) -> None:
    """Guards against `float`, which takes `1_0` for ten seconds."""
    assert read_retry_after_ms(value) == retry_after_ms
