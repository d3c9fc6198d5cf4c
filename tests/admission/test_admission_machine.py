"""Limits hold and every wait ends under random arrivals, releases, changes and stops."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from admission_fakes import (
    INSPECTORS,
    OFFICE,
    REPORTS,
    AdmissionHarness,
    Call,
    make_harness,
    make_pool,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumrouter.link.models import PoolLoad
from gypsumrouter.util.clock import ManualClock

WORKSPACE_NAMES = ("utility", "school", "plant")


class AdmissionMachine(RuleBasedStateMachine):
    """One instance with a cap, two slots and a short queue."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.slots = 2
        self.queue = 3
        self.stopped = False
        self.harness: AdmissionHarness = make_harness(
            clock=ManualClock(now_ms=10_000), pool=make_pool(slots=2, queue=3, floor=4)
        )

    def run(self, coroutine: Coroutine[Any, Any, object]) -> object:
        return self.loop.run_until_complete(coroutine)

    def list_running(self) -> list[Call]:
        return [call for call in self.harness.calls if call.runs and not call.slot.released]

    def list_waiting(self) -> list[Call]:
        return [call for call in self.harness.calls if call.waits]

    @rule(
        caller_class=st.sampled_from((INSPECTORS, OFFICE, REPORTS)),
        workspace=st.sampled_from(WORKSPACE_NAMES),
        deadline_ms=st.sampled_from((100, 400, 60_000)),
        waited_ms=st.sampled_from((0, 350, 5_000)),
    )
    def admit(self, caller_class: str, workspace: str, deadline_ms: int, waited_ms: int) -> None:
        before = len(self.list_running())
        call = self.harness.async_call(
            caller_class, workspace, deadline_ms=deadline_ms, waited_ms=waited_ms
        )
        self.run(call)
        assert len(self.list_running()) <= max(before, self.slots)

    @rule(index=st.integers(0, 20), first_token=st.booleans())
    def release(self, index: int, first_token: bool) -> None:
        running = self.list_running()
        if not running:
            return
        call = running[index % len(running)]
        if first_token:
            self.harness.admission.record_first_token(call.slot)
        self.run(self.harness.async_finish(call))

    @rule(index=st.integers(0, 20), by_task=st.booleans())
    def cancel(self, index: int, by_task: bool) -> None:
        waiting = self.list_waiting()
        if not waiting:
            return
        call = waiting[index % len(waiting)]
        if by_task:
            self.harness.calls.remove(call)
            call.task.cancel()
        else:
            call.cancelled.set()
        self.run(self.harness.async_advance(0))
        assert call.task.done()

    @rule(slots=st.integers(1, 4), queue=st.integers(0, 5))
    def configure(self, slots: int, queue: int) -> None:
        self.slots = slots
        self.queue = queue
        self.harness.configure(make_pool(slots=slots, queue=queue, floor=4))
        self.run(self.harness.async_advance(0))

    @rule(mean=st.floats(0, 50), known=st.integers(0, 9), age_ms=st.integers(0, 4_000))
    def receive_pool_load(self, mean: float, known: int, age_ms: int) -> None:
        load = PoolLoad(mean=mean, known=known, members=9, age_ms=age_ms)
        self.harness.admission.record_pool_load(load)

    @rule(delay_ms=st.integers(1, 2_000))
    def advance(self, delay_ms: int) -> None:
        self.run(self.harness.async_advance(delay_ms))

    @rule()
    def stop(self) -> None:
        self.harness.admission.stop()
        self.stopped = True
        self.run(self.harness.async_advance(0))
        assert not self.list_waiting()

    @invariant()
    def load_counts_running_and_waiting_interactive_requests(self) -> None:
        admission = self.harness.admission
        assert admission.running == len(self.list_running())
        waiting = [call for call in self.list_waiting() if call.caller_class != REPORTS]
        assert admission.load == admission.running + len(waiting)

    @invariant()
    def queue_size_is_bounded(self) -> None:
        assert len(self.list_waiting()) <= self.queue

    @invariant()
    def no_slot_is_idle_while_interactive_work_waits(self) -> None:
        interactive = [call for call in self.list_waiting() if call.caller_class != REPORTS]
        assert not interactive or self.harness.admission.running >= self.slots

    def teardown(self) -> None:
        for _ in range(200):
            running = self.list_running()
            if not running:
                break
            self.run(self.harness.async_finish(running[0]))
        self.run(self.harness.async_advance(200_000))
        assert not self.list_waiting()
        assert self.harness.admission.load == 0
        self.run(self.harness.app.async_stop())
        self.loop.close()


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
