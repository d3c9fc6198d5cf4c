"""The other routers and data centres, as far as this router has heard of them."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from typing import Final

from msgspec import Struct

from gypsumrouter.instances import Address, parse_address
from gypsumrouter.link import Peer, RouterAt
from gypsumrouter.peers.const import ALIVE_TIMEOUT_MS, MAX_KNOWN_ROUTERS, ROUTER_EXPIRY_MS
from gypsumrouter.util.clock import Clock

_LOGGER = logging.getLogger(__name__)

# Nothing was ever heard.
NEVER_MS: Final = -(1 << 62)


class PeerRouter:
    """One other router, by the address of its link.

    `peer` is the link over which it last told its news. `last_seen_ms` is when it or a router of its
    data centre last said that it lives.
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
    )

    def __init__(self, *, address: Address, data_centre: str, seed: bool, now_ms: int) -> None:
        self.address = address
        self.data_centre = data_centre
        self.seed = seed
        # Up to where it was told what was placed here, and what other data centres placed; a new
        # incarnation knows nothing of it.
        self.sent_position = 0
        self.relayed_position = 0
        self.incarnation: int | None = None
        self.restarted = False
        self.sent_router_count = 0
        self.sent_routers_ms = now_ms
        self.reachable: bool | None = None
        self.last_reached_ms = now_ms
        self.last_seen_ms = now_ms
        self.last_update_ms = NEVER_MS
        self.peer: Peer | None = None

    def note_update(self, peer: Peer, *, data_centre: str, now_ms: int) -> None:
        """Take note of news; a new incarnation is told everything again."""
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
    """Another data centre: how many of its routers live, and which of them told so.

    `told` is up to where it was told what was placed here, `tried` counts routers that were tried
    since it was last heard.
    """

    last_update_ms: int = NEVER_MS
    alive: int = 0
    relay: str = ""
    sent_position: int = 0
    attempts: int = 0


class RouterRegistry:
    """All routers that are known, by the address of their link; this router is not among them."""

    __slots__ = ("_clock", "_last_added_ms", "_routers", "data_centre", "data_centres", "own")

    def __init__(self, *, clock: Clock, own: str, data_centre: str) -> None:
        self._clock = clock
        self._routers: dict[str, PeerRouter] = {}
        self._last_added_ms = clock.now_ms()
        self.own = own
        self.data_centre = data_centre
        self.data_centres: dict[str, RemoteDataCentre] = {}

    def __len__(self) -> int:
        return len(self._routers)

    def __iter__(self) -> Iterator[str]:
        return iter(self._routers)

    def __contains__(self, text: str) -> bool:
        return text in self._routers

    def get(self, text: str) -> PeerRouter | None:
        """Return a router by its address."""
        return self._routers.get(text)

    def items(self) -> tuple[tuple[str, PeerRouter], ...]:
        """Return all routers with their addresses."""
        return tuple(self._routers.items())

    def add(self, text: str, *, data_centre: str = "", seed: bool = False) -> PeerRouter | None:
        """Take an address, and where it is; return the router, or None for what is none."""
        known = self._routers.get(text)
        if known is not None:
            known.data_centre = known.data_centre or data_centre
            return known
        if text == self.own or not text or len(self._routers) >= MAX_KNOWN_ROUTERS:
            return None
        try:
            address = parse_address(text)
        except ValueError:
            _LOGGER.warning("A peer named %r, which is no address", text)
            return None
        now_ms = self._clock.now_ms()
        known = PeerRouter(address=address, data_centre=data_centre, seed=seed, now_ms=now_ms)
        self._routers[text] = known
        self._last_added_ms = now_ms
        return known

    def receives_updates(self, text: str) -> bool:
        """Return whether a router is told news directly: a neighbour that is known, or a seed."""
        known = self._routers.get(text)
        return known is not None and (known.seed or self.is_neighbour(known))

    def is_neighbour(self, known: PeerRouter) -> bool:
        """Return whether a router is in this data centre."""
        return known.data_centre == self.data_centre

    def note_data_centre(
        self, name: str, *, alive: int, routers: Iterable[str], relay: str = ""
    ) -> None:
        """Take what was heard of another data centre; `relay` is its router that said so itself."""
        now_ms = self._clock.now_ms()
        data_centre = self.data_centres.setdefault(name, RemoteDataCentre())
        data_centre.last_update_ms = now_ms
        data_centre.alive = alive
        if relay:
            data_centre.relay = relay
            data_centre.attempts = 0
        for text in routers:
            known = self.add(text, data_centre=name)
            if known is not None:
                known.last_seen_ms = now_ms

    def expire(self) -> None:
        """Forget routers that nobody heard of for long, but for seeds."""
        since_ms = self._clock.now_ms() - ROUTER_EXPIRY_MS
        for text, known in self.items():
            if not known.seed and known.last_seen_ms < since_ms:
                del self._routers[text]

    def count_alive(self) -> int:
        """Return the number of living routers of the fleet, without this one."""
        return sum(self.count_by_data_centre().values()) - 1

    def count_seeds(self) -> int:
        """Return the number of seeds among them."""
        return sum(1 for known in self._routers.values() if known.seed)

    def list_neighbours(self, *, within_ms: int = ALIVE_TIMEOUT_MS) -> dict[str, PeerRouter]:
        """Return the routers of this data centre that were heard within a time."""
        since_ms = self._clock.now_ms() - within_ms
        return {
            text: known
            for text, known in self._routers.items()
            if self.is_neighbour(known) and known.last_update_ms > since_ms
        }

    def list_in_data_centre(self, name: str) -> list[str]:
        """Return the known routers of another data centre, in the order of their addresses."""
        return sorted(t for t, known in self._routers.items() if known.data_centre == name)

    def list_addresses(self) -> tuple[str, ...]:
        """Return the routers that may live: those that somebody heard of lately, and all seeds."""
        since_ms = self._clock.now_ms() - ROUTER_EXPIRY_MS // 2
        return tuple(
            text
            for text, known in self._routers.items()
            if known.seed or known.last_seen_ms >= since_ms
        )

    def get_grown_ms(self) -> int:
        """Return when a router was last heard of for the first time."""
        return self._last_added_ms

    def has_heard(self) -> bool:
        """Return whether any other router was ever heard, where there are others."""
        if not self._routers:
            return True
        return any(known.last_update_ms != NEVER_MS for known in self._routers.values())

    def list_live_routers(self) -> tuple[RouterAt, ...]:
        """Return the routers that somebody heard of lately, for others."""
        since_ms = self._clock.now_ms() - ROUTER_EXPIRY_MS // 2
        return tuple(
            RouterAt(address=text, data_centre=known.data_centre)
            for text, known in self._routers.items()
            if known.last_seen_ms >= since_ms
        )

    def list_data_centres(self) -> set[str]:
        """Return the names of the other data centres."""
        names = {known.data_centre for known in self._routers.values()}
        return (names | self.data_centres.keys()) - {"", self.data_centre}

    def count_by_data_centre(self) -> dict[str, int]:
        """Return the number of living routers in each data centre, this one counted."""
        since_ms = self._clock.now_ms() - ALIVE_TIMEOUT_MS
        counts = {self.data_centre: 1}
        for known in self._routers.values():
            if known.last_update_ms > since_ms:
                counts[known.data_centre] = counts.get(known.data_centre, 0) + 1
        for name, data_centre in self.data_centres.items():
            if data_centre.last_update_ms > since_ms:
                counts[name] = max(data_centre.alive, counts.get(name, 0))
        return counts
