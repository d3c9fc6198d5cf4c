"""Whether this process may give orders now, by the published list alone, and with what number."""

from __future__ import annotations

from msgspec.structs import replace

from gypsumrouter.const import InstanceState, Role
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address, Instance, InstanceList
from gypsumrouter.orders.const import FENCES_PER_MS, LEASE_SKEWS
from gypsumrouter.settings import Platform


class OrderLease:
    """The right to give orders, which the list gives to the address that it names.

    The list is one sequence of states. This process may give orders while the newest state that
    it has read is younger than `list_lease_ms` and names it at its own address, and once it has
    been named for longer than another process can still hold the same right. Numbers are made of
    the list's time, so that those of a later process are higher though it remembers nothing.
    """

    __slots__ = (
        "_address",
        "_app",
        "_engine_fence",
        "_last_fence",
        "_newest",
        "_pool",
        "_settings",
        "_since_ms",
    )

    def __init__(self, *, app: Application, settings: Platform, pool: str) -> None:
        self._app = app
        self._settings = settings
        self._pool = pool
        self._address: Address | None = None
        self._newest: InstanceList | None = None
        self._since_ms: int | None = None
        self._last_fence = 0
        self._engine_fence = 0

    @property
    def members(self) -> tuple[str, ...]:
        """Return the names of the pool's live sides in the newest list, sorted."""
        if self._newest is None:
            return ()
        return tuple(item.name for item in self._newest.instances if self._is_member(item))

    @property
    def last_fence(self) -> int:
        """Return the highest number that was used, 0 before the first."""
        return self._last_fence

    def set_address(self, address: Address) -> None:
        """Say where the list must name this process."""
        self._address = address
        newest = self._newest
        self._newest = None
        if newest is not None:
            self.handle_list(newest)

    def handle_list(self, listed: InstanceList) -> None:
        """Take in the next list; a missed one may have named another process."""
        newest = self._newest
        if newest is None or listed.revision != newest.revision + 1:
            self._since_ms = None
        self._newest = listed
        if not self._is_listed(listed):
            self._since_ms = None
        elif self._since_ms is None:
            self._since_ms = listed.as_of_ms

    def renew(self, as_of_ms: int) -> None:
        """Take in that the newest list was unchanged by `as_of_ms`."""
        if self._newest is not None and as_of_ms > self._newest.as_of_ms:
            self._newest = replace(self._newest, as_of_ms=as_of_ms)

    def find_block_reason(self) -> str:
        """Return why no order may be given now, empty where one may."""
        if self._newest is None:
            return "the instance list has not been read"
        if self._since_ms is None:
            return "the instance list does not name this process at its address"
        wall_ms = self._app.clock.wall_ms()
        age_ms = wall_ms - self._newest.as_of_ms
        if not -self._settings.clock_skew_ms <= age_ms < self._settings.list_lease_ms:
            return f"the instance list is {age_ms} ms old"
        if wall_ms <= self._since_ms + self._get_handover_delay_ms():
            return "an earlier process may still give orders"
        if self._newest.as_of_ms * FENCES_PER_MS <= self._engine_fence:
            return "the engine has taken an order of a newer process"
        return ""

    def issue_fence(self) -> int:
        """Return the number of the next order."""
        as_of_ms = 0 if self._newest is None else self._newest.as_of_ms
        self._last_fence = max(self._last_fence + 1, as_of_ms * FENCES_PER_MS)
        return self._last_fence

    def handle_stale_fence(self, highest: int) -> None:
        """Take in that the engine knows a higher number.

        Orders go on only once the list names this process at a time beyond that number.
        """
        self._engine_fence = max(self._engine_fence, highest)

    def _get_handover_delay_ms(self) -> int:
        return self._settings.list_lease_ms + LEASE_SKEWS * self._settings.clock_skew_ms

    def _is_listed(self, listed: InstanceList) -> bool:
        return any(
            self._is_member(item) and item.name == self._app.name and item.address == self._address
            for item in listed.instances
        )

    def _is_member(self, instance: Instance) -> bool:
        return (
            instance.role is Role.SIDE
            and instance.pool == self._pool
            and instance.state is InstanceState.LIVE
        )
