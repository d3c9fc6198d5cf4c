"""Propagation of store changes under pauses, partitions and restores in any order."""

from __future__ import annotations

import asyncio
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from peer_fleet import STEP_MS, FleetRouter, PeerFleet

from gypsumrouter.directory import EntryState
from gypsumrouter.util.revisions import make_revision

SIZES = (4, 3, 3, 1)
# Time within which a change has to be applied, and how long a router must have been without a
# fault for this to be required.
BOUND_MS = 2_000
STABLE_MS = 3_000
STATES = (EntryState.LEAVING, EntryState.GONE)

# Revision of the store's first item, which every backup contains.
FIRST_REVISION = 101

router_numbers = st.integers(0, sum(SIZES) - 1)


class WatchingMachine(RuleBasedStateMachine):
    """A router that is running and connected applies each change within `BOUND_MS`."""

    sizes: tuple[int, ...] = SIZES

    def __init__(self) -> None:
        super().__init__()
        self._loop = asyncio.new_event_loop()
        self._fleet: PeerFleet
        self._last_fault_ms: dict[str, int] = {}
        # Times of the changes, and the revision after each.
        self._changes: list[tuple[int, int]] = []
        self._restored_ms = -STABLE_MS
        # Time and state of the last change, if it has to be applied in time.
        self._last_change: tuple[int, EntryState] | None = None

    @initialize()
    def start(self) -> None:
        """Start the fleet."""

        async def async_start() -> PeerFleet:
            fleet = PeerFleet(*self.sizes)
            await fleet.async_start()
            return fleet

        self._fleet = self._loop.run_until_complete(async_start())

    def teardown(self) -> None:
        """Stop the fleet."""
        if hasattr(self, "_fleet"):
            self._loop.run_until_complete(self._fleet.async_stop())
        self._loop.close()

    @rule(number=st.integers(0, 1))
    def change(self, number: int) -> None:
        """Write a state of upstream i-1."""
        self._fleet.store.put(STATES[number])
        now_ms = self._fleet.clock.now_ms()
        # There is no time limit for changes written right after a restore.
        self._last_change = None
        if now_ms - self._restored_ms >= STABLE_MS:
            self._changes.append((now_ms, self._fleet.store.as_of))
            self._last_change = (now_ms, STATES[number])

    @rule(number=router_numbers, running=st.booleans())
    def pause(self, number: int, running: bool) -> None:
        """Pause a router or resume it."""
        router = self._fleet.routers[number]
        router.running = running
        self._record_fault(router)

    @rule(number=router_numbers, partitioned=st.booleans())
    def partition(self, number: int, partitioned: bool) -> None:
        """Partition a router from the store or reconnect it."""
        router = self._fleet.routers[number]
        router.partitioned = partitioned
        self._record_fault(router)

    @rule(number=router_numbers, silent=st.booleans())
    def lose_connection(self, number: int, silent: bool) -> None:
        """Reset the connection of a router to the store, or let it go silent."""
        router = self._fleet.routers[number]
        if silent:
            router.store_view.silence()
        else:
            router.store_view.reset()
        self._record_fault(router)

    @rule(duration_ms=st.sampled_from((100, 400, 1_000, 3_000)))
    def advance(self, duration_ms: int) -> None:
        """Advance the clock and check all routers after each step."""

        async def async_check_steps() -> None:
            for _ in range(duration_ms // STEP_MS):
                await self._fleet.async_advance(STEP_MS)
                self._check()

        self._loop.run_until_complete(async_check_steps())

    @invariant()
    def revisions_never_decrease(self) -> None:
        """A router never returns to an older list revision."""
        if not hasattr(self, "_fleet"):
            return
        for router in self._fleet.routers:
            assert router.directory.applied_revision >= router.max_seen_revision
            router.max_seen_revision = router.directory.applied_revision

    def _record_fault(self, router: FleetRouter) -> None:
        self._last_fault_ms[router.name] = self._fleet.clock.now_ms()

    def _check(self) -> None:
        now_ms = self._fleet.clock.now_ms()
        for router in self._fleet.routers:
            if self._is_healthy(router, now_ms):
                required = self._get_required_revision(now_ms)
                assert router.directory.applied_revision >= required, router.name
                self._check_last(router, now_ms)

    def _check_last(self, router: FleetRouter, now_ms: int) -> None:
        """Check that a router has applied the last change, whatever its revision is."""
        if self._last_change is None:
            return
        at_ms, state = self._last_change
        if now_ms - at_ms >= BOUND_MS:
            assert router.upstream_state is state, router.name

    def _is_healthy(self, router: FleetRouter, now_ms: int) -> bool:
        if router.partitioned or not router.running:
            return False
        return now_ms - self._last_fault_ms.get(router.name, -STABLE_MS) >= STABLE_MS

    def _get_required_revision(self, now_ms: int) -> int:
        """Return the highest revision that every healthy router must have applied."""
        required = [rev for at_ms, rev in self._changes if now_ms - at_ms >= BOUND_MS]
        return max(required, default=0)


class RestoringMachine(WatchingMachine):
    """Adds restores of the store from backups, after which revisions are reused."""

    @rule(lost=st.integers(1, 6), written_again=st.booleans())
    def restore(self, lost: int, written_again: bool) -> None:
        """Restore a backup that lacks the last few changes."""
        store = self._fleet.store
        known = store.items[-1]
        # Changes that are lost before any router has seen them are known to nobody.
        seen = max(router.directory.applied_revision for router in self._fleet.routers)
        first_lost = make_revision(
            epoch=store.epoch, number=max(FIRST_REVISION, store.revision - lost) + 1
        )
        self._changes = [(at, rev) for at, rev in self._changes if rev < first_lost or rev <= seen]
        store.restore(max(FIRST_REVISION, store.revision - lost))
        if written_again:
            store.put(EntryState((known.value or b"").decode()))
        self._restored_ms = self._fleet.clock.now_ms()
        self._last_change = None
        for router in self._fleet.routers:
            self._record_fault(router)


class RestartingMachine(WatchingMachine):
    """Adds restarts of routers, which then know nothing of what was removed before.

    One router of each data centre watches the store.
    """

    sizes = (4, 3, 2, 1, 1)

    @rule(
        number=st.sampled_from((0, 4, 7)),
        away_ms=st.sampled_from((0, 300, 900)),
        removed=st.booleans(),
    )
    def restart(self, number: int, away_ms: int, removed: bool) -> None:
        """End the process of a router and start a new one, with a change in between."""

        async def async_restart() -> None:
            await self._fleet.async_stop_router(number)
            await self._fleet.async_advance(away_ms)
            self.change(int(removed))
            self._fleet.start_router(number)

        self._loop.run_until_complete(async_restart())
        self._record_fault(self._fleet.routers[number])

    def _get_required_revision(self, now_ms: int) -> int:
        """Return 0: a new process does not know the revisions of removed upstreams."""
        return 0

    def _check_last(self, router: FleetRouter, now_ms: int) -> None:
        if self._last_change is None:
            return
        at_ms, state = self._last_change
        if now_ms - at_ms >= BOUND_MS:
            known = router.upstream_state or EntryState.GONE
            assert known is state, router.name


TestWatching: Any = WatchingMachine.TestCase
TestWatching.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
TestRestoring: Any = RestoringMachine.TestCase
TestRestoring.settings = settings(max_examples=10, stateful_step_count=20, deadline=None)
TestRestarting: Any = RestartingMachine.TestCase
TestRestarting.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None, derandomize=True
)
