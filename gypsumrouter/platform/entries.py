"""Entries of the platform's list of runners, decoded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Literal

from pydantic import TypeAdapter, ValidationError

from gypsumrouter.directory import Entry, EntryState
from gypsumrouter.exceptions import DocumentInvalid
from gypsumrouter.fleet.models import Address
from gypsumrouter.platform import names
from gypsumrouter.util.checked import list_field_errors


@dataclass(slots=True, kw_only=True, frozen=True)
class WireServer:
    """What a runner writes of itself; its id stands only in the key of the item."""

    service: str
    # IP:PORT.
    address: str
    zone: str = ""
    slots: int = 1
    state: Literal["ready", "draining"] = "ready"
    # How much longer it is slow after its start, in milliseconds.
    cold_left_ms: float = 0.0


_ADAPTER: Final = TypeAdapter(WireServer)


def decode_entry(*, key: str, value: bytes | None) -> Entry:
    """Return the product's form of one item; None is one that was removed.

    Raises DocumentInvalid.
    """
    upstream = key.removeprefix(names.PREFIX_SERVERS)
    if value is None:
        return Entry(upstream=upstream, state=EntryState.GONE)
    try:
        server = _ADAPTER.validate_json(value)
    except ValidationError as error:
        raise DocumentInvalid(list_field_errors(error)) from None
    host, _, port = server.address.rpartition(":")
    return Entry(
        upstream=upstream,
        state=EntryState.READY if server.state == "ready" else EntryState.LEAVING,
        service=server.service,
        address=Address(host=host, port=int(port)),
        data_centre=server.zone,
        slots=server.slots,
        cold_ms=int(server.cold_left_ms),
    )
