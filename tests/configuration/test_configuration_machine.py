"""Versions never decrease in a running process, and processes converge after faults end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from configuration_fakes import FakeFleet, make_document
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

NAMES = tuple(f"router-{number}" for number in range(5))
CONVERGENCE_MS = 40_000
some_name = st.sampled_from(NAMES)
some_names = st.sets(some_name, min_size=1, max_size=4)


class ReplicationMachine(RuleBasedStateMachine):
    """Five processes with outages, stale replicas, partitions, pauses and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = FakeFleet(names=NAMES)
        self.published = 0
        self.valid_sizes: dict[int, int] = {}
        self.seen: dict[int, int] = {}

    def run(self, work: Coroutine[Any, Any, Any]) -> None:
        self.loop.run_until_complete(work)

    @initialize()
    def start(self) -> None:
        self.publish(size=1)
        self.run(self.fleet.async_start_all())
        self.run(self.fleet.async_advance(2_000))

    @rule(size=st.integers(0, 4))
    def publish(self, size: int) -> None:
        self.published += 1
        self.valid_sizes[self.published] = size
        self.fleet.platform.publish(make_document(self.published, workspaces=size))

    @rule()
    def publish_invalid(self) -> None:
        self.published += 1
        self.fleet.platform.publish(make_document(self.published, default_class="nobody"))

    @rule(down=st.booleans())
    def set_outage(self, down: bool) -> None:
        self.fleet.platform.down = down

    @rule(names=some_names, back=st.integers(0, 3))
    def serve_stale(self, names: set[str], back: int) -> None:
        for name in names:
            self.fleet.platform.stale[name] = max(1, self.published - back)

    @rule(names=some_names)
    def partition(self, names: set[str]) -> None:
        self.fleet.groups = dict.fromkeys(names, 1)

    @rule()
    def heal(self) -> None:
        self.fleet.groups = {}
        self.fleet.platform.stale = {}

    @rule(name=some_name)
    def pause(self, name: str) -> None:
        self.fleet.processes[name].paused = True

    @rule(name=some_name)
    def resume(self, name: str) -> None:
        self.run(self.fleet.async_resume(name))

    @rule(name=some_name)
    def restart(self, name: str) -> None:
        self.run(self.fleet.async_start(name))

    @rule(duration_ms=st.sampled_from((500, 3_000, 11_000)))
    def advance(self, duration_ms: int) -> None:
        self.run(self.fleet.async_advance(duration_ms))

    @invariant()
    def versions_never_decrease(self) -> None:
        for process in self.fleet.processes.values():
            versions = process.versions
            assert versions == sorted(set(versions))
            assert process.version == (versions[-1] if versions else 0)

    @invariant()
    def only_valid_published_versions_are_in_force(self) -> None:
        for process in self.fleet.processes.values():
            if process.version:
                assert len(process.store.current.workspaces) == self.valid_sizes[process.version]

    def teardown(self) -> None:
        if self.fleet.processes:
            highest = max(self.fleet.list_versions())
            if self.published in self.valid_sizes:
                highest = self.published
            self.run(self._async_heal_all())
            assert self.fleet.list_versions() == {highest}
        self.run(self.fleet.async_stop_all())
        self.loop.close()

    async def _async_heal_all(self) -> None:
        self.heal()
        self.fleet.platform.down = False
        for name in NAMES:
            await self.fleet.async_resume(name)
        await self.fleet.async_advance(CONVERGENCE_MS)


def test_versions_never_decrease_and_processes_converge() -> None:
    run_state_machine_as_test(
        ReplicationMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=25,
            stateful_step_count=20,
            suppress_health_check=list(HealthCheck),
        ),
    )
