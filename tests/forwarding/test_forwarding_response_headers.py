"""What upstreams say of themselves in their answers: that they leave, and that they want a rest.

Requests reached an upstream 3.2 s and 4.0 s after a router had passed on an answer in which it said
that it leaves; the bound is 2 s. The store was away, so that the list could not say so, and nothing
read the word in the answers: the upstream began to leave 7.5 s into the day, the store acknowledged
it at 20.6 s, and in between five routers wrote 19 lines `attempt_sent` for it and none that it
leaves.

An upstream that turns a request away may also name a time for which it wants nothing from this
router. The time was not read either, and the upstream got the next request a moment later.
"""

from __future__ import annotations

from functools import partial

import aiohttp
import pytest
from forwarding_world import PROMPT, ForwardingWorld

from gypsumrouter.standins import PlatformRunner, RunnerTrouble, StoreTrouble

Session = aiohttp.ClientSession
CALLS = 12
# Longer than any of these tests.
REST_S = 600.0


def count_arrivals(world: ForwardingWorld, upstream: str) -> int:
    runners = (*world.records, *world.models)
    return next(len(r.arrivals) for r in runners if r.name == upstream)


def say_leaving(runner: PlatformRunner, runners: list[PlatformRunner]) -> None:
    """Let a runner leave unless another one does."""
    runner.leaving = not any(other.leaving for other in runners if other is not runner)


def get_state(world: ForwardingWorld, upstream: str) -> str:
    section = world.product.app.dump()["directory"]
    assert isinstance(section, dict)
    return str(next(u["state"] for u in section["upstreams"] if u["id"] == upstream))


async def async_call_until_answered_by(
    world: ForwardingWorld, session: Session, upstream: str, method: str, path: str
) -> None:
    """Call until an upstream has got one request, and its answer has passed."""
    extra = PROMPT if path.startswith(("/draft", "/quote")) else None
    for number in range(CALLS):
        await world.async_call(session, method, path, f"first-{number}", extra=extra)
        if count_arrivals(world, upstream):
            return
    pytest.fail("the upstream got no request")


async def async_call_on(
    world: ForwardingWorld, session: Session, method: str, path: str
) -> list[int]:
    """Send some requests and return their statuses."""
    extra = PROMPT if path.startswith(("/draft", "/quote")) else None
    answers = [
        await world.async_call(session, method, path, f"later-{number}", extra=extra)
        for number in range(CALLS)
    ]
    return [status for status, _, _ in answers]


@pytest.mark.parametrize(
    ("method", "path"),
    [("GET", "/lookup/a"), ("POST", "/reserve/a"), ("POST", "/draft/a"), ("POST", "/quote/a")],
)
async def test_an_upstream_whose_answer_says_that_it_leaves_gets_no_new_work(
    world: ForwardingWorld, session: Session, method: str, path: str
) -> None:
    await world.store.async_fail(StoreTrouble.SILENT)
    runners = world.models if path.startswith(("/draft", "/quote")) else world.records
    # Whichever is the first: a prompt goes to the same one again and again.
    for runner in runners:
        runner.on_run = partial(say_leaving, runner, runners)
    extra = PROMPT if runners is world.models else None
    await world.async_call(session, method, path, "first", extra=extra)
    leaving = next(runner for runner in runners if runner.leaving)
    before = len(leaving.arrivals)
    assert set(await async_call_on(world, session, method, path)) == {200}
    assert len(leaving.arrivals) == before


@pytest.mark.parametrize("trouble", [RunnerTrouble.ERROR, RunnerTrouble.SHED])
async def test_a_failure_says_it_as_well(
    world: ForwardingWorld, session: Session, trouble: RunnerTrouble
) -> None:
    for runner in world.records:
        runner.leaving, runner.always = True, trouble
    for runner in world.records:
        await async_call_until_answered_by(world, session, runner.name, "POST", "/reserve/a")
    before = [len(runner.arrivals) for runner in world.records]
    assert set(await async_call_on(world, session, "POST", "/reserve/a")) == {503}
    assert [len(runner.arrivals) for runner in world.records] == before


async def test_an_engine_that_lists_what_it_holds_says_it_as_well(
    world: ForwardingWorld, session: Session
) -> None:
    """A router that has started after a failure asks the engines before it sends them anything."""
    for runner in world.models:
        runner.leaving = True
    second = await world.async_start_forwarder("entry-2", first_start=False)
    await world.async_until(second.is_ready)
    await world.async_until(lambda: all(runner.listed for runner in world.models))
    status, _, _ = await world.async_call(
        session, "POST", "/draft/a", "r1", product=second, extra=PROMPT
    )
    assert status == 503
    assert not any(runner.arrivals for runner in world.models)


async def test_a_list_that_still_has_it_ready_does_not_bring_it_back(
    world: ForwardingWorld, session: Session
) -> None:
    leaving = world.records[0]
    leaving.leaving = True
    await async_call_until_answered_by(world, session, leaving.name, "GET", "/lookup/a")
    before = len(leaving.arrivals)
    address = world.addresses[leaving.name]
    await world.store.async_put_runner(leaving.name, service="records", address=address)
    await world.store.async_remove(f"servers/{leaving.name}")
    await world.store.async_put_runner(leaving.name, service="records", address=address, slots=7)
    other = world.records[1]
    await world.store.async_put_runner(
        other.name, service="records", address=world.addresses[other.name], state="draining"
    )
    await world.async_until(lambda: get_state(world, other.name) == "leaving")
    statuses = await async_call_on(world, session, "GET", "/lookup/a")
    assert set(statuses) == {503}
    assert len(leaving.arrivals) == before


async def test_an_upstream_that_wants_a_rest_gets_nothing_meanwhile(
    world: ForwardingWorld, session: Session
) -> None:
    resting, other = world.records
    resting.troubles.append(RunnerTrouble.SHED)
    resting.rest_s = REST_S
    await async_call_until_answered_by(world, session, resting.name, "GET", "/lookup/a")
    assert set(await async_call_on(world, session, "GET", "/lookup/a")) == {200}
    other.always = RunnerTrouble.ERROR
    await async_call_on(world, session, "GET", "/lookup/a")
    assert len(resting.arrivals) == 1


async def test_where_all_want_a_rest_callers_are_told_at_once_when_to_come_back(
    world: ForwardingWorld, session: Session
) -> None:
    for runner in world.records:
        runner.always, runner.rest_s = RunnerTrouble.SHED, 0.6
    for runner in world.records:
        await async_call_until_answered_by(world, session, runner.name, "GET", "/lookup/a")
    before = [len(runner.arrivals) for runner in world.records]
    status, _, headers = await world.async_call(session, "GET", "/lookup/a", "later")
    assert status == 503
    # The rest is nearly whole, and the caller has 2.5 s left, of which it waits a third.
    assert 0.3 < float(headers["Retry-After"]) < 0.84
    assert [len(runner.arrivals) for runner in world.records] == before


@pytest.mark.parametrize("leaving", [True, False])
async def test_an_answer_that_names_no_request_is_still_the_word_of_its_upstream(
    world: ForwardingWorld, session: Session, leaving: bool
) -> None:
    """On a kept connection such an answer is no answer to the request that waits there."""
    speaking, other = world.records
    await async_call_until_answered_by(world, session, speaking.name, "GET", "/lookup/a")
    speaking.leaving, speaking.rest_s = leaving, None if leaving else REST_S
    speaking.always = RunnerTrouble.SHED
    before = len(speaking.arrivals)
    while len(speaking.arrivals) == before:
        await world.async_call(session, "GET", "/lookup/a", "second")
    other.always = RunnerTrouble.ERROR
    await async_call_on(world, session, "GET", "/lookup/a")
    assert len(speaking.arrivals) == before + 1
