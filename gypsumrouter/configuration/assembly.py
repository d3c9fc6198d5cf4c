"""Build a configuration from parts; only parts that are not in force yet are parsed and checked."""

from __future__ import annotations

from collections.abc import Mapping
from operator import attrgetter

from msgspec import Struct

from gypsumrouter.configuration.check import build_configuration
from gypsumrouter.configuration.const import (
    FIELD_DEFAULT_CLASS,
    FIELD_VERSION,
    SECTION_WORKSPACES,
    SLICE_PARTS,
)
from gypsumrouter.configuration.elements import check_members, read_elements
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.configuration.parts import Part, PartSet, digest_manifest, unpack_part
from gypsumrouter.configuration.references import check_references
from gypsumrouter.configuration.slices import Sliced
from gypsumrouter.exceptions import DocumentInvalid


class Assembled(Struct, frozen=True, kw_only=True):
    """A validated configuration with its parts."""

    configuration: Configuration
    parts: PartSet


def assemble(
    *, version: int, manifest: tuple[int, ...], bodies: Mapping[int, bytes], existing: PartSet
) -> Sliced[Assembled | None]:
    """Validate the parts of a version in slices; return None if any part is invalid.

    Elements and references pass the same checks as in a whole document. Errors are not reported
    here: the caller joins the document and validates it as a whole to get them.
    """
    parts: dict[int, Part] = {}
    for count, digest in enumerate(manifest, start=1):
        part = existing.parts.get(digest)
        if part is None:
            part = yield from _read_part(digest, bodies[digest])
        if part is None:
            return None
        parts[digest] = part
        if count % SLICE_PARTS == 0:
            yield
    digest = digest_manifest(version, manifest)
    found = PartSet(version=version, digest=digest, manifest=manifest, parts=parts)
    configuration = yield from build_from_parts(found)
    if configuration is None or (yield from check_references(configuration)):
        return None
    return Assembled(configuration=configuration, parts=found)


def build_from_parts(found: PartSet) -> Sliced[Configuration | None]:
    """Return the configuration built from parts, or None unless it has exactly one default class.

    The elements are shared with the parts, not copied.
    """
    values: dict[str, list[object]] = {}
    for digest in found.manifest:
        part = found.parts[digest]
        values.setdefault(part.section, []).extend(part.values)
    default_classes = values.pop(FIELD_DEFAULT_CLASS, [])
    if len(default_classes) != 1:
        return None
    yield
    values.get(SECTION_WORKSPACES, []).sort(key=attrgetter("name"))
    yield
    return build_configuration(
        version=found.version, default_class=str(default_classes[0]), values=values
    )


def _read_part(digest: int, body: bytes) -> Sliced[Part | None]:
    unpacked = unpack_part(body)
    if unpacked is None or unpacked[0] != digest:
        return None
    try:
        parsed = yield from read_elements(unpacked[1])
    except DocumentInvalid:
        return None
    parsed.members[FIELD_VERSION] = 1
    if check_members(parsed) is None or parsed.errors:
        return None
    filled = [(section, found) for section, found in parsed.entries.items() if found]
    if len(filled) != 1:
        return None
    section, entries = filled[0]
    return Part(section=section, body=body, values=tuple(entry.value for entry in entries))
