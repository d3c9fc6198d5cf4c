"""Entries of the platform's list of runners, decoded."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Final, Literal

from msgspec import Meta, Struct

from gypsumrouter.directory import Entry, EntryState
from gypsumrouter.exceptions import DocumentInvalid, FieldError
from gypsumrouter.instances import Address
from gypsumrouter.platform import names
from gypsumrouter.util.validation import validate_json

MAX_PORT: Final = 65_535
# Ids are sent on in a header, and keys are at most 200 bytes.
ID_PATTERN: Final = re.compile(r"[A-Za-z0-9_.:-]{1,200}")


class WireServer(Struct, frozen=True, kw_only=True):
    """What a runner writes of itself; its id stands only in the key of the item."""

    service: Annotated[str, Meta(min_length=1)]
    # IP:PORT.
    address: str
    zone: str
    slots: Annotated[int, Meta(gt=0)]
    state: Literal["ready", "draining"]
    # How much longer it is slow after its start, in milliseconds.
    cold_left_ms: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    # Not the order of its writes but of the orders that it took.
    sequence: int = 0
    # The version of its software, not of its model.
    version: str = ""
    # When it was started, in Unix milliseconds; another start has the same id and another time.
    born: Annotated[int, Meta(gt=0, lt=2**53)] | None = None


def read_upstream_id(key: str) -> str | None:
    """Return the id that a key of the list names; None where it names none."""
    upstream = key.removeprefix(names.PREFIX_SERVERS)
    return upstream if ID_PATTERN.fullmatch(upstream) else None


def read_evacuated_data_centre(key: str) -> str | None:
    """Return the data centre whose evacuation a key names; None where it names none."""
    if not key.startswith(names.PREFIX_EVACUATIONS):
        return None
    return key.removeprefix(names.PREFIX_EVACUATIONS) or None


def decode_entry(*, upstream: str, value: bytes | None) -> Entry:
    """Return the product's form of one item; None is one that was removed.

    Raises DocumentInvalid for one that names no upstream to use.
    """
    if value is None:
        return Entry(upstream=upstream, state=EntryState.GONE)
    server = validate_json(kind=WireServer, document=value)
    return Entry(
        upstream=upstream,
        state=EntryState.READY if server.state == "ready" else EntryState.LEAVING,
        service=server.service,
        address=_read_address(server.address),
        data_centre=server.zone,
        slots=server.slots,
        warm_up_ms=int(server.cold_left_ms),
        started_ms=server.born or 0,
    )


def _read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    try:
        host = str(ipaddress.ip_address(host.strip("[]")))
        if port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT:
            return Address(host=host, port=int(port))
    except ValueError:
        pass
    raise DocumentInvalid((FieldError(path="$.address", message="It is no IP address and port"),))
