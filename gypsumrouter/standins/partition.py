"""Network partitions between groups of processes that connect through fault proxies."""

from __future__ import annotations

from collections.abc import Collection

from gypsumrouter.standins.fault_proxy import FaultProxy


class Partition:
    """Proxies by the source and target group of their connections."""

    __slots__ = ("_proxies",)

    def __init__(self) -> None:
        self._proxies: dict[tuple[str, str], list[FaultProxy]] = {}

    def add(self, *, source: str, target: str, proxy: FaultProxy) -> None:
        """Register the proxy of connections from one group to another."""
        self._proxies.setdefault((source, target), []).append(proxy)

    def find(self, *, source: str, target: str) -> tuple[FaultProxy, ...]:
        """Return the proxies of connections from one group to another."""
        return tuple(self._proxies.get((source, target), ()))

    def block(self, left: Collection[str], right: Collection[str]) -> None:
        """Block all data between two sets of groups, whichever side opened the connection."""
        for proxy in self._find_between(left, right):
            proxy.block()

    def unblock(self, left: Collection[str], right: Collection[str]) -> None:
        """Unblock the data between two sets of groups and deliver what was held."""
        for proxy in self._find_between(left, right):
            proxy.unblock()

    async def async_clear_faults(self) -> None:
        """End all faults of all proxies."""
        for proxies in self._proxies.values():
            for proxy in proxies:
                await proxy.async_clear_faults()

    def _find_between(
        self, left: Collection[str], right: Collection[str]
    ) -> tuple[FaultProxy, ...]:
        return tuple(
            proxy
            for (source, target), proxies in self._proxies.items()
            if (source in left and target in right) or (source in right and target in left)
            for proxy in proxies
        )
