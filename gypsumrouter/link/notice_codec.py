"""Encodes and decodes the bodies of notices as Cap'n Proto messages."""

from __future__ import annotations

from typing import Any, Final

from gypsumrouter.link.const import Kind
from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.list_codec import decode_listed_upstreams, encode_listed_upstreams
from gypsumrouter.link.models import (
    ConfigurationAnnouncement,
    ConfigurationParts,
    ConfigurationPartsRequest,
    EngineStatus,
    ModelStatus,
    Notice,
    PoolStatus,
    PrefixAnnouncement,
    Status,
    SuspectAnnouncement,
)
from gypsumrouter.link.router_codec import (
    decode_begun_streams,
    decode_catch_up_request,
    decode_data_centre_update,
    decode_inventory_update,
    decode_origin_reply,
    decode_origin_request,
    decode_relayed_update,
    decode_router_update,
    decode_routing_document,
    decode_store_update,
    encode_begun_streams,
    encode_catch_up_request,
    encode_data_centre_update,
    encode_inventory_update,
    encode_origin_reply,
    encode_origin_request,
    encode_relayed_update,
    encode_router_update,
    encode_routing_document,
    encode_store_update,
)
from gypsumrouter.link.router_models import (
    BegunStreams,
    CatchUpRequest,
    DataCentreUpdate,
    InventoryRequest,
    InventoryUpdate,
    ListedUpstreams,
    OriginReply,
    OriginRequest,
    RelayedUpdate,
    RouterUpdate,
    RoutingDocument,
    StoreUpdate,
    SuspectEvidence,
    SuspectVerdicts,
)
from gypsumrouter.link.schema import (
    SCHEMA,
    open_message,
    open_packed_message,
    read_pool_load,
    set_pool_load,
    to_bytes,
    to_packed,
    write_list,
)
from gypsumrouter.link.suspect_codec import (
    decode_suspect_evidence,
    decode_suspect_verdicts,
    encode_suspect_evidence,
    encode_suspect_verdicts,
)

MAX_UINT32: Final = 2**32 - 1


def encode_notice(notice: Notice) -> tuple[Kind, bytes]:
    """Encode a notice; return the kind and the body of its frame."""
    match notice:
        case Status():
            return Kind.STATUS, _encode_status(notice)
        case ConfigurationAnnouncement():
            message = SCHEMA.ConfigurationNews.new_message(
                version=notice.version, digest=notice.digest
            )
            return Kind.CONFIGURATION_NEWS, to_packed(message)
        case ConfigurationPartsRequest():
            message = SCHEMA.PartsRequest.new_message(
                version=notice.version, parts=list(notice.parts)
            )
            return Kind.PARTS_REQUEST, to_bytes(message)
        case ConfigurationParts():
            message = SCHEMA.Parts.new_message(
                version=notice.version, manifest=list(notice.manifest), parts=list(notice.parts)
            )
            return Kind.PARTS, to_bytes(message)
        case SuspectAnnouncement():
            message = SCHEMA.SuspectNews.new_message(
                digest=notice.digest, implication=notice.implication, alone=notice.alone
            )
            return Kind.SUSPECT_NEWS, to_packed(message)
        case PrefixAnnouncement():
            message = SCHEMA.PrefixNews.new_message(
                chat=notice.chat, promptBytes=min(notice.prompt_bytes, MAX_UINT32)
            )
            return Kind.PREFIX_NEWS, to_packed(message)
        case PoolStatus():
            return Kind.HOLDINGS, _encode_pool_status(notice)
        case RouterUpdate():
            return Kind.ROUTER_NEWS, encode_router_update(notice)
        case DataCentreUpdate():
            return Kind.DATA_CENTRE_NEWS, encode_data_centre_update(notice)
        case RelayedUpdate():
            return Kind.RELAYED_NEWS, encode_relayed_update(notice)
        case StoreUpdate():
            return Kind.STORE_WATCHED, encode_store_update(notice)
        case CatchUpRequest():
            return Kind.CATCH_UP, encode_catch_up_request(notice)
        case RoutingDocument():
            return Kind.ROUTING_DOCUMENT, encode_routing_document(notice)
        case ListedUpstreams():
            return Kind.LISTED_UPSTREAMS, encode_listed_upstreams(notice)
        case InventoryRequest():
            return Kind.HELD_WANTED, b""
        case InventoryUpdate():
            return Kind.HELD_NEWS, encode_inventory_update(notice)
        case BegunStreams():
            return Kind.BEGUN_STREAMS, encode_begun_streams(notice)
        case OriginRequest():
            return Kind.ORIGIN_REQUEST, encode_origin_request(notice)
        case OriginReply():
            return Kind.ORIGIN_REPLY, encode_origin_reply(notice)
        case SuspectEvidence():
            return Kind.SUSPECT_EVIDENCE, encode_suspect_evidence(notice)
        case SuspectVerdicts():
            return Kind.SUSPECT_VERDICTS, encode_suspect_verdicts(notice)


def decode_notice(kind: int, body: bytes) -> Notice:
    """Decode a notice from the kind and the body of its frame; raises FrameError."""
    match kind:
        case Kind.STATUS:
            return _decode_status(body)
        case Kind.CONFIGURATION_NEWS:
            with open_packed_message(SCHEMA.ConfigurationNews, body) as message:
                return ConfigurationAnnouncement(version=message.version, digest=message.digest)
        case Kind.PARTS_REQUEST:
            with open_message(SCHEMA.PartsRequest, body) as message:
                return ConfigurationPartsRequest(
                    version=message.version, parts=tuple(message.parts)
                )
        case Kind.PARTS:
            return _decode_parts(body)
        case Kind.SUSPECT_NEWS:
            with open_packed_message(SCHEMA.SuspectNews, body) as message:
                return SuspectAnnouncement(
                    digest=message.digest, implication=message.implication, alone=message.alone
                )
        case Kind.PREFIX_NEWS:
            with open_packed_message(SCHEMA.PrefixNews, body) as message:
                return PrefixAnnouncement(chat=message.chat, prompt_bytes=message.promptBytes)
        case Kind.HOLDINGS:
            return _decode_pool_status(body)
        case Kind.ROUTER_NEWS:
            return decode_router_update(body)
        case Kind.DATA_CENTRE_NEWS:
            return decode_data_centre_update(body)
        case Kind.RELAYED_NEWS:
            return decode_relayed_update(body)
        case Kind.STORE_WATCHED:
            return decode_store_update(body)
        case Kind.CATCH_UP:
            return decode_catch_up_request(body)
        case Kind.ROUTING_DOCUMENT:
            return decode_routing_document(body)
        case Kind.LISTED_UPSTREAMS:
            return decode_listed_upstreams(body)
        case Kind.HELD_WANTED:
            return InventoryRequest()
        case Kind.HELD_NEWS:
            return decode_inventory_update(body)
        case Kind.BEGUN_STREAMS:
            return decode_begun_streams(body)
        case Kind.ORIGIN_REQUEST:
            return decode_origin_request(body)
        case Kind.ORIGIN_REPLY:
            return decode_origin_reply(body)
        case Kind.SUSPECT_EVIDENCE:
            return decode_suspect_evidence(body)
        case Kind.SUSPECT_VERDICTS:
            return decode_suspect_verdicts(body)
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
    with open_packed_message(SCHEMA.Status, body) as message:
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


def _decode_parts(body: bytes) -> ConfigurationParts:
    with open_message(SCHEMA.Parts, body) as message:
        return ConfigurationParts(
            version=message.version,
            manifest=tuple(message.manifest),
            parts=tuple(bytes(part) for part in message.parts),
        )


def _encode_pool_status(notice: PoolStatus) -> bytes:
    """Encode the body of a HOLDINGS frame."""
    message = SCHEMA.Holdings.new_message(pool=notice.pool)
    write_list(message, "entries", notice.entries, _write_entry)
    return to_packed(message)


def _decode_pool_status(body: bytes) -> PoolStatus:
    """Decode the body of a HOLDINGS frame; raises FrameError."""
    with open_packed_message(SCHEMA.Holdings, body) as message:
        entries = tuple(_read_entry(entry) for entry in message.entries)
        return PoolStatus(pool=message.pool, entries=entries)


def _write_entry(target: Any, entry: EngineStatus) -> None:
    target.name = entry.name
    target.stampMs = entry.stamp_ms
    target.engine = entry.engine
    target.up = entry.up
    target.role = entry.role
    write_list(target, "models", entry.models, _write_model)


def _write_model(target: Any, model: ModelStatus) -> None:
    target.name = model.name
    target.version = model.version
    target.nextVersion = model.next_version
    target.serving = model.serving
    target.load = model.load
    target.failures = model.failures


def _read_entry(entry: Any) -> EngineStatus:
    return EngineStatus(
        name=entry.name,
        stamp_ms=entry.stampMs,
        engine=entry.engine,
        up=entry.up,
        role=entry.role,
        models=tuple(_read_model(model) for model in entry.models),
    )


def _read_model(model: Any) -> ModelStatus:
    return ModelStatus(
        name=model.name,
        version=model.version,
        next_version=model.nextVersion,
        serving=model.serving,
        load=model.load,
        failures=model.failures,
    )
