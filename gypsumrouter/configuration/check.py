"""The one check that decides everywhere whether a configuration is accepted."""

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
    Reading,
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
    """A configuration with its elements; the workspaces are in the order of their names."""

    configuration: Configuration
    entries: dict[str, list[Entry]]


def check_configuration(document: bytes) -> Configuration:
    """Return the checked configuration; raises ConfigurationInvalid with every error at once."""
    return run_sliced(check_in_slices(document)).configuration


def check_in_slices(
    document: bytes, *, limit_bytes: int = MAX_DOCUMENT_BYTES
) -> Sliced[CheckedDocument]:
    """Check a document in slices of bounded work; raises ConfigurationInvalid.

    The verdict depends on the document alone, so it is the same in every process.
    """
    try:
        return (yield from _check(document, limit_bytes))
    except DocumentInvalid as error:
        raise ConfigurationInvalid(error.errors) from None


def read_version(document: bytes) -> Sliced[int | None]:
    """Return the version that a document claims, or None if that cannot be read."""
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
    """Return a configuration of checked elements; the order of workspaces does not count."""
    workspaces = cast(list[Workspace], values.get(SECTION_WORKSPACES, []))
    return Configuration(
        version=version,
        workspaces=tuple(workspaces),
        classes=tuple(cast(list[CallerClass], values.get(SECTION_CLASSES, []))),
        pools=tuple(cast(list[Pool], values.get(SECTION_POOLS, []))),
        rules=tuple(cast(list[Rule], values.get(SECTION_RULES, []))),
        default_class=default_class,
    )


def sort_by_name(entries: Iterable[Entry]) -> list[Entry]:
    """Return the entries of workspaces in the order of their names."""
    return sorted(entries, key=attrgetter("value.name"))


def _check(document: bytes, limit_bytes: int) -> Sliced[CheckedDocument]:
    _check_size(len(document), limit_bytes)
    reading = yield from read_elements(document)
    header = check_members(reading)
    if header is None or reading.errors:
        raise DocumentInvalid(tuple(reading.errors))
    _check_size(_get_canonical_size(reading), MAX_CANONICAL_BYTES)
    yield
    errors = yield from check_references(_build(header, reading.entries))
    if errors:
        raise DocumentInvalid(tuple(errors))
    yield
    entries = reading.entries
    entries[SECTION_WORKSPACES] = sort_by_name(entries[SECTION_WORKSPACES])
    yield
    return CheckedDocument(configuration=_build(header, entries), entries=entries)


def _build(header: Configuration, entries: dict[str, list[Entry]]) -> Configuration:
    values = {section: [entry.value for entry in found] for section, found in entries.items()}
    return build_configuration(
        version=header.version, default_class=header.default_class, values=values
    )


def _get_canonical_size(reading: Reading) -> int:
    return sum(len(entry.body) + 1 for entries in reading.entries.values() for entry in entries)


def _check_size(size: int, limit: int) -> None:
    if size > limit:
        message = f"{size} bytes are more than the limit of {limit}"
        raise DocumentInvalid((FieldError(path=ROOT, message=message),))
