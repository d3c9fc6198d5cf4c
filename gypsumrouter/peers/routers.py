"""The other routers, as far as this one has heard of them."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from gypsumrouter.instances import Address, parse_address
from gypsumrouter.link import Peer
from gypsumrouter.peers.const import ALIVE_MS, FORGET_MS, MAX_ROUTERS
from gypsumrouter.util.clock import Clock

_LOGGER = logging.getLogger(__name__)

# Nothing was ever heard of a router.
NEVER: Final = -(1 << 62)


class KnownRouter:
    """One other router, by the address of its link.

    `peer` is the link over which it last told its news.
    """

    __slots__ = (
        "address",
        "data_centre",
        "heard_ms",
        "incarnation",
        "peer",
        "reached",
        "reached_ms",
        "renewed",
        "routers_told",
        "routers_told_ms",
        "seed",
        "told",
    )

    def __init__(self, *, address: Address, seed: bool, now_ms: int) -> None:
        self.address = address
        self.seed = seed
        # Up to where it was told what was placed; a new incarnation knows nothing of it.
        self.told = 0
        self.incarnation: int | None = None
        self.renewed = False
        self.routers_told = 0
        self.routers_told_ms = now_ms
        self.reached: bool | None = None
        self.reached_ms = now_ms
        self.data_centre = ""
        self.heard_ms = NEVER
        self.peer: Peer | None = None

    def note_heard(self, peer: Peer, *, data_centre: str, now_ms: int) -> None:
        """Take note of news; a new incarnation is told everything again."""
        self.peer = peer
        self.data_centre = data_centre
        self.heard_ms = now_ms
        if self.incarnation == peer.hello.incarnation:
            return
        self.renewed = self.incarnation is not None
        self.routers_told = 0
        self.incarnation = peer.hello.incarnation
        self.told = 0


class RouterBook:
    """All routers that are known, by the address of their link; this router is not among them."""

    __slots__ = ("_clock", "_routers", "data_centre", "own")

    def __init__(self, *, clock: Clock, own: str, data_centre: str) -> None:
        self._clock = clock
        self._routers: dict[str, KnownRouter] = {}
        self.own = own
        self.data_centre = data_centre

    def __len__(self) -> int:
        return len(self._routers)

    def __iter__(self) -> Iterator[str]:
        return iter(self._routers)

    def __contains__(self, text: str) -> bool:
        return text in self._routers

    def get(self, text: str) -> KnownRouter | None:
        """Return a router by its address."""
        return self._routers.get(text)

    def items(self) -> tuple[tuple[str, KnownRouter], ...]:
        """Return all routers with their addresses."""
        return tuple(self._routers.items())

    def learn(self, text: str, *, seed: bool = False) -> bool:
        """Take an address; return whether it is new and usable."""
        if text == self.own or not text or len(self._routers) >= MAX_ROUTERS:
            return False
        if text in self._routers:
            return False
        try:
            address = parse_address(text)
        except ValueError:
            _LOGGER.warning("A peer named %r, which is no address", text)
            return False
        now_ms = self._clock.now_ms()
        self._routers[text] = KnownRouter(address=address, seed=seed, now_ms=now_ms)
        return True

    def forget_unreached(self, text: str) -> bool:
        """Forget a router that nobody answers for; return whether it was forgotten."""
        known = self._routers[text]
        silent_ms = self._clock.now_ms() - known.reached_ms
        if known.seed or known.reached or silent_ms <= FORGET_MS:
            return False
        del self._routers[text]
        return True

    def count_alive(self) -> int:
        """Return the number of routers that were heard a moment ago."""
        return sum(1 for known in self._routers.values() if self._is_alive(known))

    def count_seeds(self) -> int:
        """Return the number of seeds among them."""
        return sum(1 for known in self._routers.values() if known.seed)

    def list_neighbours(self) -> dict[str, KnownRouter]:
        """Return the living routers of this data centre."""
        return {
            text: known
            for text, known in self._routers.items()
            if known.data_centre == self.data_centre and self._is_alive(known)
        }

    def count_by_data_centre(self) -> dict[str, int]:
        """Return the number of living routers in each data centre, this one counted."""
        counts: dict[str, int] = defaultdict(int)
        counts[self.data_centre] = 1
        for known in self._routers.values():
            if self._is_alive(known):
                counts[known.data_centre] += 1
        return counts

    def _is_alive(self, known: KnownRouter) -> bool:
        return self._clock.now_ms() - known.heard_ms < ALIVE_MS
