"""Partitions between groups of processes that reach each other through fault proxies."""

from __future__ import annotations

from collections.abc import Collection

from gypsumrouter.standins.fault_proxy import FaultProxy


class Partition:
    """Proxies by the group that they are reached from and the group that they lead to."""

    __slots__ = ("_proxies",)

    def __init__(self) -> None:
        self._proxies: dict[tuple[str, str], list[FaultProxy]] = {}

    def add(self, *, source: str, target: str, proxy: FaultProxy) -> None:
        """Put a proxy between two groups."""
        self._proxies.setdefault((source, target), []).append(proxy)

    def find(self, *, source: str, target: str) -> tuple[FaultProxy, ...]:
        """Return the proxies that lead from one group to another."""
        return tuple(self._proxies.get((source, target), ()))

    def block(self, left: Collection[str], right: Collection[str]) -> None:
        """Let nothing pass between two sets of groups, whoever opens the connection."""
        for proxy in self._find_between(left, right):
            proxy.block()

    def unblock(self, left: Collection[str], right: Collection[str]) -> None:
        """Let everything pass between two sets of groups; what was held goes on."""
        for proxy in self._find_between(left, right):
            proxy.unblock()

    async def async_clear_faults(self) -> None:
        """End every fault of every proxy."""
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
