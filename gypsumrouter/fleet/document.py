"""The instance list as the platform writes it, checked into our values."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter

from gypsumrouter.const import InstanceState, Role
from gypsumrouter.exceptions import DocumentInvalid, FieldError
from gypsumrouter.instances import Address, Instance, InstanceList
from gypsumrouter.util.checked import check_json

MAX_PORT = 65_535


def _check_ip_literal(value: str) -> str:
    return str(ipaddress.ip_address(value))


@dataclass(slots=True, kw_only=True, frozen=True)
class _Entry:
    """One instance of the document; fields that we do not know are the platform's own affair."""

    __pydantic_config__ = ConfigDict(extra="ignore")

    name: Annotated[str, Field(min_length=1, max_length=63)]
    role: Role
    host: Annotated[str, AfterValidator(_check_ip_literal)]
    port: Annotated[int, Field(ge=1, le=MAX_PORT)]
    data_centre: str
    region: str
    pool: str = ""
    weight: Annotated[float, Field(gt=0)] = 1.0
    state: InstanceState = InstanceState.LIVE


@dataclass(slots=True, kw_only=True, frozen=True)
class _Document:
    """One state of the list."""

    __pydantic_config__ = ConfigDict(extra="ignore")

    revision: Annotated[int, Field(ge=0)]
    as_of_ms: Annotated[int, Field(ge=0)]
    instances: tuple[_Entry, ...]


_ADAPTER: TypeAdapter[_Document] = TypeAdapter(_Document)


def check_instance_list(document: bytes) -> InstanceList:
    """Return the list, sorted by name; raises DocumentInvalid."""
    checked = check_json(adapter=_ADAPTER, document=document)
    instances = tuple(sorted(map(_to_instance, checked.instances), key=lambda item: item.name))
    _check_names(instances)
    return InstanceList(revision=checked.revision, as_of_ms=checked.as_of_ms, instances=instances)


def _to_instance(entry: _Entry) -> Instance:
    return Instance(
        name=entry.name,
        role=entry.role,
        address=Address(host=entry.host, port=entry.port),
        data_centre=entry.data_centre,
        region=entry.region,
        pool=entry.pool,
        weight=entry.weight,
        state=entry.state,
    )


def _check_names(instances: tuple[Instance, ...]) -> None:
    if len({instance.name for instance in instances}) < len(instances):
        raise DocumentInvalid((FieldError(path="$.instances", message="a name stands twice"),))
