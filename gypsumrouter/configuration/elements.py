"""Parsing and validation of the elements of a document, kept with their canonical JSON."""

from __future__ import annotations

import json
from typing import Final, NamedTuple

from msgspec import Struct, field

from gypsumrouter.configuration.const import (
    FIELD_DEFAULT_CLASS,
    SECTION_CLASSES,
    SECTION_POOLS,
    SECTION_RULES,
    SECTION_WORKSPACES,
    SECTIONS,
    SLICE_ITEMS,
)
from gypsumrouter.configuration.models import CallerClass, Configuration, Pool, Rule, Workspace
from gypsumrouter.configuration.scanner import Element, Member, scan_document
from gypsumrouter.configuration.slices import Sliced
from gypsumrouter.exceptions import DocumentInvalid, FieldError
from gypsumrouter.util.validation import ROOT, DocumentStruct, validate_value

_KINDS: Final[dict[str, type[DocumentStruct]]] = {
    SECTION_WORKSPACES: Workspace,
    SECTION_CLASSES: CallerClass,
    SECTION_POOLS: Pool,
    SECTION_RULES: Rule,
}
_ENCODER: Final = json.JSONEncoder(sort_keys=True, separators=(",", ":"), ensure_ascii=False)


class Entry(NamedTuple):
    """A validated element and its canonical JSON."""

    value: object
    body: bytes


class ParsedDocument(Struct, kw_only=True):
    """A parsed document: validated elements, raw values of the other fields, and errors."""

    entries: dict[str, list[Entry]] = field(
        default_factory=lambda: {section: [] for section in SECTIONS}
    )
    members: dict[str, object] = field(default_factory=dict)
    errors: list[FieldError] = field(default_factory=list)


def read_elements(document: bytes) -> Sliced[ParsedDocument]:
    """Parse and validate all elements in slices.

    Raises DocumentInvalid unless the document is a JSON object.
    """
    parsed = ParsedDocument()
    for count, item in enumerate(scan_document(document), start=1):
        match item:
            case Member(name=name, value=value):
                parsed.members[name] = value
            case Element():
                _check_element(item, parsed)
        if count % SLICE_ITEMS == 0:
            yield
    return parsed


def check_members(parsed: ParsedDocument) -> Configuration | None:
    """Validate the other fields; return a configuration of them, or None after adding errors."""
    try:
        # Encoding fails for lone surrogates, which JSON escapes allow but UTF-8 does not.
        _ENCODER.encode(parsed.members).encode()
        header = validate_value(kind=Configuration, value=parsed.members)
    except UnicodeEncodeError:
        parsed.errors.append(FieldError(path=ROOT, message="not valid Unicode"))
        return None
    except DocumentInvalid as error:
        parsed.errors.extend(error.errors)
        return None
    if header.default_class is not None:
        parsed.entries[FIELD_DEFAULT_CLASS] = [make_default_class(header.default_class)]
    return header


def make_default_class(name: str) -> Entry:
    """Return the default class as an entry, which is transferred as a part of its own."""
    return Entry(value=name, body=_ENCODER.encode(name).encode())


def _check_element(element: Element, parsed: ParsedDocument) -> None:
    path = f"{ROOT}.{element.section}[{element.index}]"
    try:
        body = _ENCODER.encode(element.value).encode()
    except UnicodeEncodeError:
        parsed.errors.append(FieldError(path=path, message="not valid Unicode"))
        return
    try:
        value = validate_value(kind=_KINDS[element.section], value=element.value)
    except DocumentInvalid as error:
        parsed.errors.extend(_prefix_errors(error, path))
        return
    parsed.entries[element.section].append(Entry(value, body))


def _prefix_errors(error: DocumentInvalid, path: str) -> list[FieldError]:
    return [
        FieldError(path=path + found.path.removeprefix(ROOT), message=found.message)
        for found in error.errors
    ]
