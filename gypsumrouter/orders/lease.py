"""Permission to send orders, derived from the instance list, and fencing numbers."""

from __future__ import annotations

from msgspec.structs import replace

from gypsumrouter.const import InstanceState, Role
from gypsumrouter.core import Application
from gypsumrouter.fleet import Address, Instance, InstanceList
from gypsumrouter.orders.const import FENCES_PER_MS, LEASE_SKEWS
from gypsumrouter.settings import Platform


class OrderLease:
    """A lease on the local engine, held by the process whose address is in the instance list.

    This process may send orders while the newest instance list that it has read is younger than
    `list_lease_ms` and has an entry with its own name and address. It must also have been listed
    for longer than the lease of a previous process can last. Fencing numbers are derived from the
    time of the list, so a replacement process issues higher ones without any stored state.
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
        """Return the sorted names of the pool's live sides in the newest list."""
        if self._newest is None:
            return ()
        return tuple(item.name for item in self._newest.instances if self._is_member(item))

    @property
    def last_fence(self) -> int:
        """Return the last fencing number issued, 0 before the first."""
        return self._last_fence

    def set_address(self, address: Address) -> None:
        """Set the address under which the list must contain this process."""
        self._address = address
        newest = self._newest
        self._newest = None
        if newest is not None:
            self.handle_list(newest)

    def handle_list(self, listed: InstanceList) -> None:
        """Handle a new list; after a gap in revisions another process may have been listed."""
        newest = self._newest
        if newest is None or listed.revision != newest.revision + 1:
            self._since_ms = None
        self._newest = listed
        if not self._is_listed(listed):
            self._since_ms = None
        elif self._since_ms is None:
            self._since_ms = listed.as_of_ms

    def renew(self, as_of_ms: int) -> None:
        """Record that the newest list was still current at `as_of_ms`."""
        if self._newest is not None and as_of_ms > self._newest.as_of_ms:
            self._newest = replace(self._newest, as_of_ms=as_of_ms)

    def find_block_reason(self) -> str:
        """Return why no order may be sent now, or an empty string."""
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
        """Return the fencing number of the next order."""
        as_of_ms = 0 if self._newest is None else self._newest.as_of_ms
        self._last_fence = max(self._last_fence + 1, as_of_ms * FENCES_PER_MS)
        return self._last_fence

    def handle_stale_fence(self, highest: int) -> None:
        """Record a higher fencing number that the engine has accepted from another process.

        Orders are blocked until the time of the list is past that number.
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
