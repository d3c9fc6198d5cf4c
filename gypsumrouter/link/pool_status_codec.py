"""Encodes and decodes notices on the status of a pool's engines."""

from __future__ import annotations

from typing import Any

from gypsumrouter.link.models import EngineStatus, ModelStatus, PoolStatus
from gypsumrouter.link.schema import SCHEMA, open_packed_message, to_packed


def encode_pool_status(notice: PoolStatus) -> bytes:
    """Encode the body of a HOLDINGS frame."""
    message = SCHEMA.Holdings.new_message(pool=notice.pool)
    entries = message.init("entries", len(notice.entries))
    for target, entry in zip(entries, notice.entries, strict=True):
        _write_entry(target, entry)
    return to_packed(message)


def decode_pool_status(body: bytes) -> PoolStatus:
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
    models = target.init("models", len(entry.models))
    for place, model in zip(models, entry.models, strict=True):
        place.name = model.name
        place.version = model.version
        place.nextVersion = model.next_version
        place.serving = model.serving
        place.load = model.load
        place.failures = model.failures


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
