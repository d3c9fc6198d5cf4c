"""Parsing and validation of the platform's instance list."""

from __future__ import annotations

import ipaddress
from typing import Annotated

from msgspec import Meta, Struct

from gypsumrouter.const import InstanceState, Role
from gypsumrouter.exceptions import DocumentInvalid, FieldError
from gypsumrouter.helpers.numbers import MAX_PORT
from gypsumrouter.instances import Address, Instance, InstanceList
from gypsumrouter.util.revisions import MAX_EPOCH, NUMBERS_PER_EPOCH, make_revision
from gypsumrouter.util.validation import validate_ip, validate_json


class _Entry(Struct, frozen=True, kw_only=True):
    """One instance of the document; unknown fields are ignored."""

    name: Annotated[str, Meta(min_length=1, max_length=63)]
    role: Role
    host: str
    port: Annotated[int, Meta(ge=1, le=MAX_PORT)]
    data_centre: str
    region: str
    pool: str = ""
    weight: Annotated[float, Meta(gt=0)] = 1.0
    state: InstanceState = InstanceState.LIVE

    def __post_init__(self) -> None:
        validate_ip(host=self.host)


class _Document(Struct, frozen=True, kw_only=True):
    """The instance list at one revision of an epoch; platforms without restores omit the epoch."""

    revision: Annotated[int, Meta(ge=0, lt=NUMBERS_PER_EPOCH)]
    epoch: Annotated[int, Meta(ge=0, le=MAX_EPOCH)] = 0
    as_of_ms: Annotated[int, Meta(ge=0)]
    instances: tuple[_Entry, ...]


def check_instance_list(document: bytes) -> InstanceList:
    """Return the validated list, sorted by name; raises DocumentInvalid."""
    checked = validate_json(kind=_Document, document=document, strict=False)
    instances = tuple(sorted(map(_to_instance, checked.instances), key=lambda item: item.name))
    _check_names(instances)
    revision = make_revision(epoch=checked.epoch, number=checked.revision)
    return InstanceList(revision=revision, as_of_ms=checked.as_of_ms, instances=instances)


def _to_instance(entry: _Entry) -> Instance:
    return Instance(
        name=entry.name,
        role=entry.role,
        address=Address(host=str(ipaddress.ip_address(entry.host)), port=entry.port),
        data_centre=entry.data_centre,
        region=entry.region,
        pool=entry.pool,
        weight=entry.weight,
        state=entry.state,
    )


def _check_names(instances: tuple[Instance, ...]) -> None:
    if len({instance.name for instance in instances}) < len(instances):
        raise DocumentInvalid(
            (FieldError(path="$.instances", message="instance names must be unique"),)
        )
