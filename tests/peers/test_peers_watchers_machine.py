"""Routers that watch for others, under kills, pauses, cuts and restorations in any order."""

from __future__ import annotations

import asyncio
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from peer_fleet import STEP_MS, FleetRouter, PeerFleet

from gypsumrouter.directory import EntryState

SIZES = (4, 3, 3, 1)
# The tightest bound on a change, and how long a machine has to be well for it to hold.
BOUND_MS = 2_000
CALM_MS = 3_000
STATES = (EntryState.LEAVING, EntryState.GONE)

# The store's first item, which every copy has.
FIRST_REVISION = 101

router_numbers = st.integers(0, sum(SIZES) - 1)


class Watching(RuleBasedStateMachine):
    """A router that runs and reaches store and peers knows each change within its bound."""

    def __init__(self) -> None:
        super().__init__()
        self._loop = asyncio.new_event_loop()
        self._fleet: PeerFleet
        self._unwell_ms: dict[str, int] = {}
        # The changes so far: when, and the revision after it.
        self._changes: list[tuple[int, int]] = []
        self._restored_ms = -CALM_MS
        # When the list was changed last and to what, where that has a bound.
        self._last: tuple[int, EntryState] | None = None

    @initialize()
    def start(self) -> None:
        """Start a fleet."""

        async def async_start() -> PeerFleet:
            fleet = PeerFleet(*SIZES)
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
        """Change the list."""
        self._fleet.store.put(STATES[number])
        now_ms = self._fleet.clock.now_ms()
        # What a store acknowledges right after it came back from a copy has no bound.
        self._last = None
        if now_ms - self._restored_ms >= CALM_MS:
            self._changes.append((now_ms, self._fleet.store.as_of))
            self._last = (now_ms, STATES[number])

    @rule(number=router_numbers, runs=st.booleans())
    def pause(self, number: int, runs: bool) -> None:
        """Freeze a router for its peers, or wake it."""
        router = self._fleet.routers[number]
        router.runs = runs
        self._note_unwell(router)

    @rule(number=router_numbers, cut=st.booleans())
    def cut(self, number: int, cut: bool) -> None:
        """Cut a router off from the store, or bring it back."""
        router = self._fleet.routers[number]
        router.cut = cut
        self._note_unwell(router)

    @rule(duration_ms=st.sampled_from((100, 400, 1_000, 3_000)))
    def wait(self, duration_ms: int) -> None:
        """Let time pass, and check each router in each step."""

        async def async_wait() -> None:
            for _ in range(duration_ms // STEP_MS):
                await self._fleet.async_pass(STEP_MS)
                self._check()

        self._loop.run_until_complete(async_wait())

    @invariant()
    def nothing_is_undone(self) -> None:
        """No router forgets what it acted on."""
        if not hasattr(self, "_fleet"):
            return
        for router in self._fleet.routers:
            assert router.directory.applied_revision >= router.seen
            router.seen = router.directory.applied_revision

    def _note_unwell(self, router: FleetRouter) -> None:
        self._unwell_ms[router.name] = self._fleet.clock.now_ms()

    def _check(self) -> None:
        now_ms = self._fleet.clock.now_ms()
        for router in self._fleet.routers:
            if self._is_well(router, now_ms):
                due = self._get_due(now_ms)
                assert router.directory.applied_revision >= due, router.name
                self._check_last(router, now_ms)

    def _check_last(self, router: FleetRouter, now_ms: int) -> None:
        """Check that a router acts on the last change, whatever its revision is."""
        if self._last is None:
            return
        at_ms, state = self._last
        if now_ms - at_ms >= BOUND_MS:
            assert router.known is state, router.name

    def _is_well(self, router: FleetRouter, now_ms: int) -> bool:
        if router.cut or not router.runs:
            return False
        return now_ms - self._unwell_ms.get(router.name, -CALM_MS) >= CALM_MS

    def _get_due(self, now_ms: int) -> int:
        """Return the revision of the last change whose bound has passed."""
        due = [rev for at_ms, rev in self._changes if now_ms - at_ms >= BOUND_MS]
        return max(due, default=0)


class Restoring(Watching):
    """The same where the store comes back from copies, and gives its revisions out again."""

    @rule(lost=st.integers(1, 6), written_again=st.booleans())
    def restore(self, lost: int, written_again: bool) -> None:
        """Let the store come back from a copy that lacks the last few changes."""
        store = self._fleet.store
        known = store.items[-1]
        store.restore(max(FIRST_REVISION, store.revision - lost))
        if written_again:
            store.put(EntryState((known.value or b"").decode()))
        self._restored_ms = self._fleet.clock.now_ms()
        self._last = None
        for router in self._fleet.routers:
            self._note_unwell(router)


TestWatching: Any = Watching.TestCase
TestWatching.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
TestRestoring: Any = Restoring.TestCase
TestRestoring.settings = settings(max_examples=10, stateful_step_count=20, deadline=None)
