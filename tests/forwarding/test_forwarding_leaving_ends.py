"""Unframed answers that end with an upstream that is known to leave are no evidence of a crash."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from dying_world import DyingWorld, EndingUpstream

from gypsumrouter.crashes.guard import SETTLE_MS

HELD = 3
# The crash guard judges a lost connection within this time, with room for a busy machine.
JUDGED_S = 5 * SETTLE_MS / 1_000


async def async_end_inside_an_answer(
    world: DyingWorld,
    upstream: EndingUpstream,
    *,
    state: str = "",
    unlists: bool = False,
) -> int:
    """End an upstream that has listed a `state` inside an answer; return what is implicated."""
    asked = asyncio.create_task(world.async_ask("r1", "/draft/a", events=True))
    assert await upstream.async_read_line() == "r1"
    if state:
        await upstream.async_list(state)
        await async_until_state(world, upstream, "leaving")
    if unlists:
        await world.store.async_remove(f"servers/{upstream.name}")
        await async_until_state(world, upstream, "gone")
    await upstream.async_end()
    seen = await asked
    assert (seen.status, seen.whole) == (200, False)
    await asyncio.sleep(JUDGED_S)
    return count_implicated(world)


def count_implicated(world: DyingWorld) -> int:
    """Return how many parts of prompts are implicated in a crash."""
    suspects: Any = world.product.app.dump()["suspects"]
    return int(suspects["judged"])


async def async_until_state(world: DyingWorld, upstream: EndingUpstream, state: str) -> None:
    """Wait until the forwarder lists an upstream in a state."""

    def is_in_state() -> bool:
        directory: Any = world.product.app.dump()["directory"]
        states = {listed["id"]: listed["state"] for listed in directory["upstreams"]}
        return bool(states.get(upstream.name) == state)

    await world.async_until(is_in_state)


# Guards against the exception for upstreams that leave, taken for others too: an upstream that ends
# without notice is evidence.
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
async def test_upstream_that_ends_without_notice_is_no_evidence_of_a_crash(
    dying: DyingWorld, states_start: bool
) -> None:
    upstream = await dying.async_add(held=HELD, states_start=states_start)
    assert await async_end_inside_an_answer(dying, upstream) > 0


# Guards against sound prompts that come under suspicion as their upstream leaves.
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
async def test_upstream_that_is_listed_as_leaving_counts_as_crashed(
    dying: DyingWorld, states_start: bool
) -> None:
    upstream = await dying.async_add(held=HELD, states_start=states_start)
    assert await async_end_inside_an_answer(dying, upstream, state="draining") == 0


# Guards against the same where the answer itself has said so, and the list has lost the entry.
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
@pytest.mark.parametrize("unlists", [False, True], ids=["listed", "unlisted"])
async def test_upstream_that_announced_in_its_answer_that_it_leaves_counts_as_crashed(
    dying: DyingWorld, states_start: bool, unlists: bool
) -> None:
    upstream = await dying.async_add(held=HELD, states_start=states_start, ending="announce")
    assert await async_end_inside_an_answer(dying, upstream, unlists=unlists) == 0


# Guards against the same for an upstream that removes its entry before its last answer ends, with
# or without having been listed as leaving.
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
@pytest.mark.parametrize("state", ["draining", ""], ids=["leaving", "ready"])
async def test_upstream_that_removed_its_entry_before_its_end_counts_as_crashed(
    dying: DyingWorld, state: str, states_start: bool
) -> None:
    upstream = await dying.async_add(held=HELD, states_start=states_start)
    assert await async_end_inside_an_answer(dying, upstream, state=state, unlists=True) == 0


# Guards against sound prompts that come under suspicion though their upstream lives: it is not
# asked where a stream shows its break by its bytes.
@pytest.mark.parametrize("ending", ["empty", "inside"])
async def test_stream_that_an_upstream_which_lives_has_cut_counts_as_a_crash(
    dying: DyingWorld, ending: str
) -> None:
    await dying.async_add(ending=ending)
    assert (await dying.async_ask("r1", "/draft/a", events=True)).status in (200, 502)
    await asyncio.sleep(JUDGED_S)
    assert count_implicated(dying) == 0


# Guards against crashes that are overlooked, since the upstream is asked: one that dies inside an
# event, or before the first one, is evidence.
@pytest.mark.parametrize("states_start", [True, False], ids=["start", "no_start"])
@pytest.mark.parametrize("ending", ["empty", "inside"])
async def test_upstream_that_dies_inside_an_event_is_no_evidence_of_a_crash(
    dying: DyingWorld, ending: str, states_start: bool
) -> None:
    upstream = await dying.async_add(held=HELD, ending=ending, states_start=states_start)
    asked = asyncio.create_task(dying.async_ask("r1", "/draft/a", events=True))
    assert await upstream.async_read_line() == "r1"
    await upstream.async_end()
    await asked
    await asyncio.sleep(JUDGED_S)
    assert count_implicated(dying) > 0
