"""Bodies of notices: data classes to Cap'n Proto messages and back."""

from __future__ import annotations

from typing import Final

from gypsumrouter.link.const import Kind
from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.holdings_codec import decode_holdings, encode_holdings
from gypsumrouter.link.models import (
    CatchUp,
    ConfigurationNews,
    DataCentreNews,
    HeldNews,
    HeldWanted,
    Holdings,
    ListedUpstreams,
    Notice,
    Parts,
    PartsRequest,
    PrefixNews,
    RelayedNews,
    RouterNews,
    RoutingDocument,
    Status,
    StoreWatched,
    SuspectNews,
)
from gypsumrouter.link.router_codec import (
    decode_catch_up,
    decode_data_centre_news,
    decode_held_news,
    decode_listed_upstreams,
    decode_relayed_news,
    decode_router_news,
    decode_routing_document,
    decode_store_watched,
    encode_catch_up,
    encode_data_centre_news,
    encode_held_news,
    encode_listed_upstreams,
    encode_relayed_news,
    encode_router_news,
    encode_routing_document,
    encode_store_watched,
)
from gypsumrouter.link.schema import (
    SCHEMA,
    read_pool_load,
    reading,
    reading_packed,
    set_pool_load,
    to_bytes,
    to_packed,
)

MAX_UINT32: Final = 2**32 - 1


def encode_notice(notice: Notice) -> tuple[Kind, bytes]:
    """Return the kind and the body of a notice's frame."""
    match notice:
        case Status():
            return Kind.STATUS, _encode_status(notice)
        case ConfigurationNews():
            message = SCHEMA.ConfigurationNews.new_message(
                version=notice.version, digest=notice.digest
            )
            return Kind.CONFIGURATION_NEWS, to_packed(message)
        case PartsRequest():
            message = SCHEMA.PartsRequest.new_message(
                version=notice.version, parts=list(notice.parts)
            )
            return Kind.PARTS_REQUEST, to_bytes(message)
        case Parts():
            message = SCHEMA.Parts.new_message(
                version=notice.version, manifest=list(notice.manifest), parts=list(notice.parts)
            )
            return Kind.PARTS, to_bytes(message)
        case SuspectNews():
            message = SCHEMA.SuspectNews.new_message(
                digest=notice.digest, strike=notice.strike, alone=notice.alone
            )
            return Kind.SUSPECT_NEWS, to_packed(message)
        case PrefixNews():
            message = SCHEMA.PrefixNews.new_message(
                chat=notice.chat, promptBytes=min(notice.prompt_bytes, MAX_UINT32)
            )
            return Kind.PREFIX_NEWS, to_packed(message)
        case Holdings():
            return Kind.HOLDINGS, encode_holdings(notice)
        case RouterNews():
            return Kind.ROUTER_NEWS, encode_router_news(notice)
        case DataCentreNews():
            return Kind.DATA_CENTRE_NEWS, encode_data_centre_news(notice)
        case RelayedNews():
            return Kind.RELAYED_NEWS, encode_relayed_news(notice)
        case StoreWatched():
            return Kind.STORE_WATCHED, encode_store_watched(notice)
        case CatchUp():
            return Kind.CATCH_UP, encode_catch_up(notice)
        case RoutingDocument():
            return Kind.ROUTING_DOCUMENT, encode_routing_document(notice)
        case ListedUpstreams():
            return Kind.LISTED_UPSTREAMS, encode_listed_upstreams(notice)
        case HeldWanted():
            return Kind.HELD_WANTED, b""
        case HeldNews():
            return Kind.HELD_NEWS, encode_held_news(notice)


def decode_notice(kind: int, body: bytes) -> Notice:
    """Return a notice from its frame; raises FrameError."""
    match kind:
        case Kind.STATUS:
            return _decode_status(body)
        case Kind.CONFIGURATION_NEWS:
            with reading_packed(SCHEMA.ConfigurationNews, body) as message:
                return ConfigurationNews(version=message.version, digest=message.digest)
        case Kind.PARTS_REQUEST:
            with reading(SCHEMA.PartsRequest, body) as message:
                return PartsRequest(version=message.version, parts=tuple(message.parts))
        case Kind.PARTS:
            return _decode_parts(body)
        case Kind.SUSPECT_NEWS:
            with reading_packed(SCHEMA.SuspectNews, body) as message:
                return SuspectNews(
                    digest=message.digest, strike=message.strike, alone=message.alone
                )
        case Kind.PREFIX_NEWS:
            with reading_packed(SCHEMA.PrefixNews, body) as message:
                return PrefixNews(chat=message.chat, prompt_bytes=message.promptBytes)
        case Kind.HOLDINGS:
            return decode_holdings(body)
        case Kind.ROUTER_NEWS:
            return decode_router_news(body)
        case Kind.DATA_CENTRE_NEWS:
            return decode_data_centre_news(body)
        case Kind.RELAYED_NEWS:
            return decode_relayed_news(body)
        case Kind.STORE_WATCHED:
            return decode_store_watched(body)
        case Kind.CATCH_UP:
            return decode_catch_up(body)
        case Kind.ROUTING_DOCUMENT:
            return decode_routing_document(body)
        case Kind.LISTED_UPSTREAMS:
            return decode_listed_upstreams(body)
        case Kind.HELD_WANTED:
            return HeldWanted()
        case Kind.HELD_NEWS:
            return decode_held_news(body)
    raise FrameError(f"frame kind {kind} is no notice")


def _encode_status(status: Status) -> bytes:
    message = SCHEMA.Status.new_message(
        load=status.load,
        running=status.running,
        weight=status.weight,
        leaving=status.leaving,
        ready=status.ready,
        models=list(status.models),
        batchWaiting=status.batch_waiting,
    )
    set_pool_load(message, status.pool_load)
    return to_packed(message)


def _decode_status(body: bytes) -> Status:
    with reading_packed(SCHEMA.Status, body) as message:
        return Status(
            load=message.load,
            running=message.running,
            weight=message.weight,
            leaving=message.leaving,
            ready=message.ready,
            models=tuple(message.models),
            pool_load=read_pool_load(message),
            batch_waiting=message.batchWaiting,
        )


def _decode_parts(body: bytes) -> Parts:
    with reading(SCHEMA.Parts, body) as message:
        return Parts(
            version=message.version,
            manifest=tuple(message.manifest),
            parts=tuple(bytes(part) for part in message.parts),
        )
