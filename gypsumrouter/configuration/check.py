"""Validation of configuration documents, used by the store, the commands and the tests."""

from __future__ import annotations

from collections.abc import Iterable
from operator import attrgetter
from typing import cast

from msgspec import Struct

from gypsumrouter.configuration.const import (
    FIELD_VERSION,
    MAX_CANONICAL_BYTES,
    MAX_DOCUMENT_BYTES,
    SECTION_CLASSES,
    SECTION_POOLS,
    SECTION_RULES,
    SECTION_WORKSPACES,
    SLICE_ITEMS,
)
from gypsumrouter.configuration.elements import (
    Entry,
    ParsedDocument,
    check_members,
    read_elements,
)
from gypsumrouter.configuration.models import CallerClass, Configuration, Pool, Rule, Workspace
from gypsumrouter.configuration.references import check_references
from gypsumrouter.configuration.scanner import Member, scan_document
from gypsumrouter.configuration.slices import Sliced, run_sliced
from gypsumrouter.exceptions import ConfigurationInvalid, DocumentInvalid, FieldError
from gypsumrouter.util.validation import ROOT


class CheckedDocument(Struct, kw_only=True):
    """A validated configuration with its elements; workspaces are sorted by name."""

    configuration: Configuration
    entries: dict[str, list[Entry]]


def check_configuration(document: bytes) -> Configuration:
    """Return the validated configuration; raises ConfigurationInvalid with all errors."""
    return run_sliced(check_in_slices(document)).configuration


def check_in_slices(
    document: bytes, *, limit_bytes: int = MAX_DOCUMENT_BYTES
) -> Sliced[CheckedDocument]:
    """Validate a document in slices of bounded work; raises ConfigurationInvalid.

    The result depends only on the document, so every process accepts the same documents.
    """
    try:
        return (yield from _check(document, limit_bytes))
    except DocumentInvalid as error:
        raise ConfigurationInvalid(error.errors) from None


def read_version(document: bytes) -> Sliced[int | None]:
    """Return the version field of a document, or None if it is missing or unreadable."""
    try:
        for count, item in enumerate(scan_document(document), start=1):
            match item:
                case Member(name=name, value=int() as value) if name == FIELD_VERSION:
                    return None if isinstance(value, bool) else value
            if count % SLICE_ITEMS == 0:
                yield
    except DocumentInvalid:
        return None
    return None


def build_configuration(
    *, version: int, default_class: str | None, values: dict[str, list[object]]
) -> Configuration:
    """Return a configuration built from validated elements."""
    workspaces = cast(list[Workspace], values.get(SECTION_WORKSPACES, []))
    return Configuration(
        version=version,
        workspaces=tuple(workspaces),
        classes=tuple(cast(list[CallerClass], values.get(SECTION_CLASSES, []))),
        pools=tuple(cast(list[Pool], values.get(SECTION_POOLS, []))),
        rules=tuple(cast(list[Rule], values.get(SECTION_RULES, []))),
        default_class=default_class,
    )


def sort_workspaces(entries: Iterable[Entry]) -> list[Entry]:
    """Return workspace entries sorted by name."""
    return sorted(entries, key=attrgetter("value.name"))


def _check(document: bytes, limit_bytes: int) -> Sliced[CheckedDocument]:
    _check_size(len(document), limit_bytes)
    parsed = yield from read_elements(document)
    header = check_members(parsed)
    if header is None or parsed.errors:
        raise DocumentInvalid(tuple(parsed.errors))
    _check_size(_get_canonical_size(parsed), MAX_CANONICAL_BYTES)
    yield
    errors = yield from check_references(_build(header, parsed.entries))
    if errors:
        raise DocumentInvalid(tuple(errors))
    yield
    entries = parsed.entries
    entries[SECTION_WORKSPACES] = sort_workspaces(entries[SECTION_WORKSPACES])
    yield
    return CheckedDocument(configuration=_build(header, entries), entries=entries)


def _build(header: Configuration, entries: dict[str, list[Entry]]) -> Configuration:
    values = {section: [entry.value for entry in found] for section, found in entries.items()}
    return build_configuration(
        version=header.version, default_class=header.default_class, values=values
    )


def _get_canonical_size(parsed: ParsedDocument) -> int:
    return sum(len(entry.body) + 1 for entries in parsed.entries.values() for entry in entries)


def _check_size(size: int, limit: int) -> None:
    if size > limit:
        message = f"{size} bytes are more than the limit of {limit}"
        raise DocumentInvalid((FieldError(path=ROOT, message=message),))
