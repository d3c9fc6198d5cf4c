"""The origin of a stream, what one router can say of it, and what follows for the stream."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash
from msgspec import Struct

ORIGIN_MASK: Final = 0xFFFF_FFFF
# Told for a stream of which it is not proven at which version it began.
UNPROVEN_ORIGIN: Final = 0


class StreamOrigin(Struct, frozen=True, kw_only=True):
    """The service and the version of its upstreams' software at which a stream began."""

    service: str
    version: str


class Known(Struct, frozen=True, kw_only=True):
    """The stream began at the origin with this digest."""

    origin: int


class OneVersion(Struct, frozen=True, kw_only=True):
    """The stream is unknown, but its service has had one version for as long as streams last."""

    origin: int


class SeveralVersions(Struct, frozen=True, kw_only=True):
    """The stream is unknown, and its service has had several versions."""


class Unproven(Struct, frozen=True, kw_only=True):
    """The stream is unknown, and this router can't tell which versions its service has had."""


OriginView = Known | OneVersion | SeveralVersions | Unproven


def make_stream_digest(request_id: str) -> int:
    """Return a digest of the id of the request that began a stream, by which routers know it."""
    return xxhash.xxh3_64_intdigest(request_id.encode("utf-8", "surrogateescape"))


def make_origin_digest(origin: StreamOrigin) -> int:
    """Return the digest of an origin, as routers tell it to each other."""
    text = f"{origin.service}\0{origin.version}"
    return xxhash.xxh3_64_intdigest(text.encode()) & ORIGIN_MASK


def decide_origin(views: Iterable[OriginView]) -> int | None:
    """Return the digest of the origin at which a stream may go on, None if that would be a guess.

    A router that knows the stream decides. Otherwise the service must have had one version for as
    long as streams last: some router has to vouch for it, and none may know of another version.
    """
    only: set[int] = set()
    several = False
    for view in views:
        match view:
            case Known(origin=origin):
                return origin
            case OneVersion(origin=origin):
                only.add(origin)
            case SeveralVersions():
                several = True
    return only.pop() if len(only) == 1 and not several else None
