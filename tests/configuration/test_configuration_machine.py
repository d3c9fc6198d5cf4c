"""Versions never fall in a living process, and all processes agree once faults are over."""

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
HEALED_MS = 40_000
some_name = st.sampled_from(NAMES)
some_names = st.sets(some_name, min_size=1, max_size=4)


class ReplicationMachine(RuleBasedStateMachine):
    """Five processes under every fault that the platform and the network may bring."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = FakeFleet(names=NAMES)
        self.published = 0
        self.right: dict[int, int] = {}
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
        self.right[self.published] = size
        self.fleet.platform.publish(make_document(self.published, workspaces=size))

    @rule()
    def publish_wrong(self) -> None:
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
    def cut_off(self, names: set[str]) -> None:
        self.fleet.groups = dict.fromkeys(names, 1)

    @rule()
    def heal(self) -> None:
        self.fleet.groups = {}
        self.fleet.platform.stale = {}

    @rule(name=some_name)
    def pause(self, name: str) -> None:
        self.fleet.processes[name].paused = True

    @rule(name=some_name)
    def wake(self, name: str) -> None:
        self.run(self.fleet.async_wake(name))

    @rule(name=some_name)
    def restart(self, name: str) -> None:
        self.run(self.fleet.async_start(name))

    @rule(duration_ms=st.sampled_from((500, 3_000, 11_000)))
    def advance(self, duration_ms: int) -> None:
        self.run(self.fleet.async_advance(duration_ms))

    @invariant()
    def never_falls(self) -> None:
        for process in self.fleet.processes.values():
            versions = process.versions
            assert versions == sorted(set(versions))
            assert process.version == (versions[-1] if versions else 0)

    @invariant()
    def only_what_was_published_and_right_is_in_force(self) -> None:
        for process in self.fleet.processes.values():
            if process.version:
                assert len(process.store.current.workspaces) == self.right[process.version]

    def teardown(self) -> None:
        if self.fleet.processes:
            highest = max(self.fleet.list_versions())
            if self.published in self.right:
                highest = self.published
            self.run(self._async_heal_all())
            assert self.fleet.list_versions() == {highest}
        self.run(self.fleet.async_stop_all())
        self.loop.close()

    async def _async_heal_all(self) -> None:
        self.heal()
        self.fleet.platform.down = False
        for name in NAMES:
            await self.fleet.async_wake(name)
        await self.fleet.async_advance(HEALED_MS)


def test_versions_never_fall_and_all_agree_in_the_end() -> None:
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
