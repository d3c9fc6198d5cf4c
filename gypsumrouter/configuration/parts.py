"""Content-addressed parts of a configuration, so that a change transfers only changed parts.

Each part is a canonical JSON object with one section or a piece of one, and is identified by its
XXH3-64 digest. Workspaces are assigned to buckets by the digest of their names, so a changed
workspace changes one part. The manifest is the ordered list of the digests of the parts.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, cast

import xxhash
from msgspec import Struct

from gypsumrouter.configuration.check import CheckedDocument
from gypsumrouter.configuration.const import (
    FIELD_DEFAULT_CLASS,
    FIELD_VERSION,
    ITEMS_PER_PART,
    MAX_CANONICAL_BYTES,
    MAX_MANIFEST_ENTRIES,
    SECTION_CLASSES,
    SECTION_POOLS,
    SECTION_RULES,
    SECTION_WORKSPACES,
    SECTIONS,
    SLICE_ITEMS,
    SLICE_PARTS,
    WORKSPACE_BUCKETS,
)
from gypsumrouter.configuration.elements import Entry
from gypsumrouter.configuration.models import Workspace
from gypsumrouter.configuration.slices import Sliced

_NUMBER_BYTES: Final = 8
_COMPRESSION_LEVEL: Final = 6


class Part(Struct, frozen=True, kw_only=True):
    """One part: its compressed body and its validated elements."""

    section: str
    body: bytes
    values: tuple[object, ...]


class PartSet(Struct, frozen=True, kw_only=True):
    """All parts of one version; `digest` identifies the version and its content."""

    version: int
    digest: int
    manifest: tuple[int, ...]
    parts: Mapping[int, Part]


EMPTY_PARTS: Final = PartSet(version=0, digest=0, manifest=(), parts={})


def split_into_parts(document: CheckedDocument, existing: PartSet = EMPTY_PARTS) -> Sliced[PartSet]:
    """Return the parts of a validated document, in slices of bounded work.

    Parts that `existing` already contains are reused.
    """
    manifest: list[int] = []
    parts: dict[int, Part] = {}
    buckets = yield from _fill_buckets(document)
    for count, (section, entries) in enumerate(_list_part_entries(document, buckets), start=1):
        content = _build_content(section, entries)
        digest = xxhash.xxh3_64_intdigest(content)
        manifest.append(digest)
        parts[digest] = existing.parts.get(digest) or Part(
            section=section,
            body=zlib.compress(content, _COMPRESSION_LEVEL),
            values=tuple(entry.value for entry in entries),
        )
        if count % SLICE_PARTS == 0:
            yield
    version = document.configuration.version
    return PartSet(
        version=version,
        digest=digest_manifest(version, manifest),
        manifest=tuple(manifest),
        parts=parts,
    )


def digest_manifest(version: int, manifest: Iterable[int]) -> int:
    """Return the digest that identifies a version and its content."""
    numbers = (version, *manifest)
    return xxhash.xxh3_64_intdigest(
        b"".join(number.to_bytes(_NUMBER_BYTES, "big") for number in numbers)
    )


def matches_manifest_digest(version: int, manifest: tuple[int, ...], digest: int) -> bool:
    """Return whether a manifest has the given digest and does not exceed the size limit."""
    return len(manifest) <= MAX_MANIFEST_ENTRIES and digest_manifest(version, manifest) == digest


def unpack_part(body: bytes) -> tuple[int, bytes] | None:
    """Return the digest and the content of a compressed part, or None if it is corrupt."""
    try:
        reader = zlib.decompressobj()
        content = reader.decompress(body, MAX_CANONICAL_BYTES)
    except zlib.error:
        return None
    if not reader.eof:
        return None
    return xxhash.xxh3_64_intdigest(content), content


def join_parts(
    version: int, manifest: tuple[int, ...], bodies: Mapping[int, bytes]
) -> Sliced[bytes | None]:
    """Return the canonical document joined from the parts, or None if a part is corrupt."""
    pieces: dict[str, list[bytes]] = {}
    for count, digest in enumerate(manifest, start=1):
        unpacked = unpack_part(bodies[digest])
        if unpacked is None or unpacked[0] != digest:
            return None
        name, _, value = unpacked[1][1:-1].partition(b":")
        section = name.strip(b'"').decode(errors="replace")
        pieces.setdefault(section, []).append(value)
        if count % SLICE_PARTS == 0:
            yield
    fields = [b'"%s":%d' % (FIELD_VERSION.encode(), version)]
    for section, values in pieces.items():
        fields.append(b'"%s":%s' % (section.encode(), _join_values(section, values)))
    return b"{" + b",".join(fields) + b"}"


def _join_values(section: str, values: list[bytes]) -> bytes:
    if section not in SECTIONS:
        return b",".join(values)
    return b"[" + b",".join(value[1:-1] for value in values) + b"]"


def _fill_buckets(document: CheckedDocument) -> Sliced[list[list[Entry]]]:
    buckets: list[list[Entry]] = [[] for _ in range(WORKSPACE_BUCKETS)]
    for count, entry in enumerate(document.entries[SECTION_WORKSPACES], start=1):
        name = cast(Workspace, entry.value).name
        buckets[xxhash.xxh3_64_intdigest(name.encode()) % WORKSPACE_BUCKETS].append(entry)
        if count % (SLICE_ITEMS * 10) == 0:
            yield
    return buckets


def _list_part_entries(
    document: CheckedDocument, buckets: list[list[Entry]]
) -> Iterator[tuple[str, list[Entry]]]:
    if FIELD_DEFAULT_CLASS in document.entries:
        yield FIELD_DEFAULT_CLASS, document.entries[FIELD_DEFAULT_CLASS]
    for section in (SECTION_CLASSES, SECTION_POOLS, SECTION_RULES):
        entries = document.entries[section]
        for start in range(0, len(entries), ITEMS_PER_PART):
            yield section, entries[start : start + ITEMS_PER_PART]
    for bucket in buckets:
        if bucket:
            yield SECTION_WORKSPACES, bucket


def _build_content(section: str, entries: list[Entry]) -> bytes:
    bodies = b",".join(entry.body for entry in entries)
    if section == FIELD_DEFAULT_CLASS:
        return b'{"%s":%s}' % (section.encode(), bodies)
    return b'{"%s":[%s]}' % (section.encode(), bodies)
