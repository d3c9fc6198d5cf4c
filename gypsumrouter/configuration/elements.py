"""Elements of the document: read from JSON, checked one by one, kept with their canonical form."""

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
    """A checked element and its canonical JSON."""

    value: object
    body: bytes


class Reading(Struct, kw_only=True):
    """What was read of a document: checked elements, other fields as they came, and errors."""

    entries: dict[str, list[Entry]] = field(
        default_factory=lambda: {section: [] for section in SECTIONS}
    )
    members: dict[str, object] = field(default_factory=dict)
    errors: list[FieldError] = field(default_factory=list)


def read_elements(document: bytes) -> Sliced[Reading]:
    """Read and check every element, in slices; raises DocumentInvalid if it is no JSON object."""
    reading = Reading()
    for count, item in enumerate(scan_document(document), start=1):
        match item:
            case Member(name=name, value=value):
                reading.members[name] = value
            case Element():
                _check_element(item, reading)
        if count % SLICE_ITEMS == 0:
            yield
    return reading


def check_members(reading: Reading) -> Configuration | None:
    """Check the other fields; return a configuration of these alone, or None and the errors."""
    try:
        # Text that is no Unicode is found where it is written.
        _ENCODER.encode(reading.members).encode()
        header = validate_value(kind=Configuration, value=reading.members)
    except UnicodeEncodeError:
        reading.errors.append(FieldError(path=ROOT, message="not valid Unicode"))
        return None
    except DocumentInvalid as error:
        reading.errors.extend(error.errors)
        return None
    if header.default_class is not None:
        reading.entries[FIELD_DEFAULT_CLASS] = [make_default_class(header.default_class)]
    return header


def make_default_class(name: str) -> Entry:
    """Return the entry of the default class."""
    return Entry(value=name, body=_ENCODER.encode(name).encode())


def _check_element(element: Element, reading: Reading) -> None:
    path = f"{ROOT}.{element.section}[{element.index}]"
    try:
        body = _ENCODER.encode(element.value).encode()
    except UnicodeEncodeError:
        reading.errors.append(FieldError(path=path, message="not valid Unicode"))
        return
    try:
        value = validate_value(kind=_KINDS[element.section], value=element.value)
    except DocumentInvalid as error:
        reading.errors.extend(_place_errors(error, path))
        return
    reading.entries[element.section].append(Entry(value, body))


def _place_errors(error: DocumentInvalid, path: str) -> list[FieldError]:
    return [
        FieldError(path=path + found.path.removeprefix(ROOT), message=found.message)
        for found in error.errors
    ]
