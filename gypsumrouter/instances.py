"""Instances of the platform and their addresses."""

from __future__ import annotations

import ipaddress

from msgspec import Struct

from gypsumrouter.const import InstanceState, Role
from gypsumrouter.helpers.numbers import MAX_PORT, read_number


class Address(Struct, frozen=True, kw_only=True):
    """An IP literal and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse the text form of an address, HOST:PORT or [HOST]:PORT; raises ValueError."""
    host, _, port = text.rpartition(":")
    number = read_number(port, largest=MAX_PORT)
    if number is None:
        raise ValueError(f"expected HOST:PORT, got {text!r:.60}")
    return Address(host=host.strip("[]"), port=number)


def parse_ip_address(text: str) -> Address:
    """Parse IP:PORT or [IP]:PORT with a port from 1 on; raises ValueError."""
    address = parse_address(text)
    if not address.port:
        raise ValueError(f"expected a port from 1 on, got {text!r:.60}")
    return Address(host=str(ipaddress.ip_address(address.host)), port=address.port)


class Instance(Struct, frozen=True, kw_only=True):
    """One process of the system: the address of its link and the pool that it serves.

    `pool` is empty for routers. `weight` is the capacity of the upstream relative to others of its
    pool.
    """

    name: str
    role: Role
    address: Address
    data_centre: str
    region: str
    pool: str = ""
    weight: float = 1.0
    state: InstanceState = InstanceState.LIVE


class InstanceList(Struct, frozen=True, kw_only=True):
    """A snapshot of the instance list; `revision` increases by one with each change.

    It includes the epoch, which counts the restores of the platform (see `util.revisions`).
    `as_of_ms` is the wall-clock time of the snapshot on the platform; a lagging replica returns an
    old one.
    """

    revision: int
    as_of_ms: int
    instances: tuple[Instance, ...]
