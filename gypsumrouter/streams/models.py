"""The origin of a stream, what one router can say of it, and what follows for the stream."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
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


class Voice(Struct, frozen=True, kw_only=True):
    """What a router said of a stream, `after_ms` milliseconds after it was asked.

    `router` is its name, empty for the router that asks. The store had responded to it
    `list_age_ms` before as to the list of upstreams, which it knew up to the revision `list_as_of`.
    `is_confirmed` if the store was asked for changes of the list after the stream was taken up.
    """

    router: str
    view: OriginView
    list_age_ms: int
    list_as_of: int = 0
    is_confirmed: bool = False
    after_ms: int = 0

    def __str__(self) -> str:
        match self.view:
            case Known(origin=origin):
                said = "known" if origin != UNPROVEN_ORIGIN else "known, start unproven"
            case OneVersion():
                said = "one version"
            case SeveralVersions():
                said = "several versions"
            case Unproven():
                said = "unproven"
        confirmed = ", confirmed" if self.is_confirmed else ""
        return (
            f"{self.router or 'self'}: {said}, list {self.list_age_ms} ms{confirmed}, "
            f"after {self.after_ms} ms"
        )


class Replies(Struct, frozen=True, kw_only=True):
    """What other routers said of a stream, and the addresses of those that did not answer."""

    voices: tuple[Voice, ...] = ()
    unanswered: tuple[str, ...] = ()


class Doubt(StrEnum):
    """Why it is not known at which version a stream may go on.

    NO_VOICE: nobody vouches that its service has had one version. NOT_CONFIRMED: it had one until
    a while ago. SEVERAL: it has had several. START: its upstream has not stated its start.
    NOT_LISTED: no upstream of the version is known here.
    """

    NO_VOICE = "nobody vouches"
    NOT_CONFIRMED = "list not confirmed"
    SEVERAL = "several versions"
    START = "start unproven"
    NOT_LISTED = "version not listed"


class OriginDecision(Struct, frozen=True, kw_only=True):
    """The origin at which a stream may go on, or why there is none, and on whose word."""

    origin: StreamOrigin | None
    doubt: Doubt | None
    voices: tuple[Voice, ...]
    unanswered: tuple[str, ...]


def make_stream_digest(request_id: str) -> int:
    """Return a digest of the id of the request that began a stream, by which routers know it."""
    return xxhash.xxh3_64_intdigest(request_id.encode("utf-8", "surrogateescape"))


def make_origin_digest(origin: StreamOrigin) -> int:
    """Return the digest of an origin, as routers tell it to each other."""
    text = f"{origin.service}\0{origin.version}"
    return xxhash.xxh3_64_intdigest(text.encode()) & ORIGIN_MASK


def decide_origin(voices: Iterable[Voice]) -> int | Doubt:
    """Return the digest of the origin at which a stream may go on, or why that would be a guess.

    A router that knows the stream decides. Otherwise the service must have had one version for as
    long as streams last, and until the stream was taken up: a router has to vouch for it whose list
    was confirmed since, and none may know of another version. An upstream is listed before a stream
    begins at it, so that an older list may lack the version of this one.
    """
    only: set[int] = set()
    several = is_confirmed = False
    for voice in voices:
        match voice.view:
            case Known(origin=origin):
                return Doubt.START if origin == UNPROVEN_ORIGIN else origin
            case OneVersion(origin=origin):
                only.add(origin)
                is_confirmed = is_confirmed or voice.is_confirmed
            case SeveralVersions():
                several = True
    if several or len(only) > 1:
        return Doubt.SEVERAL
    if not only:
        return Doubt.NO_VOICE
    return only.pop() if is_confirmed else Doubt.NOT_CONFIRMED
