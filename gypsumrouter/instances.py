"""Instances of the platform and their addresses, as values."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.const import InstanceState, Role


class Address(Struct, frozen=True, kw_only=True):
    """An IP literal and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address that `str` wrote."""
    host, _, port = text.rpartition(":")
    return Address(host=host.strip("[]"), port=int(port))


class Instance(Struct, frozen=True, kw_only=True):
    """One process of the system: where its link listens and what it serves.

    `pool` is empty for routers. `weight` is the size of the upstream against others of its pool.
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
    """One state of the list: `revision` grows by one with each change.

    `as_of_ms` is the wall time at which the platform says that this was its state; a lagging
    reader gets an old one.
    """

    revision: int
    as_of_ms: int
    instances: tuple[Instance, ...]
