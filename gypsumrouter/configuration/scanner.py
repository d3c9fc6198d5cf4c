"""Incremental parser for the top level of a JSON document."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Final, NoReturn

from msgspec import Struct

from gypsumrouter.configuration.const import SECTIONS
from gypsumrouter.exceptions import DocumentInvalid, FieldError

_SPACE: Final = re.compile(r"[ \t\n\r]*")
_ROOT: Final = "$"


class Element(Struct, frozen=True, kw_only=True):
    """One element of a section."""

    section: str
    index: int
    value: object


class Member(Struct, frozen=True, kw_only=True):
    """A top-level field that is not the array of a section."""

    name: str
    value: object


def scan_document(document: bytes) -> Iterator[Element | Member]:
    """Yield all top-level fields and section elements in document order.

    Raises DocumentInvalid if the document is not a single JSON object, or if an object has a
    duplicate field, since parsers differ in which of the two values they use.
    """
    return _Scanner(text=_decode(document)).scan()


class _Scanner:
    __slots__ = ("_decoder", "_path", "_position", "_text")

    def __init__(self, *, text: str) -> None:
        self._text = text
        self._position = 0
        self._path = _ROOT
        self._decoder = json.JSONDecoder(
            object_pairs_hook=self._build_object, parse_constant=self._reject_constant
        )

    def scan(self) -> Iterator[Element | Member]:
        self._expect("{")
        names: set[str] = set()
        if not self._accept("}"):
            while True:
                name = self._read_name()
                if name in names:
                    self._fail(f"field {name!r} is given twice")
                names.add(name)
                yield from self._scan_member(name)
                if self._accept("}"):
                    break
                self._expect(",")
        self._skip_space()
        if self._position != len(self._text):
            self._fail("nothing may follow the document")

    def _scan_member(self, name: str) -> Iterator[Element | Member]:
        self._path = f"{_ROOT}.{name}"
        if name not in SECTIONS or not self._accept("["):
            yield Member(name=name, value=self._read_value())
            self._path = _ROOT
            return
        if self._accept("]"):
            self._path = _ROOT
            return
        index = 0
        while True:
            self._path = f"{_ROOT}.{name}[{index}]"
            yield Element(section=name, index=index, value=self._read_value())
            index += 1
            if self._accept("]"):
                break
            self._expect(",")
        self._path = _ROOT

    def _read_name(self) -> str:
        self._skip_space()
        if not self._text.startswith('"', self._position):
            self._fail("not valid JSON: a field name was expected")
        name = self._read_value()
        self._expect(":")
        return str(name)

    def _read_value(self) -> object:
        self._skip_space()
        try:
            value, self._position = self._decoder.raw_decode(self._text, self._position)
        except json.JSONDecodeError as error:
            self._position = error.pos
            self._fail(f"not valid JSON: {error.msg}")
        except RecursionError:
            self._fail("nested too deeply")
        except ValueError:
            self._fail("a number is too long")
        result: object = value
        return result

    def _build_object(self, pairs: list[tuple[str, object]]) -> dict[str, object]:
        built = dict(pairs)
        if len(built) != len(pairs):
            self._fail("a field is given twice")
        return built

    def _reject_constant(self, constant: str) -> NoReturn:
        self._fail(f"not valid JSON: {constant} is no number")

    def _skip_space(self) -> None:
        match = _SPACE.match(self._text, self._position)
        if match is not None:
            self._position = match.end()

    def _accept(self, character: str) -> bool:
        self._skip_space()
        if not self._text.startswith(character, self._position):
            return False
        self._position += 1
        return True

    def _expect(self, character: str) -> None:
        if not self._accept(character):
            self._fail(f"not valid JSON: {character!r} was expected")

    def _fail(self, message: str) -> NoReturn:
        line = self._text.count("\n", 0, self._position) + 1
        column = self._position - self._text.rfind("\n", 0, self._position)
        place = f"line {line} column {column}"
        error = FieldError(path=self._path, message=f"{message} ({place})")
        raise DocumentInvalid((error,)) from None


def _decode(document: bytes) -> str:
    try:
        return document.decode()
    except UnicodeDecodeError as error:
        message = f"not valid UTF-8 at byte {error.start}"
        raise DocumentInvalid((FieldError(path=_ROOT, message=message),)) from None
