"""Replay of drawn requests to a router that drains, without a network."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from itertools import accumulate
from typing import Final, NamedTuple

from gypsumrouter.forwarding.const import DRAIN_GRACE_MS
from gypsumrouter.forwarding.drain import DrainAdmission
from gypsumrouter.forwarding.drain.const import CUT_MARGIN_MS, MARGIN_MS
from gypsumrouter.forwarding.models import Prompt, PromptPart
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.util.clock import ManualClock

SERVICE = "models"
STOP_MS = 8_000
# A sound upstream may stand still for so long.
SILENCE_MS = 1_500
# Requests that are sent later than this after the signal must not be cut.
LATE_MS = 3_000
DEADLINE_MS = 30_000
# A third of the requests each; most answers end before these.
DEADLINES_MS = (1_500, 3_000, DEADLINE_MS)
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
# Engines that more load slows down, in the stop and for the first time: by how much, and how long
# after its signal.
LOADED = {
    "twice_at_3": (2.0, 3_000),
    "twice_at_5": (2.0, 5_000),
    "five_at_3": (5.0, 3_000),
    "five_at_5": (5.0, 5_000),
}
# Where requests are counted, after the signal: those that must not be cut, and those before that
# get no grace any more.
LATE: Final = (LATE_MS, STOP_MS)
EXCUSED: Final = (DRAIN_GRACE_MS, LATE_MS)
# The last answer has ended by then.
END_MS = BEFORE_MS + 6 * STOP_MS


class Drawn(NamedTuple):
    """A request, when it is sent, and how its answer goes at the upstream that it gets."""

    sent_ms: int
    prompt: Prompt | None
    upstream: str
    first_ms: float
    total_ms: float
    deadline_ms: int = DEADLINE_MS
    # A silence inside the answer, and when it begins.
    pause_ms: float = 0.0
    pauses_after_ms: float = 0.0


class Replay(NamedTuple):
    """What became of the requests in a part of the stop.

    `in_time` would end in time, `in_time_silent` also with a silence, and `bounded` at any pace,
    by their deadlines.
    """

    cut: int
    taken_in_time: int
    in_time: int
    taken_in_time_silent: int = 0
    in_time_silent: int = 0
    taken_bounded: int = 0
    bounded: int = 0


def make_prompt(input_tokens: int, output_tokens: int) -> Prompt:
    parts = (PromptPart(part=1, tokens=input_tokens),)
    return Prompt(
        model="m", parts=parts, input_tokens=input_tokens, max_output_tokens=output_tokens
    )


def draw(seed: str, *, pace_ms: float, first_ms: int, overlong: float) -> Iterator[Drawn]:
    """Draw requests up to the end of a stop that is asked for at `BEFORE_MS`."""
    rng = random.Random(seed)
    deadlines = random.Random(f"{seed} deadlines")
    for sent_ms in range(0, BEFORE_MS + STOP_MS, EVERY_MS):
        upstream = rng.randrange(UPSTREAMS)
        # Upstreams of one service differ in speed.
        slowness = 1 + 0.1 * upstream
        tokens = rng.choice(OUTPUT_TOKENS)
        first = first_ms * slowness * rng.uniform(1 - SPREAD, 1 + SPREAD)
        gaps = tokens * overlong - 1
        rest = gaps * pace_ms * slowness * rng.uniform(1 - SPREAD, 1 + SPREAD)
        prompt = make_prompt(rng.choice(INPUT_TOKENS), tokens)
        deadline_ms = deadlines.choice(DEADLINES_MS)
        yield Drawn(sent_ms, prompt, f"i-{upstream}", first, first + rest, deadline_ms)


def draw_plain(seed: str, *, total_ms: int) -> Iterator[Drawn]:
    """Draw requests whose answers come in one piece."""
    rng = random.Random(seed)
    for sent_ms in range(0, BEFORE_MS + STOP_MS, EVERY_MS):
        upstream = rng.randrange(UPSTREAMS)
        took_ms = total_ms * (1 + 0.1 * upstream) * rng.uniform(1 - SPREAD, 1 + SPREAD)
        yield Drawn(sent_ms, None, f"i-{upstream}", took_ms, took_ms)


def draw_slowness(rng: random.Random, kind: str) -> list[float]:
    """Draw by how much an engine is slower than usual, every `EVERY_MS`."""
    slowness = [1.0] * (END_MS // EVERY_MS)
    if kind == "step":
        begins_ms = BEFORE_MS + rng.uniform(*STEP_AFTER_MS)
        return [STEP if n * EVERY_MS >= begins_ms else 1.0 for n in range(len(slowness))]
    if kind in LOADED:
        factor, after_ms = LOADED[kind]
        begins_ms = BEFORE_MS + after_ms
        return [factor if n * EVERY_MS >= begins_ms else 1.0 for n in range(len(slowness))]
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


def fall_silent(
    requests: Iterable[Drawn], seed: str, *, before: float, silence_ms: int
) -> Iterator[Drawn]:
    """Let upstreams fall silent once in each answer later than `LATE_MS` after the signal.

    Before that they do so in a share of the answers.
    """
    rng = random.Random(f"{seed} silences")
    for request in requests:
        late = request.sent_ms > BEFORE_MS + LATE_MS
        at_ms = rng.uniform(0, request.total_ms)
        if not late and rng.random() >= before:
            yield request
        elif at_ms < request.first_ms:
            yield request._replace(
                first_ms=request.first_ms + silence_ms, total_ms=request.total_ms + silence_ms
            )
        else:
            yield request._replace(
                total_ms=request.total_ms + silence_ms, pause_ms=silence_ms, pauses_after_ms=at_ms
            )


def replay(
    requests: Iterator[Drawn], *, overlong: float = 1.0, counted_ms: tuple[int, int] = LATE
) -> Replay:
    """Replay requests, and count those of a part of the stop."""
    clock = ManualClock()
    drain = DrainAdmission(clock=clock, limit_ms=STOP_MS - CUT_MARGIN_MS)
    ends_at_ms = BEFORE_MS + STOP_MS - CUT_MARGIN_MS
    cut = taken_in_time = in_time = taken_in_time_silent = in_time_silent = 0
    taken_bounded = bounded = 0
    running: list[tuple[float, int, Drawn, Progress]] = []
    for number, request in enumerate(requests):
        clock.advance(request.sent_ms - clock.now_ms())
        now_ms = clock.now_ms()
        for item in [item for item in running if item[0] <= now_ms]:
            running.remove(item)
            drain.request_ended(item[1])
            note_progress(item[2], item[3], round(item[0]), overlong)
            if item[0] < item[3].deadline_at_ms:
                drain.durations.note(SERVICE, item[2].prompt, item[3])
        for _, _, drawn, progress in running:
            note_progress(drawn, progress, now_ms, overlong)
        if now_ms >= BEFORE_MS and not drain.draining:
            drain.begin(BEFORE_MS)
        taken = drain.admits(
            SERVICE,
            request.prompt,
            remaining_ms=request.deadline_ms,
            upstream=request.upstream,
            needs_bound=drain.is_late and request.prompt is not None,
        )
        deadline_at_ms = now_ms + request.deadline_ms
        ends_ms = min(request.sent_ms + request.total_ms, deadline_at_ms)
        if taken:
            progress = Progress(
                arrived_ms=now_ms, deadline_at_ms=deadline_at_ms, upstream=request.upstream
            )
            running.append((ends_ms, number, request, progress))
            drain.request_started(number, service=SERVICE, progress=progress)
        if counted_ms[0] < request.sent_ms - BEFORE_MS <= counted_ms[1]:
            ends_in_time = ends_ms <= ends_at_ms
            in_time += ends_in_time
            taken_in_time += taken and ends_in_time
            cut += taken and not ends_in_time
            ends_in_time = min(ends_ms + SILENCE_MS, deadline_at_ms) <= ends_at_ms
            in_time_silent += ends_in_time
            taken_in_time_silent += taken and ends_in_time
            is_bounded = deadline_at_ms + MARGIN_MS <= ends_at_ms
            bounded += is_bounded
            taken_bounded += taken and is_bounded
    return Replay(
        cut, taken_in_time, in_time, taken_in_time_silent, in_time_silent, taken_bounded, bounded
    )


def note_progress(drawn: Drawn, progress: Progress, now_ms: int, overlong: float) -> None:
    since_ms = now_ms - drawn.sent_ms
    if since_ms < drawn.first_ms:
        return
    progress.first_byte_ms = round(drawn.first_ms)
    if drawn.prompt is None:
        return
    paused_ms = min(drawn.pause_ms, max(0.0, since_ms - drawn.pauses_after_ms))
    if paused_ms == drawn.pause_ms:
        progress.longest_pause_ms = round(paused_ms)
    rest_ms = max(1.0, drawn.total_ms - drawn.first_ms - drawn.pause_ms)
    gaps = drawn.prompt.max_output_tokens * overlong - 1
    passed_ms = since_ms - drawn.first_ms - paused_ms
    progress.events = 1 + round(gaps * min(1.0, passed_ms / rest_ms))


def replay_all(overlong: float, *, counted_ms: tuple[int, int] = LATE) -> list[Replay]:
    """Replay all paces and first events."""
    results = []
    for pace_ms in PACES_MS:
        for first_ms in FIRSTS_MS:
            seed = f"{pace_ms} {first_ms} {overlong}"
            drawn = draw(seed, pace_ms=pace_ms, first_ms=first_ms, overlong=overlong)
            results.append(replay(drawn, overlong=overlong, counted_ms=counted_ms))
    return results
