"""Callers of the soak that keep their connections until these end."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Final

from bench.raw_caller import RawCaller
from bench.soak_rig import SoakRig
from bench.soak_silence_checks import Call
from gypsumrouter.instances import Address

RETRY_S: Final = 0.05


class KeptCallers(ABC):
    """Callers of some routes; `callers` is how many each route has."""

    def __init__(self, *, rig: SoakRig, seed: int, callers: Mapping[str, int]) -> None:
        self._rig = rig
        self._seed = seed
        self._callers = callers
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        """Stop each caller after its current request."""
        self._stopping.set()

    async def async_run(self) -> None:
        """Send requests until stopped."""
        callers = [(route, n) for route, count in self._callers.items() for n in range(count)]
        await asyncio.gather(*(self._async_call_all(route, n) for route, n in callers))

    async def _async_call_all(self, route: str, caller: int) -> None:
        rng = random.Random(f"{self._seed}/{route}/{caller}")
        while not self._stopping.is_set():
            forwarder = self.choose_forwarder(route, caller, rng)
            address = Address(host="127.0.0.1", port=self._rig.get_callers_port(forwarder))
            connection = self.make_connection(address, route, rng)
            try:
                await connection.async_open()
                await self.async_use(connection, route, caller, forwarder, rng)
            except OSError:
                await asyncio.sleep(RETRY_S)
            finally:
                connection.close()

    def choose_forwarder(self, _route: str, _caller: int, rng: random.Random) -> int:
        """Return the forwarder to which a caller connects next."""
        return rng.randrange(self._rig.count)

    def make_connection(self, address: Address, _route: str, _rng: random.Random) -> RawCaller:
        """Return a connection of a caller of a route."""
        return RawCaller(address)

    @abstractmethod
    async def async_use(
        self, connection: RawCaller, route: str, caller: int, forwarder: int, rng: random.Random
    ) -> None:
        """Send requests on a connection until it ends or an answer says that it does."""


def count_ends(calls: Sequence[Call]) -> Counter[str]:
    """Count requests by route, end and status."""
    return Counter(f"{c.route} {c.answer.end.value} {c.answer.status}" for c in calls)
