"""Many routers, each of which sees few of the crashes, refuse a part that crashes engines."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from itertools import count

import pytest
from peer_fleet import FleetRouter, PeerFleet

from gypsumrouter.crashes import Subjects, SuspectState, make_workspace_id
from gypsumrouter.crashes.ledger import CONVICT_IMPLICATIONS
from gypsumrouter.crashes.runs import SURVIVAL_MS
from gypsumrouter.crashes.verdicts import TRIAL_PAUSES_MS

PLANT, OTHER = make_workspace_id("plant"), make_workspace_id("other")
CRASHING, SECOND_CRASHING, SYSTEM, WORKSPACE = 0xDEAD, 0xDEAE, 0x5E, 0xA1
CRASHES = 5
# Time after the fifth crash from which at most MAX_LATE requests may reach engines.
STABLE_MS = 3_000
MAX_LATE = 3
STEP_MS = 100


class CrashingFleet(PeerFleet):
    """Routers whose requests crash engines, each as a new incarnation."""

    def __init__(self, *sizes: int) -> None:
        super().__init__(*sizes)
        self._numbers = count(1)
        self._random = random.Random(5)

    def make_subjects(self, *parts: int, workspace: int = PLANT) -> Subjects:
        digest = next(self._numbers) << 20
        return Subjects(parts=parts, digest=digest, workspace=workspace)

    def choose_router(self) -> FleetRouter:
        """Return any running router, as callers reach them."""
        return self._random.choice(list(self.list_running()))

    def is_refused(self, router: FleetRouter, *parts: int, workspace: int = PLANT) -> bool:
        subjects = self.make_subjects(*parts, workspace=workspace)
        return router.guard.find_refusal(subjects) is not None

    def send_crashing(self, *parts: int, beside: tuple[Subjects, ...] = ()) -> bool:
        """Send a request that crashes its engine, beside sound ones; return whether it was sent."""
        router = self.choose_router()
        subjects = self.make_subjects(*parts)
        if router.guard.find_refusal(subjects) is not None:
            return False
        engine = f"i-{next(self._numbers)}"
        for item in (subjects, *beside):
            run = router.guard.start(upstream=engine, request_id="r", subjects=item)
            router.guard.note_broken(engine)
            router.guard.note_ended(run)
        return True

    async def async_serve(self, router: FleetRouter, *parts: int, workspace: int = PLANT) -> None:
        """Serve a sound request, and find its engine alive some time later."""
        subjects = self.make_subjects(*parts, workspace=workspace)
        run = router.guard.start(upstream="i-sound", request_id="r", subjects=subjects)
        router.guard.note_received(run)
        await self.async_advance(SURVIVAL_MS)
        router.guard.note_received(run)
        router.guard.note_ended(run)

    async def async_crash(self, *parts: int, crashes: int, every_ms: int = 700) -> None:
        """Send requests that crash their engines, unless they are refused, at any router."""
        for _ in range(crashes):
            self.send_crashing(*parts)
            await self.async_advance(every_ms)

    def count_refusing(self, *parts: int, workspace: int = PLANT) -> int:
        return sum(
            self.is_refused(router, *parts, workspace=workspace) for router in self.list_running()
        )


@pytest.fixture
async def fleet() -> AsyncIterator[CrashingFleet]:
    """Start 36 routers in three data centres."""
    fleet = CrashingFleet(12, 12, 12)
    await fleet.async_start()
    yield fleet
    await fleet.async_stop()


async def test_crashes_seen_by_different_routers_convict_a_part_everywhere(
    fleet: CrashingFleet,
) -> None:
    await fleet.async_crash(CRASHING, crashes=CRASHES)
    await fleet.async_advance(STABLE_MS)
    assert fleet.count_refusing(CRASHING) == len(fleet.routers)


async def test_part_that_was_in_every_crash_is_refused_once_the_other_one_is_cleared(
    fleet: CrashingFleet,
) -> None:
    await fleet.async_crash(SYSTEM, CRASHING, crashes=CRASHES)
    await fleet.async_advance(STABLE_MS)
    assert fleet.count_refusing(SYSTEM, CRASHING) == len(fleet.routers)
    # Which of the two is the culprit shows when a sound request with the other one is tried.
    await fleet.async_advance(TRIAL_PAUSES_MS[0])
    for router in fleet.list_running():
        if not fleet.is_refused(router, SYSTEM):
            await fleet.async_serve(router, SYSTEM)
            break
    await fleet.async_advance(STABLE_MS)
    assert fleet.count_refusing(SYSTEM) == 0
    # One router may be about to make a trial.
    assert fleet.count_refusing(SYSTEM, CRASHING) >= len(fleet.routers) - 1


async def test_part_with_a_hot_part_in_every_crash_reaches_few_engines(
    fleet: CrashingFleet,
) -> None:
    sent_ms: list[int] = []
    for step in range(200):
        if step % 4 == 0:
            beside = tuple(fleet.make_subjects(SYSTEM, WORKSPACE) for _ in range(3))
            if fleet.send_crashing(SYSTEM, WORKSPACE, CRASHING, beside=beside):
                sent_ms.append(fleet.clock.now_ms())
        if step % 3 == 0:
            await fleet.async_serve(fleet.choose_router(), SYSTEM, WORKSPACE)
        await fleet.async_advance(STEP_MS)
        if step > 100:
            assert fleet.count_refusing(SYSTEM, WORKSPACE) == 0
    fifth_ms = sent_ms[min(CRASHES, len(sent_ms)) - 1]
    assert sum(at_ms > fifth_ms + STABLE_MS for at_ms in sent_ms) <= MAX_LATE
    assert fleet.count_refusing(CRASHING) == len(fleet.routers)


async def test_several_parts_the_first_of_a_prompt_among_them(fleet: CrashingFleet) -> None:
    for _ in range(CRASHES):
        fleet.send_crashing(CRASHING, SYSTEM, WORKSPACE)
        fleet.send_crashing(SYSTEM, WORKSPACE, SECOND_CRASHING)
        await fleet.async_serve(fleet.choose_router(), SYSTEM, WORKSPACE)
    await fleet.async_advance(STABLE_MS)
    assert fleet.count_refusing(CRASHING) == len(fleet.routers)
    assert fleet.count_refusing(SECOND_CRASHING) == len(fleet.routers)
    assert fleet.count_refusing(SYSTEM, WORKSPACE) == 0


async def test_router_that_starts_late_refuses_what_the_others_refuse(
    fleet: CrashingFleet,
) -> None:
    await fleet.async_stop_router(20)
    await fleet.async_crash(CRASHING, crashes=CRASHES)
    await fleet.async_advance(STABLE_MS)
    fleet.start_router(20)
    await fleet.async_advance(STABLE_MS)
    assert fleet.is_refused(fleet.routers[20], CRASHING)


async def test_router_that_is_cut_off_from_the_store_refuses_too(fleet: CrashingFleet) -> None:
    fleet.routers[7].partitioned = True
    await fleet.async_crash(CRASHING, crashes=CRASHES)
    await fleet.async_advance(STABLE_MS)
    assert fleet.is_refused(fleet.routers[7], CRASHING)


async def test_judges_that_do_not_run_are_made_up_for(fleet: CrashingFleet) -> None:
    judges = fleet.routers[0].routers.rank(key=CRASHING, count=2)
    for number, router in enumerate(fleet.routers):
        if router.address in judges:
            await fleet.async_stop_router(number)
    await fleet.async_crash(CRASHING, crashes=CRASHES)
    await fleet.async_advance(STABLE_MS)
    assert fleet.count_refusing(CRASHING) == len(fleet.routers) - len(judges)


async def test_engines_that_crash_without_a_culprit_convict_no_part(fleet: CrashingFleet) -> None:
    for _ in range(4):
        for _ in range(10):
            fleet.send_crashing(SYSTEM, WORKSPACE)
        await fleet.async_serve(fleet.choose_router(), SYSTEM, WORKSPACE)
        await fleet.async_advance(STABLE_MS)
        assert fleet.count_refusing(SYSTEM, WORKSPACE) == 0


async def test_workspace_that_names_a_part_of_another_does_not_get_it_refused(
    fleet: CrashingFleet,
) -> None:
    for _ in range(2 * CRASHES):
        router = fleet.choose_router()
        subjects = fleet.make_subjects(WORKSPACE, workspace=OTHER)
        if router.guard.find_refusal(subjects) is None:
            engine = f"i-lie-{subjects.digest}"
            run = router.guard.start(upstream=engine, request_id="r", subjects=subjects)
            router.guard.note_broken(engine)
            router.guard.note_ended(run)
        await fleet.async_advance(700)
    await fleet.async_advance(STABLE_MS)
    assert fleet.count_refusing(WORKSPACE, workspace=OTHER) == len(fleet.routers)
    assert fleet.count_refusing(WORKSPACE, workspace=PLANT) == 0


async def test_part_that_becomes_harmless_is_served_everywhere_after_one_trial(
    fleet: CrashingFleet,
) -> None:
    await fleet.async_crash(CRASHING, crashes=CONVICT_IMPLICATIONS, every_ms=1_500)
    await fleet.async_advance(STABLE_MS)
    assert fleet.count_refusing(CRASHING) == len(fleet.routers)
    trials = 0
    for _ in range(120):
        for router in fleet.list_running():
            if fleet.count_refusing(CRASHING) and not fleet.is_refused(router, CRASHING):
                trials += 1
                await fleet.async_serve(router, CRASHING)
        await fleet.async_advance(500)
        if fleet.count_refusing(CRASHING) == 0:
            break
    assert fleet.count_refusing(CRASHING) == 0
    assert trials == 1
    verdict = fleet.routers[3].guard.verdicts.get(CRASHING)
    assert verdict is not None
    assert verdict.state is SuspectState.CLEARED
