"""A router's own view of crash suspects: what it reports, refuses and lets through."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.crashes import Run, Subjects, SuspectImplication, SuspectState, make_workspace_id
from gypsumrouter.crashes.guard import LIFE_MARGIN_MS, SETTLE_MS, CrashGuard
from gypsumrouter.crashes.ledger import (
    CONVICT_IMPLICATIONS,
    IMPLICATION_TTL_MS,
    OBJECTION_MS,
    SAME_MOMENT_MS,
)
from gypsumrouter.crashes.runs import COMPLETE_RUNS, SURVIVAL_MS
from gypsumrouter.crashes.verdicts import TRIAL_PAUSES_MS
from gypsumrouter.journal import Journal
from gypsumrouter.util.clock import ManualClock

CRASHING_PART, SHARED_PART = 0xDEAD, 0x5E
PLANT, OTHER = make_workspace_id("plant"), make_workspace_id("other")


class GuardWorld:
    """A guard on a manual clock, whose requests are all different."""

    def __init__(self) -> None:
        self.clock = ManualClock(now_ms=1_000_000)
        app = Application(
            name="entry-1", role=Role.FORWARDER, data_centre="a", region="r", clock=self.clock
        )
        self.guard = CrashGuard(app=app, journal=Journal(app=app))
        self.told: list[SuspectImplication] = []
        self.guard.on_evidence(lambda implications, _survivals: self.told.extend(implications))
        self._count = 0

    def make_subjects(
        self, *parts: int, workspace: int = PLANT, digest: int | None = None
    ) -> Subjects:
        self._count += 1
        return Subjects(parts=parts, digest=digest or 0x1000 + self._count, workspace=workspace)

    def start(self, upstream: str, subjects: Subjects) -> Run:
        return self.guard.start(upstream=upstream, request_id="r", subjects=subjects)

    async def async_advance(self, duration_ms: int) -> None:
        self.clock.advance(duration_ms)
        for _ in range(5):
            await asyncio.sleep(0)

    async def async_crash(self, runs: Iterable[Run]) -> None:
        """Break the connections of runs that go on at one upstream, and wait for the report."""
        for run in runs:
            self.guard.note_broken(run.upstream)
            self.guard.note_ended(run)
        await asyncio.sleep(0)
        await self.async_advance(SETTLE_MS)
        await self.async_advance(SAME_MOMENT_MS)

    async def async_crash_with(self, upstream: str, *subjects: Subjects) -> None:
        await self.async_crash([self.start(upstream, item) for item in subjects])

    async def async_convict(self, *parts: int, workspace: int = PLANT) -> None:
        for number in range(CONVICT_IMPLICATIONS):
            subjects = self.make_subjects(*parts, workspace=workspace)
            await self.async_crash_with(f"i-{number}", subjects)
        await self.async_advance(OBJECTION_MS)

    async def async_survive(self, upstream: str, subjects: Subjects) -> None:
        run = self.start(upstream, subjects)
        self.guard.note_received(run)
        await self.async_advance(SURVIVAL_MS)
        self.guard.note_received(run)
        self.guard.note_ended(run)

    def is_refused(self, *parts: int, workspace: int = PLANT, digest: int | None = None) -> bool:
        subjects = self.make_subjects(*parts, workspace=workspace, digest=digest)
        return self.guard.find_refusal(subjects) is not None


@pytest.fixture
def world() -> GuardWorld:
    return GuardWorld()


async def test_part_is_refused_after_crashing_three_upstreams(world: GuardWorld) -> None:
    for number in range(CONVICT_IMPLICATIONS):
        assert not world.is_refused(CRASHING_PART)
        await world.async_crash_with(f"i-{number}", world.make_subjects(CRASHING_PART))
    await world.async_advance(OBJECTION_MS)
    assert world.is_refused(CRASHING_PART)
    assert not world.is_refused(SHARED_PART)


async def test_implications_at_the_same_upstream_count_once(world: GuardWorld) -> None:
    for _ in range(10):
        await world.async_crash_with("i-1", world.make_subjects(CRASHING_PART))
    await world.async_advance(OBJECTION_MS)
    assert not world.is_refused(CRASHING_PART)


async def test_same_content_is_refused_after_crashing_three_upstreams(world: GuardWorld) -> None:
    for number in range(CONVICT_IMPLICATIONS):
        await world.async_crash_with(f"i-{number}", world.make_subjects(digest=7))
    await world.async_advance(OBJECTION_MS)
    assert world.is_refused(digest=7)
    assert not world.is_refused(digest=8)


async def test_one_content_sent_again_does_not_convict_its_parts(world: GuardWorld) -> None:
    for number in range(CONVICT_IMPLICATIONS):
        subjects = world.make_subjects(SHARED_PART, digest=7)
        await world.async_crash_with(f"i-{number}", subjects)
    await world.async_advance(OBJECTION_MS)
    assert world.is_refused(digest=7)
    assert not world.is_refused(SHARED_PART)


async def test_part_that_survives_between_crashes_is_not_suspect(world: GuardWorld) -> None:
    for number in range(2 * CONVICT_IMPLICATIONS):
        await world.async_crash_with(f"i-{number}", world.make_subjects(SHARED_PART))
        await world.async_survive("i-sound", world.make_subjects(SHARED_PART))
    await world.async_advance(OBJECTION_MS)
    assert not world.is_refused(SHARED_PART)


async def test_hot_part_is_cleared_by_complete_responses_while_no_upstream_lives_long(
    world: GuardWorld,
) -> None:
    for number in range(CONVICT_IMPLICATIONS + 2):
        for _ in range(COMPLETE_RUNS):
            run = world.start(f"i-{number}", world.make_subjects(SHARED_PART))
            world.guard.note_received(run)
            world.guard.note_completed(run)
            world.guard.note_ended(run)
        await world.async_crash_with(f"i-{number}", world.make_subjects(SHARED_PART, CRASHING_PART))
    await world.async_advance(OBJECTION_MS)
    assert world.is_refused(CRASHING_PART)
    assert not world.is_refused(SHARED_PART)


async def test_run_that_has_written_for_a_while_is_not_reported(world: GuardWorld) -> None:
    old = world.start("i-1", world.make_subjects(SHARED_PART))
    world.guard.note_received(old)
    await world.async_advance(SURVIVAL_MS)
    fresh = world.start("i-1", world.make_subjects(CRASHING_PART))
    world.guard.note_received(old)
    await world.async_crash((old, fresh))
    assert {implication.subject for implication in world.told} == {
        CRASHING_PART,
        fresh.subjects.digest,
    }


async def test_upstream_that_goes_on_after_a_reset_has_not_crashed(world: GuardWorld) -> None:
    reset = world.start("i-1", world.make_subjects(CRASHING_PART))
    other = world.start("i-1", world.make_subjects(SHARED_PART))
    world.guard.note_broken(reset.upstream)
    world.guard.note_ended(reset)
    await asyncio.sleep(0)
    await world.async_advance(LIFE_MARGIN_MS + 1)
    world.guard.note_received(other)
    await world.async_advance(SETTLE_MS)
    assert not world.told


# Guards against a suspicion for a stream that a sound upstream has cut, and against a crash that is
# overlooked since the upstream is asked about it first.
@pytest.mark.parametrize("outlived", [True, False])
async def test_cut_stream_is_judged_before_its_upstream_was_asked(
    world: GuardWorld, outlived: bool
) -> None:
    answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    async def async_ask() -> bool:
        return await answer

    run = world.start("i-1", world.make_subjects(CRASHING_PART))
    world.guard.note_broken(run.upstream, outlived=async_ask)
    world.guard.note_ended(run)
    await world.async_advance(SETTLE_MS)
    await world.async_advance(SAME_MOMENT_MS)
    # The question may take seconds.
    await world.async_advance(4 * SURVIVAL_MS)
    world.guard.sweep()
    assert not world.told
    answer.set_result(outlived)
    await world.async_advance(0)
    world.guard.sweep()
    await world.async_advance(SETTLE_MS)
    await world.async_advance(SAME_MOMENT_MS)
    assert (CRASHING_PART in {told.subject for told in world.told}) is not outlived


# Guards against a crash that is overlooked while the upstream is asked about an earlier cut.
async def test_reset_beside_a_cut_stream_waits_for_its_question(world: GuardWorld) -> None:
    async def async_ask() -> bool:
        return await asyncio.Event().wait()

    cut = world.start("i-1", world.make_subjects(SHARED_PART))
    reset = world.start("i-1", world.make_subjects(CRASHING_PART))
    world.guard.note_broken(cut.upstream, outlived=async_ask)
    await world.async_crash((reset,))
    assert CRASHING_PART in {told.subject for told in world.told}


async def test_request_that_was_not_run_is_not_reported(world: GuardWorld) -> None:
    rejected = world.start("i-1", world.make_subjects(CRASHING_PART))
    world.guard.note_not_run(rejected)
    await world.async_crash_with("i-1", world.make_subjects(SHARED_PART))
    assert CRASHING_PART not in {implication.subject for implication in world.told}


async def test_one_workspace_brings_only_its_own_requests_under_suspicion(
    world: GuardWorld,
) -> None:
    await world.async_convict(SHARED_PART, workspace=OTHER)
    assert world.is_refused(SHARED_PART, workspace=OTHER)
    assert not world.is_refused(SHARED_PART, workspace=PLANT)


async def test_one_workspace_does_not_clear_the_part_of_another(world: GuardWorld) -> None:
    await world.async_convict(CRASHING_PART)
    await world.async_survive("i-9", world.make_subjects(CRASHING_PART, workspace=OTHER))
    assert world.is_refused(CRASHING_PART)


async def test_trial_finds_that_a_part_has_become_harmless(world: GuardWorld) -> None:
    await world.async_convict(CRASHING_PART)
    await world.async_advance(TRIAL_PAUSES_MS[0])
    trial = world.make_subjects(CRASHING_PART)
    assert world.guard.find_refusal(trial) is None
    await world.async_survive("i-9", trial)
    assert not world.is_refused(CRASHING_PART)
    verdict = world.guard.verdicts.get(CRASHING_PART)
    assert verdict is not None
    assert verdict.state is SuspectState.CLEARED


async def test_part_that_still_crashes_gets_two_trials_in_ten_minutes(world: GuardWorld) -> None:
    await world.async_convict(CRASHING_PART)
    passed = 0
    for second in range(600):
        await world.async_advance(1_000 - SETTLE_MS - SAME_MOMENT_MS)
        subjects = world.make_subjects(CRASHING_PART)
        if world.guard.find_refusal(subjects) is None:
            passed += 1
            await world.async_crash_with(f"i-late-{second}", subjects)
        else:
            await world.async_advance(SETTLE_MS + SAME_MOMENT_MS)
    assert passed == 2


async def test_operator_exempts_a_part_from_refusal(world: GuardWorld) -> None:
    await world.async_convict(CRASHING_PART)
    world.guard.set_allowed(["dead"])
    assert not world.is_refused(CRASHING_PART)


async def test_implications_expire(world: GuardWorld) -> None:
    for number in range(CONVICT_IMPLICATIONS - 1):
        await world.async_crash_with(f"i-{number}", world.make_subjects(CRASHING_PART))
    await world.async_advance(IMPLICATION_TTL_MS)
    await world.async_crash_with("i-9", world.make_subjects(CRASHING_PART))
    await world.async_advance(OBJECTION_MS)
    assert not world.is_refused(CRASHING_PART)


# Guards against a crash that is overlooked as bytes of the dead process, or of the start behind it,
# are read while the upstream is asked.
@pytest.mark.parametrize("read_ms", [SETTLE_MS // 2 + SETTLE_MS, 2 * SURVIVAL_MS])
async def test_bytes_read_during_the_question_do_not_hide_the_crash_that_it_shows(
    world: GuardWorld, read_ms: int
) -> None:
    answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    async def async_ask() -> bool:
        return await answer

    other = world.start("i-1", world.make_subjects(SHARED_PART))
    run = world.start("i-1", world.make_subjects(CRASHING_PART))
    world.guard.note_received(run)
    await world.async_advance(10)
    world.guard.note_broken(run.upstream, outlived=async_ask)
    world.guard.note_ended(run)
    await world.async_advance(read_ms)
    world.guard.note_received(other)
    answer.set_result(False)
    await world.async_advance(0)
    await world.async_advance(SETTLE_MS)
    await world.async_advance(SAME_MOMENT_MS)
    assert CRASHING_PART in {told.subject for told in world.told}


# Guards against a cut stream whose upstream can't be asked and that counts for nothing, or counts
# though the upstream answers others.
@pytest.mark.parametrize("answers_others", [True, False])
async def test_cut_that_the_question_leaves_open_counts_unless_others_are_answered(
    world: GuardWorld, answers_others: bool
) -> None:
    async def async_ask() -> None:
        return None

    other = world.start("i-1", world.make_subjects(SHARED_PART))
    run = world.start("i-1", world.make_subjects(CRASHING_PART))
    world.guard.note_broken(run.upstream, outlived=async_ask)
    world.guard.note_ended(run)
    await world.async_advance(LIFE_MARGIN_MS + 1)
    if answers_others:
        world.guard.note_received(other)
    await world.async_advance(SETTLE_MS)
    await world.async_advance(SAME_MOMENT_MS)
    assert (CRASHING_PART in {told.subject for told in world.told}) is not answers_others
