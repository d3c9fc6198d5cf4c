"""Admission while a router drains, replayed on drawn requests without a network."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from itertools import accumulate
from typing import NamedTuple

import pytest

from gypsumrouter.forwarding.const import DRAIN_GRACE_MS
from gypsumrouter.forwarding.drain import DrainAdmission
from gypsumrouter.forwarding.drain.const import (
    LATEST_FIRST_MS,
    MARGIN_MS,
    MIN_ANSWERS,
    MIN_EVENTS,
    PLAIN_MS,
    RECENT_MS,
    SLOWDOWN,
)
from gypsumrouter.forwarding.forwarder import CUT_MARGIN_MS
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.util.clock import ManualClock

SERVICE = "models"
STOP_MS = 8_000
# Requests that are sent later than this after the signal must not be cut.
LATE_MS = 3_000
DEADLINE_MS = 30_000
UPSTREAMS = 4
PACES_MS = (3.0, 7.0, 12.0, 30.0, 50.0)
FIRSTS_MS = (50, 400, 1_500, 4_000)
INPUT_TOKENS = (120, 1_400, 9_000)
OUTPUT_TOKENS = (10, 40, 120, 300)
EVERY_MS = 25
BEFORE_MS = 20_000
# Share by which paces and first events vary.
SPREAD = 0.04
# Engines that slow down for a while: by how much, for how long, and how often.
BURSTS = {"bursts": (1.2, 1.6), "heavy": (1.5, 2.5)}
BURST_MS = (500, 3_000)
BURST_EVERY_MS = 5_000
# Engines that slow down in the stop, as they never did before.
STEP = 1.4
STEP_AFTER_MS = (2_500, 6_000)
# The last answer has ended by then.
END_MS = BEFORE_MS + 6 * STOP_MS


class Drawn(NamedTuple):
    """A request, when it is sent, and how its answer goes at the upstream that it gets."""

    sent_ms: int
    prompt: Prompt
    upstream: str
    first_ms: float
    total_ms: float


class Replay(NamedTuple):
    """What became of the requests later than `LATE_MS` after the signal."""

    cut: int
    taken_in_time: int
    in_time: int


def make_prompt(input_tokens: int, output_tokens: int) -> Prompt:
    parts = (PromptPart(part=1, tokens=input_tokens),)
    return Prompt(
        model="m", parts=parts, input_tokens=input_tokens, max_output_tokens=output_tokens
    )


def draw(seed: str, *, pace_ms: float, first_ms: int, overlong: float) -> Iterator[Drawn]:
    """Draw requests up to the end of a stop that is asked for at `BEFORE_MS`."""
    rng = random.Random(seed)
    for sent_ms in range(0, BEFORE_MS + STOP_MS, EVERY_MS):
        upstream = rng.randrange(UPSTREAMS)
        # Upstreams of one service differ in speed.
        slowness = 1 + 0.1 * upstream
        tokens = rng.choice(OUTPUT_TOKENS)
        first = first_ms * slowness * rng.uniform(1 - SPREAD, 1 + SPREAD)
        gaps = tokens * overlong - 1
        rest = gaps * pace_ms * slowness * rng.uniform(1 - SPREAD, 1 + SPREAD)
        prompt = make_prompt(rng.choice(INPUT_TOKENS), tokens)
        yield Drawn(sent_ms, prompt, f"i-{upstream}", first, first + rest)


def draw_slowness(rng: random.Random, kind: str) -> list[float]:
    """Draw by how much an engine is slower than usual, every `EVERY_MS`."""
    slowness = [1.0] * (END_MS // EVERY_MS)
    if kind == "step":
        begins_ms = BEFORE_MS + rng.uniform(*STEP_AFTER_MS)
        return [STEP if n * EVERY_MS >= begins_ms else 1.0 for n in range(len(slowness))]
    at_ms = rng.expovariate(1 / BURST_EVERY_MS)
    while at_ms < END_MS:
        ends_ms = at_ms + rng.uniform(*BURST_MS)
        burst = range(int(at_ms // EVERY_MS), min(len(slowness), int(ends_ms // EVERY_MS)))
        factor = rng.uniform(*BURSTS[kind])
        for n in burst:
            slowness[n] = factor
        at_ms = ends_ms + rng.expovariate(1 / BURST_EVERY_MS)
    return slowness


def slow_down(requests: Iterable[Drawn], seed: str, kind: str) -> Iterator[Drawn]:
    """Let the answers of these requests take longer while their engines are slow."""
    done: dict[str, list[float]] = {}
    for number in range(UPSTREAMS):
        slowness = draw_slowness(random.Random(f"{seed} {number}"), kind)
        done[f"i-{number}"] = list(accumulate((EVERY_MS / s for s in slowness), initial=0.0))
    for request in requests:
        work = done[request.upstream]
        begun = work[request.sent_ms // EVERY_MS]
        first, total = (
            bisect_left(work, begun + took_ms) * EVERY_MS - request.sent_ms
            for took_ms in (request.first_ms, request.total_ms)
        )
        yield request._replace(first_ms=first, total_ms=total)


def replay(requests: Iterator[Drawn], *, overlong: float = 1.0) -> Replay:
    clock = ManualClock()
    drain = DrainAdmission(clock=clock, limit_ms=STOP_MS - CUT_MARGIN_MS)
    cut = taken_in_time = in_time = 0
    running: list[tuple[float, int, Drawn, Progress]] = []
    for number, request in enumerate(requests):
        clock.advance(request.sent_ms - clock.now_ms())
        now_ms = clock.now_ms()
        for item in [item for item in running if item[0] <= now_ms]:
            running.remove(item)
            drain.request_ended(item[1])
            note_progress(item[2], item[3], round(item[0]), overlong)
            drain.durations.note(SERVICE, item[2].prompt, item[3])
        for _, _, drawn, progress in running:
            note_progress(drawn, progress, now_ms, overlong)
        if now_ms >= BEFORE_MS and not drain.draining:
            drain.begin(BEFORE_MS)
        taken = drain.admits(
            SERVICE, request.prompt, remaining_ms=DEADLINE_MS, upstream=request.upstream
        )
        ends_ms = request.sent_ms + request.total_ms
        if taken:
            progress = Progress(
                arrived_ms=now_ms, deadline_at_ms=now_ms + DEADLINE_MS, upstream=request.upstream
            )
            running.append((ends_ms, number, request, progress))
            drain.request_started(number, service=SERVICE, progress=progress)
        if request.sent_ms > BEFORE_MS + LATE_MS:
            ends_in_time = ends_ms <= BEFORE_MS + STOP_MS - CUT_MARGIN_MS
            in_time += ends_in_time
            taken_in_time += taken and ends_in_time
            cut += taken and not ends_in_time
    return Replay(cut, taken_in_time, in_time)


def note_progress(drawn: Drawn, progress: Progress, now_ms: int, overlong: float) -> None:
    since_ms = now_ms - drawn.sent_ms
    if since_ms < drawn.first_ms:
        return
    progress.first_byte_ms = round(drawn.first_ms)
    rest_ms = max(1.0, drawn.total_ms - drawn.first_ms)
    gaps = drawn.prompt.max_output_tokens * overlong - 1
    progress.events = 1 + round(gaps * min(1.0, (since_ms - drawn.first_ms) / rest_ms))


def replay_all(overlong: float) -> list[Replay]:
    """Replay all paces and first events."""
    results = []
    for pace_ms in PACES_MS:
        for first_ms in FIRSTS_MS:
            seed = f"{pace_ms} {first_ms} {overlong}"
            drawn = draw(seed, pace_ms=pace_ms, first_ms=first_ms, overlong=overlong)
            results.append(replay(drawn, overlong=overlong))
    return results


@pytest.mark.parametrize("overlong", [1.0, 1.3])
def test_drain_takes_nothing_late_that_is_cut(overlong: float) -> None:
    results = replay_all(overlong)
    assert [result.cut for result in results] == [0] * len(results)
    assert sum(result.taken_in_time for result in results) > 0


# Guards against a bound that holds only at engines that keep their pace: engines slow down for a
# while, as they did before, or for the first time.
@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("kind", ["bursts", "heavy", "step"])
def test_drain_takes_nothing_late_that_is_cut_at_engines_that_slow_down(
    kind: str, seed: int
) -> None:
    results = []
    for pace_ms in PACES_MS:
        for first_ms in FIRSTS_MS:
            name = f"{pace_ms} {first_ms} {kind} {seed}"
            drawn = draw(name, pace_ms=pace_ms, first_ms=first_ms, overlong=1.0)
            results.append(replay(slow_down(drawn, name, kind)))
    assert [result.cut for result in results] == [0] * len(results)
    assert sum(result.taken_in_time for result in results) > 0


def test_drain_takes_nine_tenths_of_what_ends_in_time() -> None:
    results = replay_all(1.0)
    in_time = sum(result.in_time for result in results)
    assert sum(result.taken_in_time for result in results) >= 0.9 * in_time


def make_drain(clock: ManualClock, *, limit_ms: int = 7_000) -> DrainAdmission:
    return DrainAdmission(clock=clock, limit_ms=limit_ms)


def note_answers(
    drain: DrainAdmission, clock: ManualClock, *, count: int, first_ms: int, ms_per_token: int
) -> None:
    for _ in range(count):
        progress = Progress(arrived_ms=clock.now_ms(), deadline_at_ms=DEADLINE_MS, upstream="i-0")
        progress.first_byte_ms = first_ms
        progress.events = OUTPUT_TOKENS[0]
        clock.advance(first_ms + (OUTPUT_TOKENS[0] - 1) * ms_per_token)
        drain.durations.note(SERVICE, make_prompt(INPUT_TOKENS[0], OUTPUT_TOKENS[0]), progress)


def admits(drain: DrainAdmission, tokens: int | None, *, remaining_ms: int = DEADLINE_MS) -> bool:
    prompt = None if tokens is None else make_prompt(INPUT_TOKENS[0], tokens)
    return drain.admits(SERVICE, prompt, remaining_ms=remaining_ms)


def test_draining_router_admits_all_requests_to_unknown_services_during_the_grace_period() -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    assert admits(drain, 10_000)
    drain.begin()
    clock.advance(DRAIN_GRACE_MS - 1)
    assert admits(drain, 10_000)
    clock.advance(1)
    assert not admits(drain, 10_000)


def test_draining_router_does_not_admit_what_would_be_cut_by_the_pace_that_it_saw() -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    note_answers(drain, clock, count=MIN_ANSWERS, first_ms=100, ms_per_token=10)
    assert admits(drain, 10_000)
    drain.begin()
    tokens = 1 + (7_000 - MARGIN_MS - 100) // 10
    assert admits(drain, tokens)
    assert not admits(drain, tokens + 1)


def test_draining_router_admits_what_ends_before_the_limit_at_the_pace_that_it_saw() -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    note_answers(drain, clock, count=MIN_ANSWERS, first_ms=100, ms_per_token=10)
    drain.begin()
    clock.advance(DRAIN_GRACE_MS)
    tokens = 1 + int((7_000 - DRAIN_GRACE_MS - MARGIN_MS) / SLOWDOWN - 100) // 10
    assert admits(drain, tokens)
    assert not admits(drain, tokens + 1)
    # A request ends at its deadline at the latest.
    assert admits(drain, tokens + 1, remaining_ms=3_000)


@pytest.mark.parametrize(("count", "age_ms"), [(MIN_ANSWERS - 1, 0), (MIN_ANSWERS, RECENT_MS)])
def test_draining_router_assumes_the_slowest_pace_without_recent_answers(
    count: int, age_ms: int
) -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    note_answers(drain, clock, count=count, first_ms=100, ms_per_token=1)
    clock.advance(age_ms)
    drain.begin()
    clock.advance(DRAIN_GRACE_MS)
    # Not even a first event is in time.
    assert not admits(drain, 1)
    assert LATEST_FIRST_MS * SLOWDOWN > 7_000 - DRAIN_GRACE_MS
    # A request that ends in time at any pace is taken.
    assert admits(drain, 1, remaining_ms=4_000)


def test_draining_router_takes_the_pace_of_a_stream_under_way_for_that_of_its_upstream() -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    note_answers(drain, clock, count=MIN_ANSWERS, first_ms=100, ms_per_token=10)
    progress = Progress(arrived_ms=clock.now_ms(), deadline_at_ms=DEADLINE_MS, upstream="i-0")
    progress.first_byte_ms, progress.events = 100, MIN_EVENTS
    drain.request_started(1, service=SERVICE, progress=progress)
    drain.begin()
    clock.advance(DRAIN_GRACE_MS)
    prompt = make_prompt(INPUT_TOKENS[0], 40)
    assert not drain.admits(SERVICE, prompt, remaining_ms=DEADLINE_MS, upstream="i-0")
    drain.request_ended(1)
    assert drain.admits(SERVICE, prompt, remaining_ms=DEADLINE_MS, upstream="i-0")


def test_upstream_that_has_not_answered_lately_is_taken_for_the_slowest_that_is_expected() -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    note_answers(drain, clock, count=MIN_ANSWERS, first_ms=100, ms_per_token=10)
    drain.begin()
    prompt = make_prompt(INPUT_TOKENS[0], 40)
    # While load balancers still send requests, it gets what comes.
    assert drain.admits(SERVICE, prompt, remaining_ms=DEADLINE_MS, upstream="i-1")
    clock.advance(DRAIN_GRACE_MS)
    assert drain.admits(SERVICE, prompt, remaining_ms=DEADLINE_MS, upstream="i-0")
    assert not drain.admits(SERVICE, prompt, remaining_ms=DEADLINE_MS, upstream="i-1")


def test_pace_of_short_answers_is_that_between_their_events() -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    for events in (1, 2, 2, 2, 2, 2):
        progress = Progress(arrived_ms=clock.now_ms(), deadline_at_ms=DEADLINE_MS, upstream="i-0")
        progress.first_byte_ms, progress.events = 100, events
        clock.advance(100 + (events - 1) * 50)
        drain.durations.note(SERVICE, make_prompt(INPUT_TOKENS[0], events), progress)
    prompt = make_prompt(INPUT_TOKENS[0], 10)
    assert drain.durations.estimate_ms(SERVICE, prompt, upstream="i-0") == 100 + 9 * 50


def test_plain_requests_are_admitted_by_the_time_that_their_service_takes() -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    drain.begin()
    clock.advance(7_000 - MARGIN_MS - int(PLAIN_MS * SLOWDOWN))
    assert admits(drain, None)
    clock.advance(1)
    assert not admits(drain, None)


def test_stop_that_has_begun_is_measured_from_its_signal() -> None:
    clock = ManualClock()
    clock.advance(5_000)
    drain = make_drain(clock)
    drain.begin(1_000)
    assert drain.limit_at_ms == 8_000
    assert drain.grace_left_ms == 0
