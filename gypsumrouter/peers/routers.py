"""Registry of the other routers and data centres that this router has learned of."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from heapq import nsmallest
from typing import Final

import xxhash
from msgspec import Struct

from gypsumrouter.instances import Address, parse_address
from gypsumrouter.link import Peer, RouterAddress
from gypsumrouter.peers.const import ALIVE_TIMEOUT_MS, MAX_KNOWN_ROUTERS, ROUTER_EXPIRY_MS
from gypsumrouter.util.clock import Clock

_LOGGER = logging.getLogger(__name__)

# Time of an event that has not happened.
NEVER_MS: Final = -(1 << 62)


class PeerRouter:
    """State of one other router, which is identified by the address of its link.

    `peer` is the link on which its last update arrived, at `last_update_ms`. `last_seen_ms` is
    when it, or the relay of its data centre, last reported that it is running.
    """

    __slots__ = (
        "address",
        "data_centre",
        "incarnation",
        "last_reached_ms",
        "last_seen_ms",
        "last_update_ms",
        "peer",
        "reachable",
        "relayed_position",
        "restarted",
        "seed",
        "sent_position",
        "sent_router_count",
        "sent_routers_ms",
        "sent_usage_ms",
    )

    def __init__(self, *, address: Address, data_centre: str, seed: bool, now_ms: int) -> None:
        self.address = address
        self.data_centre = data_centre
        self.seed = seed
        # Positions up to which it has received the parts placed in this data centre and in others;
        # reset when it restarts.
        self.sent_position = 0
        self.relayed_position = 0
        self.incarnation: int | None = None
        self.restarted = False
        self.sent_router_count = 0
        self.sent_routers_ms = now_ms
        self.sent_usage_ms = NEVER_MS
        self.reachable: bool | None = None
        self.last_reached_ms = now_ms
        self.last_seen_ms = now_ms
        self.last_update_ms = NEVER_MS
        self.peer: Peer | None = None

    def note_update(self, peer: Peer, *, data_centre: str, now_ms: int) -> None:
        """Record an update from this router; after a restart, all state is sent to it again."""
        self.peer = peer
        self.data_centre = data_centre
        self.last_update_ms = now_ms
        self.last_seen_ms = now_ms
        if self.incarnation == peer.hello.incarnation:
            return
        self.restarted = self.incarnation is not None
        self.sent_router_count = 0
        self.incarnation = peer.hello.incarnation
        self.sent_position = 0
        self.relayed_position = 0


class RemoteDataCentre(Struct, kw_only=True):
    """State of another data centre.

    `alive` is the number of its live routers as last reported by `relay`. `sent_position` is the
    position up to which it has received the parts placed here. `attempts` counts the routers that
    were tried since the last update from its relay. `sent_usage_ms` is when it was last sent a
    summary of workspaces' work.
    """

    last_update_ms: int = NEVER_MS
    alive: int = 0
    relay: str = ""
    sent_position: int = 0
    attempts: int = 0
    sent_usage_ms: int = NEVER_MS


class RouterRegistry:
    """The known routers by the address of their link, without this router."""

    __slots__ = (
        "_clock",
        "_last_added_ms",
        "_routers",
        "data_centre",
        "data_centres",
        "own_address",
    )

    def __init__(self, *, clock: Clock, own_address: str, data_centre: str) -> None:
        self._clock = clock
        self._routers: dict[str, PeerRouter] = {}
        self._last_added_ms = clock.now_ms()
        self.own_address = own_address
        self.data_centre = data_centre
        self.data_centres: dict[str, RemoteDataCentre] = {}

    def __len__(self) -> int:
        return len(self._routers)

    def __iter__(self) -> Iterator[str]:
        return iter(self._routers)

    def __contains__(self, address: str) -> bool:
        return address in self._routers

    def get(self, address: str) -> PeerRouter | None:
        """Return a router by its address."""
        return self._routers.get(address)

    def get_name(self, address: str) -> str:
        """Return the name of the router at an address, or the address if no link told its name."""
        known = self._routers.get(address)
        return address if known is None or known.peer is None else known.peer.hello.name

    def items(self) -> tuple[tuple[str, PeerRouter], ...]:
        """Return all routers with their addresses."""
        return tuple(self._routers.items())

    def add(self, address: str, *, data_centre: str = "", seed: bool = False) -> PeerRouter | None:
        """Add a router unless it is known; return it.

        Returns None for this router's own address, an invalid address or a full registry.
        """
        known = self._routers.get(address)
        if known is not None:
            known.data_centre = known.data_centre or data_centre
            return known
        if address == self.own_address or not address or len(self._routers) >= MAX_KNOWN_ROUTERS:
            return None
        try:
            parsed = parse_address(address)
        except ValueError:
            _LOGGER.warning("Ignoring a router with invalid address %r; expected IP:PORT", address)
            return None
        now_ms = self._clock.now_ms()
        known = PeerRouter(address=parsed, data_centre=data_centre, seed=seed, now_ms=now_ms)
        self._routers[address] = known
        self._last_added_ms = now_ms
        return known

    def receives_updates(self, address: str) -> bool:
        """Return whether a router receives updates directly, as a neighbour or a seed."""
        known = self._routers.get(address)
        return known is not None and (known.seed or self.is_neighbour(known))

    def is_neighbour(self, known: PeerRouter) -> bool:
        """Return whether a router is in this data centre."""
        return known.data_centre == self.data_centre

    def note_data_centre(
        self, name: str, *, alive: int, routers: Iterable[str], relay: str = ""
    ) -> None:
        """Record the state of another data centre; `relay` is set if its relay sent the update."""
        now_ms = self._clock.now_ms()
        data_centre = self.data_centres.setdefault(name, RemoteDataCentre())
        data_centre.last_update_ms = now_ms
        data_centre.alive = alive
        if relay:
            data_centre.relay = relay
            data_centre.attempts = 0
        for address in routers:
            known = self.add(address, data_centre=name)
            if known is not None:
                known.last_seen_ms = now_ms

    def expire(self) -> None:
        """Remove routers, except seeds, that were not seen within `ROUTER_EXPIRY_MS`."""
        since_ms = self._clock.now_ms() - ROUTER_EXPIRY_MS
        for address, known in self.items():
            if not known.seed and known.last_seen_ms < since_ms:
                del self._routers[address]

    def count_alive(self) -> int:
        """Return the number of live routers of the fleet, without this one."""
        return sum(self.count_by_data_centre().values()) - 1

    def count_seeds(self) -> int:
        """Return the number of known seeds."""
        return sum(1 for known in self._routers.values() if known.seed)

    def list_neighbours(self, *, within_ms: int = ALIVE_TIMEOUT_MS) -> dict[str, PeerRouter]:
        """Return the routers of this data centre that sent an update within `within_ms`."""
        since_ms = self._clock.now_ms() - within_ms
        return {
            address: known
            for address, known in self._routers.items()
            if self.is_neighbour(known) and known.last_update_ms > since_ms
        }

    def list_in_data_centre(self, name: str) -> list[str]:
        """Return the addresses of the known routers of another data centre, sorted."""
        return sorted(
            address for address, known in self._routers.items() if known.data_centre == name
        )

    def list_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all seeds and of the routers that were seen recently."""
        since_ms = self._clock.now_ms() - ROUTER_EXPIRY_MS // 2
        return tuple(
            address
            for address, known in self._routers.items()
            if known.seed or known.last_seen_ms >= since_ms
        )

    def rank(self, *, key: int, count: int) -> list[str]:
        """Return the addresses of the first `count` routers in the rendezvous order of a key."""
        seed = key.to_bytes(8, "little")
        return nsmallest(
            count,
            self.list_addresses(),
            key=lambda address: xxhash.xxh3_64_intdigest(seed + address.encode()),
        )

    def is_among_first(self, *, key: int, count: int) -> bool:
        """Return whether this router is one of the first in the rendezvous order of a key."""
        seed = key.to_bytes(8, "little")
        own = xxhash.xxh3_64_intdigest(seed + self.own_address.encode())
        others = (
            xxhash.xxh3_64_intdigest(seed + address.encode()) for address in self.list_addresses()
        )
        return sum(other < own for other in others) < count

    def get_last_added_ms(self) -> int:
        """Return when the last router was added."""
        return self._last_added_ms

    def has_received_update(self) -> bool:
        """Return whether any update was received, or no other router is known."""
        if not self._routers:
            return True
        return any(known.last_update_ms != NEVER_MS for known in self._routers.values())

    def list_live_routers(self) -> tuple[RouterAddress, ...]:
        """Return the routers that were seen recently, as message entries."""
        since_ms = self._clock.now_ms() - ROUTER_EXPIRY_MS // 2
        return tuple(
            RouterAddress(address=address, data_centre=known.data_centre)
            for address, known in self._routers.items()
            if known.last_seen_ms >= since_ms
        )

    def list_data_centres(self) -> set[str]:
        """Return the names of the other data centres."""
        names = {known.data_centre for known in self._routers.values()}
        return (names | self.data_centres.keys()) - {"", self.data_centre}

    def count_by_data_centre(self) -> dict[str, int]:
        """Return the number of live routers in each data centre, including this one."""
        since_ms = self._clock.now_ms() - ALIVE_TIMEOUT_MS
        counts = {self.data_centre: 1}
        for known in self._routers.values():
            if known.last_update_ms > since_ms:
                counts[known.data_centre] = counts.get(known.data_centre, 0) + 1
        for name, data_centre in self.data_centres.items():
            if data_centre.last_update_ms > since_ms:
                counts[name] = max(data_centre.alive, counts.get(name, 0))
        return counts
