"""Streams without framing that end in order before their last event while their upstream lives."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from enum import StrEnum
from typing import Any

import pytest
from dying_world import DyingWorld, EndingUpstream, Seen
from forwarding_world import make_configuration, make_route
from living_front import LivingFront
from unframed_upstream import make_answer, make_piece

from gypsumrouter.forwarding.budget import RetryBudget
from gypsumrouter.forwarding.doubt import SIGNLESS_SHARE, SignlessChecks
from gypsumrouter.running_process import RunningProcess
from gypsumrouter.settings import Bounds
from gypsumrouter.util.clock import ManualClock

HELD = 3
SLACK = 50.0
WINDOW_MS = 10_000
RATE_PER_S = 100
RESUMABLE = "/quote/a"
# A route of the same service whose streams may not be resumed.
ONCE = "/draft/a"


class Fault(StrEnum):
    """How streams end early while the upstream goes on to answer questions."""

    ENGINE_ENDS = "engine ends"
    LINK_BREAKS = "link breaks"


FAULTS = pytest.mark.parametrize("fault", Fault)


class LivingWorld(DyingWorld):
    """A forwarder before an upstream whose engine is a process of its own.

    `slack` is that of the retry budget.
    """

    def __init__(self, *, slack: float) -> None:
        super().__init__()
        self._slack = slack
        self.engine = EndingUpstream(self, name="i-1")
        self.front: LivingFront | None = None

    async def async_start_forwarder(self, name: str, **more: Any) -> RunningProcess:
        """Start a forwarder with the slack of this world."""
        bounds = Bounds(retry_slack=self._slack, cap_slack=1_000)
        return await super().async_start_forwarder(name, bounds=bounds, **more)

    async def async_add_living(self, *, held: int = HELD) -> None:
        """Start the host and its engine, which holds its streams, and list them."""
        host = EndingUpstream(self, name="i-1")
        await host.async_start()
        await self.engine.async_start(held=held)
        self.engine.born = host.born
        self.front = LivingFront(engine_port=self.engine.port, host_port=host.port)
        await self.front.async_start()
        self.engine.listed_port = self.front.port
        await self.engine.async_list()

    async def async_stop(self) -> None:
        """Stop all."""
        if self.front is not None:
            await self.front.async_stop()
        await super().async_stop()

    async def async_begin(
        self, count: int, path: str, *, name: str = "r"
    ) -> list[asyncio.Task[Seen]]:
        """Begin streams, and wait until the engine holds them."""
        asked = [
            asyncio.create_task(self.async_ask(f"{name}{i}", path, events=True))
            for i in range(count)
        ]
        for _ in asked:
            await self.engine.async_read_line()
        return asked

    async def async_break(self, fault: Fault, count: int) -> None:
        """End the oldest streams early; with its engine all end."""
        assert self.front is not None
        if fault is Fault.ENGINE_ENDS:
            await self.engine.async_end()
        else:
            self.front.cut(count)

    async def async_until_all_proven(self, count: int) -> None:
        """Wait until the forwarder knows at which start all streams began."""

        def are_proven() -> bool:
            streams: Any = self.product.app.dump()["streams"]
            return bool(streams["known"] >= count and not streams["unproven"])

        await self.async_until(are_proven)


@pytest.fixture
async def living(link_key: None, request: pytest.FixtureRequest) -> AsyncIterator[LivingWorld]:
    """Start a store and a forwarder; a test may name the slack of the retry budget."""
    async with LivingWorld(slack=getattr(request, "param", 300.0)) as world:
        yield world


def is_short(seen: Seen) -> bool:
    """Return whether the beginning of a stream was passed on as whole."""
    return seen.whole and seen.body != make_answer()


# Guards against the beginning of a resumable stream that looks whole, since the upstream lives on
# when its engine has ended, or something between has closed the stream.
@FAULTS
@pytest.mark.parametrize("count", [1, 2, 8])
async def test_resumable_stream_that_was_cut_goes_on_elsewhere(
    living: LivingWorld, fault: Fault, count: int
) -> None:
    await living.async_add_living()
    asked = await living.async_begin(count, RESUMABLE)
    await living.async_add("i-2")
    await living.async_until_all_proven(count)
    await living.async_break(fault, count)
    assert set(await asyncio.gather(*asked)) == {Seen(200, True, make_answer())}


# Guards against the same where most streams under way go on.
async def test_one_of_many_resumable_streams_that_was_cut_goes_on_elsewhere(
    living: LivingWorld,
) -> None:
    await living.async_add_living()
    asked = await living.async_begin(8, RESUMABLE)
    await living.async_add("i-2")
    await living.async_until_all_proven(8)
    await living.async_break(Fault.LINK_BREAKS, 1)
    done, _ = await asyncio.wait(asked, return_when=asyncio.FIRST_COMPLETED)
    assert {task.result() for task in done} == {Seen(200, True, make_answer())}
    for task in asked:
        task.cancel()


# Guards against the beginning of a stream that may not be resumed and looks whole, though it ended
# beside one that was cut.
@FAULTS
async def test_stream_that_ends_beside_one_that_was_cut_looks_whole(
    living: LivingWorld, fault: Fault
) -> None:
    await living.async_add_living()
    asked = await living.async_begin(4, RESUMABLE)
    once = await living.async_begin(4, ONCE, name="o")
    await living.async_add("i-2")
    await living.async_until_all_proven(4)
    await living.async_break(fault, 8)
    assert set(await asyncio.gather(*asked)) == {Seen(200, True, make_answer())}
    seen = await asyncio.gather(*once)
    begun = b"".join(make_piece(piece) for piece in range(1, HELD + 1))
    assert {(answer.whole, answer.body) for answer in seen} == {(False, begun)}


# Guards against beginnings that look whole where the budget has no retry for each stream.
@FAULTS
@pytest.mark.parametrize("living", [10.0], indirect=True, ids=["slack_10"])
async def test_streams_beyond_the_retry_budget_look_whole(
    living: LivingWorld, fault: Fault
) -> None:
    await living.async_add_living()
    asked = await living.async_begin(24, RESUMABLE)
    await living.async_add("i-2")
    await living.async_until_all_proven(24)
    await living.async_break(fault, 24)
    seen = await asyncio.gather(*asked)
    assert [answer for answer in seen if is_short(answer)] == []


# Guards against complete streams that are broken off since their end is checked.
@pytest.mark.parametrize("path", [RESUMABLE, ONCE])
@pytest.mark.parametrize("living", [30.0, 300.0], indirect=True, ids=["slack_30", "slack_300"])
@pytest.mark.parametrize("at_once", [1, 4, 100])
async def test_complete_stream_without_framing_is_broken_off(
    living: LivingWorld, path: str, at_once: int
) -> None:
    await living.async_add("i-1")
    await living.async_add("i-2")
    seen: list[Seen] = []
    for first in range(0, 100, at_once):
        numbers = range(first, first + at_once)
        asked = [living.async_ask(f"r{i}", path, events=True) for i in numbers]
        seen += await asyncio.gather(*asked)
    assert Counter(seen) == {Seen(200, True, make_answer()): 100}


# Guards against a deployment of which no stream is framed, and that has no retries left for runs
# that have failed, as complete streams were checked.
def test_checks_without_a_sign_use_up_the_retry_budget() -> None:
    clock = ManualClock()
    budget = RetryBudget(clock=clock, ratio=0.2, slack=SLACK, window_ms=WINDOW_MS, first_start=True)
    checks = SignlessChecks(budget=budget)
    taken = 0
    for _ in range(10 * RATE_PER_S):
        budget.note_request("models")
        if budget.has_spare("models", reserved=1 - SIGNLESS_SHARE) and checks.try_take("models"):
            taken += budget.try_acquire("models")
        usage = budget.get_usage("models")
        assert usage.available >= (1 - SIGNLESS_SHARE) * (usage.capacity - 1)
        clock.advance(1_000 // RATE_PER_S)
    assert 1 <= taken <= SLACK / 2


# Guards against a complete stream that is broken off since no other upstream could go on with it.
async def test_complete_stream_is_broken_off_as_no_other_upstream_is_there(
    living: LivingWorld,
) -> None:
    await living.async_add("i-1")
    seen = [await living.async_ask(f"r{i}", RESUMABLE, events=True) for i in range(4)]
    assert set(seen) == {Seen(200, True, make_answer())}


# Guards against a complete stream that is broken off, or late, since the upstream that is to go on
# with it says nothing.
async def test_complete_stream_is_broken_off_as_the_other_upstream_is_silent(
    living: LivingWorld,
) -> None:
    configuration = make_configuration(version=2)
    configuration["routes"].append(
        make_route("late", "streaming", "models", resumable=True, timeout_ms=1_500)
    )
    await living.async_publish(configuration)
    await living.async_add("i-1")
    first = await living.async_ask("r0", "/late/a", events=True)

    async def async_say_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    server = await asyncio.start_server(async_say_nothing, "127.0.0.1", 0)
    silent = EndingUpstream(living, name="i-2")
    silent.born = 1
    silent.port = server.sockets[0].getsockname()[1]
    await silent.async_list()
    seen = [await living.async_ask(f"r{i}", "/late/a", events=True) for i in range(1, 6)]
    server.close()
    assert {first, *seen} == {Seen(200, True, make_answer())}


# Guards against a complete stream that is joined with another run of it, or broken off, since the
# upstream that is to go on with it begins anew.
async def test_complete_stream_is_joined_with_one_that_begins_anew(living: LivingWorld) -> None:
    await living.async_add("i-1", ending="anew")
    await living.async_add("i-2", ending="anew")
    seen = [await living.async_ask(f"r{i}", RESUMABLE, events=True) for i in range(8)]
    assert set(seen) == {Seen(200, True, make_answer())}
