"""Bodies of the notices between routers that reach upstreams themselves."""

from __future__ import annotations

import zlib

from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.models import (
    CatchUp,
    HeldAt,
    HeldNews,
    ListedUpstream,
    ListedUpstreams,
    PlacedPart,
    RouterLoad,
    RouterNews,
    RoutingDocument,
    StoreWatched,
    Strike,
)
from gypsumrouter.link.schema import SCHEMA, reading, reading_packed, to_bytes, to_packed

# A document of 9,500 workspaces takes about 2 MB.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
# Fast rather than small: a document of 40 KB takes 0.4 ms.
COMPRESSION = 1


def encode_router_news(notice: RouterNews) -> bytes:
    """Return the body of a notice's frame."""
    message = SCHEMA.RouterNews.new_message(
        address=notice.address,
        routers=list(notice.routers),
        routingVersion=notice.routing_version,
        listRevision=notice.list_revision,
        dataCentre=notice.data_centre,
    )
    loads = message.init("loads", len(notice.loads))
    for target, load in zip(loads, notice.loads, strict=True):
        target.upstream = load.upstream
        target.running = load.running
        target.pendingTokens = load.pending_tokens
    placed = message.init("placed", len(notice.placed))
    for target, part in zip(placed, notice.placed, strict=True):
        target.part = part.part
        target.upstream = part.upstream
    strikes = message.init("strikes", len(notice.strikes))
    for target, strike in zip(strikes, notice.strikes, strict=True):
        target.digest = strike.digest
        target.upstream = strike.upstream
    return to_packed(message)


def decode_router_news(body: bytes) -> RouterNews:
    """Return a notice from the body of its frame; raises FrameError."""
    with reading_packed(SCHEMA.RouterNews, body) as message:
        return RouterNews(
            address=message.address,
            routers=tuple(message.routers),
            routing_version=message.routingVersion,
            list_revision=message.listRevision,
            loads=tuple(
                RouterLoad(
                    upstream=load.upstream,
                    running=load.running,
                    pending_tokens=load.pendingTokens,
                )
                for load in message.loads
            ),
            placed=tuple(
                PlacedPart(part=part.part, upstream=part.upstream) for part in message.placed
            ),
            strikes=tuple(
                Strike(digest=strike.digest, upstream=strike.upstream) for strike in message.strikes
            ),
            data_centre=message.dataCentre,
        )


def encode_store_watched(notice: StoreWatched) -> bytes:
    """Return the body of a notice's frame."""
    message = SCHEMA.StoreWatched.new_message(
        routingVersion=notice.routing_version,
        routingAsOf=notice.routing_as_of,
        listNewest=notice.list_newest,
        listAsOf=notice.list_as_of,
    )
    return to_packed(message)


def decode_store_watched(body: bytes) -> StoreWatched:
    """Return a notice from the body of its frame; raises FrameError."""
    with reading_packed(SCHEMA.StoreWatched, body) as message:
        return StoreWatched(
            routing_version=message.routingVersion,
            routing_as_of=message.routingAsOf,
            list_newest=message.listNewest,
            list_as_of=message.listAsOf,
        )


def encode_catch_up(notice: CatchUp) -> bytes:
    """Return the body of a notice's frame."""
    message = SCHEMA.CatchUp.new_message(
        routing=notice.routing, upstreams=notice.upstreams, since=notice.since
    )
    return to_bytes(message)


def decode_catch_up(body: bytes) -> CatchUp:
    """Return a notice from the body of its frame; raises FrameError."""
    with reading(SCHEMA.CatchUp, body) as message:
        return CatchUp(routing=message.routing, upstreams=message.upstreams, since=message.since)


def encode_routing_document(notice: RoutingDocument) -> bytes:
    """Return the body of a notice's frame, with the document compressed."""
    packed = zlib.compress(notice.document, COMPRESSION)
    return to_bytes(SCHEMA.RoutingDocument.new_message(version=notice.version, document=packed))


def decode_routing_document(body: bytes) -> RoutingDocument:
    """Return a notice from the body of its frame; raises FrameError."""
    with reading(SCHEMA.RoutingDocument, body) as message:
        version, packed = message.version, bytes(message.document)
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise FrameError(f"a document that cannot be unpacked: {error}") from None
    if not unpacker.eof:
        raise FrameError("a document that is too long or incomplete")
    return RoutingDocument(version=version, document=document)


def encode_listed_upstreams(notice: ListedUpstreams) -> bytes:
    """Return the body of a notice's frame."""
    message = SCHEMA.ListedUpstreams.new_message(asOf=notice.as_of)
    entries = message.init("entries", len(notice.entries))
    for target, entry in zip(entries, notice.entries, strict=True):
        target.revision = entry.revision
        target.upstream = entry.upstream
        target.state = entry.state
        target.service = entry.service
        target.address = entry.address
        target.dataCentre = entry.data_centre
        target.slots = entry.slots
        target.bornMs = entry.born_ms
    return to_bytes(message)


def decode_listed_upstreams(body: bytes) -> ListedUpstreams:
    """Return a notice from the body of its frame; raises FrameError."""
    with reading(SCHEMA.ListedUpstreams, body) as message:
        return ListedUpstreams(
            entries=tuple(
                ListedUpstream(
                    revision=entry.revision,
                    upstream=entry.upstream,
                    state=entry.state,
                    service=entry.service,
                    address=entry.address,
                    data_centre=entry.dataCentre,
                    slots=entry.slots,
                    born_ms=entry.bornMs,
                )
                for entry in message.entries
            ),
            as_of=message.asOf,
        )


def encode_held_news(notice: HeldNews) -> bytes:
    """Return the body of a notice's frame."""
    message = SCHEMA.HeldNews.new_message(complete=notice.complete)
    engines = message.init("engines", len(notice.engines))
    for target, engine in zip(engines, notice.engines, strict=True):
        target.upstream = engine.upstream
        target.parts = list(engine.parts)
    # Ids are hashes, which packing would make longer, and there are thousands of them.
    return to_bytes(message)


def decode_held_news(body: bytes) -> HeldNews:
    """Return a notice from the body of its frame; raises FrameError."""
    with reading(SCHEMA.HeldNews, body) as message:
        return HeldNews(
            complete=message.complete,
            engines=tuple(
                HeldAt(upstream=engine.upstream, parts=tuple(engine.parts))
                for engine in message.engines
            ),
        )
