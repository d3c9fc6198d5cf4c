"""The store confirms a list only by an answer to a question that was asked since."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.published import (
    HistoryLost,
    ItemBatch,
    ListConfirmation,
    StoreUnavailable,
    WatchState,
)
from gypsumrouter.published.confirmation import INTERVAL_MS_PER_WATCHER, MIN_INTERVAL_MS
from gypsumrouter.util.clock import ManualClock

FIRST_REVISION = 7


class GatedStore:
    """Answers a question, with the revision that it had when that arrived, once `gate` is open."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.gate.set()
        self.revision = FIRST_REVISION
        self.asked_after: list[int] = []
        self.lists = 0
        self.closed = 0
        self.available = True
        self.has_history = True

    async def async_watch(self, *, after: int, wait_ms: int) -> ItemBatch | HistoryLost:
        """Return no changes; raises StoreUnavailable unless it is available."""
        self.asked_after.append(after)
        revision = self.revision
        await self.gate.wait()
        if not self.available:
            raise StoreUnavailable("down")
        return ItemBatch(items=(), as_of=revision) if self.has_history else HistoryLost()

    async def async_list(self) -> ItemBatch:
        """Return an empty list."""
        self.lists += 1
        return ItemBatch(items=(), as_of=self.revision)

    def close(self) -> None:
        """Count."""
        self.closed += 1


class World:
    """A list that was read once, and its confirmation; `watchers` is the number of those it has."""

    def __init__(self) -> None:
        self.clock = ManualClock(now_ms=1_000_000)
        self.app = Application(
            name="r", role=Role.FORWARDER, data_centre="dc", region="r", clock=self.clock
        )
        self.store = GatedStore()
        self.state = WatchState(clock=self.clock)
        self.state.as_of = FIRST_REVISION
        self.watchers = 1
        self.merged: list[str] = []
        self.confirmation = ListConfirmation(
            app=self.app,
            store=self.store,
            state=self.state,
            handle_all=lambda _: self.merged.append("all"),
            handle_changes=lambda _: self.merged.append("changes"),
            count_watchers=lambda: self.watchers,
        )

    def ask(self) -> asyncio.Task[bool]:
        """Ask for a confirmation."""
        return asyncio.create_task(self.confirmation.async_confirm())

    async def async_advance(self, duration_ms: int = 0) -> None:
        """Advance the clock and run all due tasks."""
        self.clock.advance(duration_ms)
        for _ in range(8):
            await asyncio.sleep(0)


@pytest.fixture
async def world() -> AsyncIterator[World]:
    world = World()
    yield world
    await world.app.async_stop()


async def test_question_under_way_confirms_what_was_listed_since(world: World) -> None:
    world.store.gate.clear()
    early = world.ask()
    await world.async_advance()
    world.store.revision += 1
    late = world.ask()
    await world.async_advance()
    world.store.gate.set()
    await world.async_advance()
    assert early.done()
    assert not late.done()
    assert world.state.as_of == FIRST_REVISION
    await world.async_advance(MIN_INTERVAL_MS)
    assert late.result()
    assert world.state.as_of == FIRST_REVISION + 1
    assert len(world.store.asked_after) == 2


async def test_each_caller_asks_the_store(world: World) -> None:
    asked = [world.ask() for _ in range(50)]
    await world.async_advance()
    assert all(task.result() for task in asked)
    assert len(world.store.asked_after) == 1
    assert world.state.response_age_ms == 0


@pytest.mark.parametrize("watchers", [1, 90])
async def test_questions_grow_with_the_number_of_watchers(world: World, watchers: int) -> None:
    world.watchers = watchers
    for _ in range(2):
        task = world.ask()
        await world.async_advance()
    assert not task.done()
    await world.async_advance(max(MIN_INTERVAL_MS, INTERVAL_MS_PER_WATCHER * watchers) - 1)
    assert len(world.store.asked_after) == 1
    await world.async_advance(1)
    assert task.result()


async def test_list_is_confirmed_without_an_answer(world: World) -> None:
    world.store.available = False
    assert not await world.confirmation.async_confirm()
    assert (world.merged, world.store.closed) == ([], 1)


async def test_list_that_was_never_read_is_confirmed(world: World) -> None:
    world.state.as_of = None
    assert not await world.confirmation.async_confirm()
    assert world.store.asked_after == []


async def test_list_is_confirmed_by_an_answer_that_its_history_is_lost(world: World) -> None:
    world.store.has_history = False
    world.store.revision = FIRST_REVISION + 5
    assert await world.confirmation.async_confirm()
    assert (world.store.lists, world.merged, world.state.as_of) == (1, ["all"], FIRST_REVISION + 5)
