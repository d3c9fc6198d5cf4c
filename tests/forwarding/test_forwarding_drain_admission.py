"""Admission while a router drains."""

from __future__ import annotations

from itertools import product
from typing import NamedTuple

import pytest
from drain_replay import DEADLINE_MS, INPUT_TOKENS, OUTPUT_TOKENS, SERVICE, SILENCE_MS, make_prompt

from gypsumrouter.forwarding.const import DRAIN_GRACE_MS
from gypsumrouter.forwarding.drain import DrainAdmission, RequestAdmission
from gypsumrouter.forwarding.drain.const import (
    EXCUSED_MS,
    LATEST_FIRST_MS,
    MARGIN_MS,
    MIN_ANSWERS,
    MIN_COMPARED,
    MIN_EVENTS,
    PLAIN_MS,
    RECENT_MS,
    SLOWDOWN,
)
from gypsumrouter.forwarding.progress import Progress
from gypsumrouter.util.clock import ManualClock


def make_drain(clock: ManualClock, *, limit_ms: int = 7_000) -> DrainAdmission:
    return DrainAdmission(clock=clock, limit_ms=limit_ms)


def note_answers(
    drain: DrainAdmission,
    clock: ManualClock,
    *,
    count: int,
    first_ms: int,
    ms_per_token: int,
    upstream: str = "i-0",
    is_stream: bool = True,
) -> None:
    prompt = make_prompt(INPUT_TOKENS[0], OUTPUT_TOKENS[0]) if is_stream else None
    for _ in range(count):
        progress = Progress(
            arrived_ms=clock.now_ms(), deadline_at_ms=DEADLINE_MS, upstream=upstream
        )
        progress.first_byte_ms = first_ms
        progress.events = OUTPUT_TOKENS[0] if is_stream else 0
        clock.advance(first_ms + (OUTPUT_TOKENS[0] - 1) * ms_per_token)
        drain.durations.note(SERVICE, prompt, progress)


def admits(
    drain: DrainAdmission,
    tokens: int | None,
    *,
    remaining_ms: int = DEADLINE_MS,
    upstream: str | None = None,
) -> bool:
    prompt = None if tokens is None else make_prompt(INPUT_TOKENS[0], tokens)
    return drain.admits(SERVICE, prompt, remaining_ms=remaining_ms, upstream=upstream)


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
    left_ms = 7_000 - DRAIN_GRACE_MS - MARGIN_MS - SILENCE_MS
    tokens = 1 + int(left_ms / SLOWDOWN - 100) // 10
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
    clock.advance(7_000 - MARGIN_MS - SILENCE_MS - int(PLAIN_MS * SLOWDOWN))
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


class Case(NamedTuple):
    """A request late in a drain, and the silence of its upstream."""

    is_stream: bool
    tokens: int
    asked_ms: int
    silent_at: float
    silence_ms: int
    attempts: int
    limit_ms: int


CASES = [
    Case(*values)
    for values in product(
        (False, True),
        (1, 10, 40, 120),
        range(DRAIN_GRACE_MS, 7_500, 350),
        # Where in the answer: before its first event, between two, before its end.
        (0.0, 0.5, 1.0),
        (300, 900, SILENCE_MS),
        (1, 2),
        (5_500, 7_500, 11_500),
    )
]
FIRST_MS = 300
MS_PER_TOKEN = 20
# By how much the upstream that may take over is slower.
OTHER_SLOWNESS = 4
# How a silent upstream is replaced: after how much silence, and how long both may run.
PATIENCE_MS = 600
OVERLAP_MS = 250


def find_end(drain: DrainAdmission, clock: ManualClock, case: Case) -> int:
    """Return how long a request takes; a second upstream may take over from a silent one."""
    prompt = make_prompt(INPUT_TOKENS[0], case.tokens) if case.is_stream else None
    first_ms = FIRST_MS if case.is_stream else 0
    rest_ms = FIRST_MS if prompt is None else MS_PER_TOKEN * (case.tokens - 1)
    silent_at_ms = round(case.silent_at * (first_ms + rest_ms))
    alone_ms = first_ms + rest_ms + case.silence_ms
    if case.attempts == 1 or case.silence_ms <= PATIENCE_MS:
        return alone_ms
    clock.advance(silent_at_ms + PATIENCE_MS)
    events = max(0, silent_at_ms - first_ms) // MS_PER_TOKEN if case.is_stream else 0
    taken_over = drain.admits_replacement(
        SERVICE, prompt, events=events, remaining_ms=DEADLINE_MS, upstream="i-1"
    )
    if not taken_over:
        return alone_ms
    other_ms = OTHER_SLOWNESS * (first_ms + rest_ms - events * MS_PER_TOKEN)
    return silent_at_ms + PATIENCE_MS + OVERLAP_MS + other_ms


# Guards against answers that are cut since a stop has no room for one silence of their upstream,
# or for the first event of the one that takes over.
def test_drain_admits_nothing_late_that_one_silence_pushes_past_its_limit() -> None:
    admitted = 0
    for case in CASES:
        clock = ManualClock()
        drain = make_drain(clock, limit_ms=case.limit_ms)
        for upstream, slowness in (("i-1", OTHER_SLOWNESS), ("i-0", 1)):
            note_answers(
                drain,
                clock,
                count=MIN_COMPARED,
                first_ms=FIRST_MS * slowness,
                ms_per_token=MS_PER_TOKEN * slowness if case.is_stream else 0,
                upstream=upstream,
                is_stream=case.is_stream,
            )
        drain.begin()
        clock.advance(case.asked_ms)
        tokens = case.tokens if case.is_stream else None
        if not admits(drain, tokens, upstream="i-0"):
            continue
        admitted += 1
        assert case.asked_ms + find_end(drain, clock, case) <= case.limit_ms, case
    assert admitted > len(CASES) / 10


def test_silent_upstream_is_not_replaced_by_one_that_would_not_end_before_the_stop() -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    note_answers(drain, clock, count=2 * MIN_COMPARED, first_ms=200, ms_per_token=10)
    prompt = make_prompt(INPUT_TOKENS[0], OUTPUT_TOKENS[0])

    def admits_replacement(events: int) -> bool:
        return drain.admits_replacement(
            SERVICE, prompt, events=events, remaining_ms=DEADLINE_MS, upstream="i-0"
        )

    assert admits_replacement(0)
    drain.begin()
    # The upstream that takes over may be silent as well.
    clock.advance(7_000 - MARGIN_MS - SILENCE_MS - 200 - (OUTPUT_TOKENS[0] - 1) * 10)
    assert admits_replacement(0)
    clock.advance(50)
    assert not admits_replacement(0)
    # What its caller has is not sent again.
    assert admits_replacement(5)
    clock.advance(50)
    assert not admits_replacement(OUTPUT_TOKENS[0])


# Guards against a late stream that goes on, or begins, at an upstream whose pace nothing bounds.
def test_upstream_of_a_late_stream_is_decided_by_its_deadline_alone() -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    note_answers(drain, clock, count=2 * MIN_COMPARED, first_ms=100, ms_per_token=1)
    drain.begin()
    clock.advance(EXCUSED_MS)
    prompt = make_prompt(INPUT_TOKENS[0], OUTPUT_TOKENS[0])
    left_ms = 7_000 - EXCUSED_MS - MARGIN_MS

    def decide(*, needs_bound: bool, remaining_ms: int, upstream: str) -> tuple[bool, bool]:
        asked = RequestAdmission(drain, service=SERVICE, prompt=prompt, needs_bound=needs_bound)
        return (
            asked.may_start(remaining_ms, upstream),
            asked.may_replace(events=1, remaining_ms=remaining_ms, upstream=upstream),
        )

    for upstream in ("i-0", "i-unknown"):
        assert decide(needs_bound=True, remaining_ms=left_ms, upstream=upstream) == (True, True)
        later = decide(needs_bound=True, remaining_ms=left_ms + 1, upstream=upstream)
        assert later == (False, False)
    # One that was read before may be cut, and is decided by what was seen.
    assert decide(needs_bound=False, remaining_ms=DEADLINE_MS, upstream="i-0") == (True, True)


# Guards against a short answer that was silent once and lets long ones look too slow to be taken.
@pytest.mark.parametrize("pause_ms", [0, SILENCE_MS])
def test_silence_of_a_short_answer_is_no_slowdown(pause_ms: int) -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    note_answers(drain, clock, count=2 * MIN_COMPARED, first_ms=100, ms_per_token=10)
    progress = Progress(arrived_ms=clock.now_ms(), deadline_at_ms=DEADLINE_MS, upstream="i-0")
    progress.events = OUTPUT_TOKENS[0]
    progress.longest_pause_ms = pause_ms
    progress.first_byte_ms = 100 if pause_ms else 100 + SILENCE_MS
    clock.advance(100 + (OUTPUT_TOKENS[0] - 1) * 10 + SILENCE_MS)
    drain.durations.note(SERVICE, make_prompt(INPUT_TOKENS[0], OUTPUT_TOKENS[0]), progress)
    worst = drain.durations.slowdowns.find_worst(SERVICE)
    assert worst is not None
    assert worst < 1.05


def test_pauses_of_a_slow_stream_are_no_silence() -> None:
    clock = ManualClock()
    drain = make_drain(clock)
    for _ in range(MIN_ANSWERS):
        progress = Progress(arrived_ms=clock.now_ms(), deadline_at_ms=DEADLINE_MS, upstream="i-0")
        progress.first_byte_ms, progress.events, progress.longest_pause_ms = 100, 10, 500
        clock.advance(100 + 9 * 400)
        drain.durations.note(SERVICE, make_prompt(INPUT_TOKENS[0], 10), progress)
    prompt = make_prompt(INPUT_TOKENS[0], 10)
    assert drain.durations.estimate_ms(SERVICE, prompt, upstream="i-0") == 100 + 9 * 400


STOP_LIMIT_MS = 7_500
BURST_FIRST_MS = 50


def note_bursts(
    drain: DrainAdmission, clock: ManualClock, *, tokens: int, per_burst: int, every_ms: int
) -> int:
    """Note an answer whose events come in bursts, one burst a read; return how long it took."""
    pauses = (tokens - 1) // per_burst
    progress = Progress(arrived_ms=clock.now_ms(), deadline_at_ms=DEADLINE_MS, upstream="i-0")
    progress.first_byte_ms, progress.events = BURST_FIRST_MS, tokens
    progress.first_events = per_burst
    progress.longest_pause_ms = every_ms if pauses else 0
    total_ms = BURST_FIRST_MS + pauses * every_ms
    clock.advance(total_ms)
    drain.durations.note(SERVICE, make_prompt(INPUT_TOKENS[0], tokens), progress)
    return total_ms


# Guards against streams that are cut since each answer of their engine has a pause that is taken
# for a silence: several events in one read, or a long wait behind an event that comes at once.
@pytest.mark.parametrize(
    ("seen_tokens", "per_burst", "every_ms", "asked_tokens"),
    [(20, 10, 400, 100), (20, 10, 400, 60), (20, 20, 0, 20), (16, 8, 320, 64), (40, 1, 40, 40)],
)
def test_pause_that_every_answer_has_counts_for_the_pace_of_its_upstream(
    seen_tokens: int, per_burst: int, every_ms: int, asked_tokens: int
) -> None:
    clock = ManualClock()
    drain = DrainAdmission(clock=clock, limit_ms=STOP_LIMIT_MS)
    for _ in range(2 * MIN_COMPARED):
        note_bursts(drain, clock, tokens=seen_tokens, per_burst=per_burst, every_ms=every_ms)
    takes_ms = BURST_FIRST_MS + (asked_tokens - 1) // per_burst * every_ms
    drain.begin()
    begun_ms = clock.now_ms()
    clock.advance(3_100)
    prompt = make_prompt(INPUT_TOKENS[0], asked_tokens)
    latest_ms = None
    while clock.now_ms() - begun_ms < STOP_LIMIT_MS:
        if drain.admits(SERVICE, prompt, remaining_ms=DEADLINE_MS, upstream="i-0"):
            latest_ms = clock.now_ms() - begun_ms
        clock.advance(10)
    assert latest_ms is None or latest_ms + takes_ms + SILENCE_MS <= STOP_LIMIT_MS, latest_ms


def test_usual_wait_behind_a_first_event_that_comes_at_once_is_no_silence() -> None:
    """Engines send an event with the role at once, and the first token behind the prefill."""
    clock = ManualClock()
    drain = DrainAdmission(clock=clock, limit_ms=STOP_LIMIT_MS)
    prompt = make_prompt(INPUT_TOKENS[0], 40)
    takes_ms = 20 + 1_200 + 39 * 20
    for _ in range(2 * MIN_COMPARED):
        progress = Progress(arrived_ms=clock.now_ms(), deadline_at_ms=DEADLINE_MS, upstream="i-0")
        progress.first_byte_ms, progress.events, progress.longest_pause_ms = 20, 41, 1_200
        clock.advance(takes_ms)
        drain.durations.note(SERVICE, prompt, progress)
    drain.begin()
    # With a silence of its upstream the answer ends behind the limit.
    clock.advance(STOP_LIMIT_MS - takes_ms - SILENCE_MS + 500)
    assert not drain.admits(SERVICE, prompt, remaining_ms=DEADLINE_MS, upstream="i-0")
