"""Decodes the store's entries for runners (upstreams) and evacuations."""

from __future__ import annotations

import re
from typing import Annotated, Final, Literal

from msgspec import Meta, Raw, Struct

from gypsumrouter.directory import Entry, EntryState
from gypsumrouter.exceptions import DocumentInvalid, FieldError
from gypsumrouter.helpers.json_documents import read_raw_number
from gypsumrouter.instances import Address, parse_ip_address
from gypsumrouter.platform import names
from gypsumrouter.util.validation import JsonCount, ShortText, validate_json

# Messages between routers have 32 bits for the slots.
MAX_SLOTS: Final = 2**32 - 1
# Ids are forwarded in a header; the store limits keys to 200 bytes.
ID_PATTERN: Final = re.compile(r"[A-Za-z0-9_.:-]{1,200}")


class WireServer(Struct, frozen=True, kw_only=True):
    """A runner's own entry in the store; its id is only in the item's key."""

    service: Annotated[ShortText, Meta(min_length=1)]
    # IP:PORT.
    address: ShortText
    zone: ShortText
    slots: Annotated[int, Meta(gt=0, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # Remaining duration of its slow start, in milliseconds.
    cold_left_ms: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    # Orders the commands that it accepted, not its writes.
    sequence: JsonCount = 0
    # Software version; not the version of its model.
    version: ShortText = ""
    # Start in Unix milliseconds, which tells restarts under an id; an odd one counts as not stated.
    born: Raw = Raw(b"")


def read_upstream_id(key: str) -> str | None:
    """Return the upstream id in an item's key; None if the key has no valid id."""
    upstream = key.removeprefix(names.PREFIX_SERVERS)
    return upstream if ID_PATTERN.fullmatch(upstream) else None


def read_evacuated_data_centre(key: str) -> str | None:
    """Return the data centre in the key of an evacuation; None for any other key."""
    if not key.startswith(names.PREFIX_EVACUATIONS):
        return None
    data_centre = key.removeprefix(names.PREFIX_EVACUATIONS)
    # Text that is not Unicode is not printable either; messages to peers can't carry it.
    return data_centre if data_centre.isprintable() and data_centre else None


def decode_entry(*, upstream: str, value: bytes | None) -> Entry:
    """Decode the value of an upstream's item; None if the item was removed.

    Raises DocumentInvalid if the value is not a valid entry.
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
        started_ms=read_raw_number(server.born) or 0,
        version=server.version,
    )


def _read_address(text: str) -> Address:
    try:
        return parse_ip_address(text)
    except ValueError:
        message = f"Expected `IP:PORT`, got {text!r:.60}"
        raise DocumentInvalid((FieldError(path="$.address", message=message),)) from None
