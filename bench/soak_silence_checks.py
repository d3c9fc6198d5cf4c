"""Checks of the soak of silences: whole answers or refusals, whole streams, no run too many."""

from __future__ import annotations

import re
from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import Final

from msgspec import Struct

from bench.raw_caller import Answer, End
from bench.soak_callers import NOT_RUN_STATUSES
from bench.soak_checks import Violation
from bench.soak_configuration import CALLER_KEY
from bench.soak_stops import LAST_SHARE, LATE_S, STOP_S, USUAL_OVERHEAD, Stop
from gypsumrouter.platform import names
from gypsumrouter.standins import PlatformRunner
from gypsumrouter.standins.runner_content import make_body

# A request that was read is answered by then, or its connection was closed before.
LOSS_SLACK_S: Final = 0.2
# A response this close to the end of a request's time may say that it is over.
TIME_SLACK_S: Final = 0.25
# A configuration is in force this long after it was published at most.
APPLY_S: Final = 1.0
# Routes whose requests may run once.
ONCE: Final = frozenset({"draft", "reserve", "order"})
# Is added and removed while requests with it are under way.
PASSING_KEY: Final = "key-that-comes-and-goes"
REFUSALS: Final = frozenset({429, 503})
EVENT_ID: Final = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class Call(Struct, frozen=True, kw_only=True):
    """A request of a caller; `tokens` is the number of events of a stream, 0 for others."""

    route: str
    forwarder: int
    answer: Answer
    deadline_s: float
    tokens: int = 0
    key: str = CALLER_KEY


class Published(Struct, frozen=True, kw_only=True):
    """A configuration: when it was published (monotonic seconds), and limits by route."""

    at_s: float
    timeouts_s: dict[str, float]
    max_attempts: dict[str, int]


class Ran(Struct, frozen=True, kw_only=True):
    """The runs of a request, and the seconds that the slowest of its upstreams needs for it."""

    runs: int
    needed_s: float


def collect_runs(calls: Sequence[Call], runners: Sequence[PlatformRunner]) -> dict[str, Ran]:
    """Return the runs of each request that ran."""
    tokens = {call.answer.request_id: call.tokens for call in calls}
    ran: dict[str, Ran] = {}
    for runner in runners:
        for request_id in runner.ran:
            parts = tokens.get(request_id) or runner.body_parts
            needed_s = (runner.first_pause_s + runner.pause_s * parts) * USUAL_OVERHEAD
            known = ran.get(request_id, Ran(runs=0, needed_s=0.0))
            ran[request_id] = Ran(runs=known.runs + 1, needed_s=max(known.needed_s, needed_s))
    return ran


def check_answered(
    calls: Sequence[Call],
    stops: Sequence[Stop],
    published: Sequence[Published],
    ran: Mapping[str, Ran],
) -> Iterator[Violation]:
    """Check that whole requests end in a complete answer or a refusal before their time is over."""
    for call in calls:
        answer = call.answer
        took_s = answer.ended_s - answer.sent_s
        if answer.end is End.WHOLE and _is_expected(call):
            continue
        # A request that crosses the close of its connection was not read.
        slack_s = answer.ended_s - answer.whole_s if answer.whole_s else 0.0
        was_read = answer.request_id in ran or answer.status or slack_s > LOSS_SLACK_S
        is_over = took_s >= find_limit_s(call, published) - TIME_SLACK_S
        if not was_read or is_over or _is_cut_by_end(call, stops, ran):
            continue
        yield Violation(
            guarantee="no answer" if answer.end is not End.WHOLE else "failed",
            request_id=answer.request_id,
            detail=f"{answer.end} {answer.status} after {took_s:.2f} s of {call.deadline_s:.2f} s, "
            f"{slack_s:.2f} s after its last byte, {call.tokens} tokens",
        )


def _is_expected(call: Call) -> bool:
    status = call.answer.status
    return status == 200 or status in REFUSALS or (status == 401 and call.key == PASSING_KEY)


def list_in_force(call: Call, published: Sequence[Published]) -> list[Published]:
    """Return the configurations that may have been in force while a request was under way."""
    answer = call.answer
    before = [p for p in published if p.at_s <= answer.sent_s - APPLY_S][-1:]
    during = [p for p in published if answer.sent_s - APPLY_S < p.at_s <= answer.ended_s]
    return [*before, *during]


def find_limit_s(call: Call, published: Sequence[Published]) -> float:
    """Return the shortest time limit of a request that was in force while it was under way."""
    limits_s = (p.timeouts_s[call.route] for p in list_in_force(call, published))
    return min(call.deadline_s, *limits_s)


def _is_cut_by_end(call: Call, stops: Sequence[Stop], ran: Mapping[str, Ran]) -> bool:
    """Return whether a request lasted into the last part of its process's stop, as it may.

    One that was sent late, and would have ended in time by the pauses of its upstream, was held up
    by that after it was taken.
    """
    answer = call.answer
    run = ran.get(answer.request_id)
    for stop in stops:
        if stop.forwarder != call.forwarder or answer.ended_s < stop.at_s + LAST_SHARE * STOP_S:
            continue
        if answer.sent_s > (stop.ended_s or answer.sent_s):
            continue
        needed_s = run.needed_s if run is not None else 0.0
        return answer.sent_s <= stop.at_s + LATE_S or answer.sent_s + needed_s < answer.ended_s
    return False


def check_contents(calls: Sequence[Call], runners: Sequence[PlatformRunner]) -> Iterator[Violation]:
    """Check that streams have no gap and no repeat, and that bodies are those of the signer."""
    sizes = {runner.name: runner.body_bytes for runner in runners}
    for call in calls:
        answer = call.answer
        if answer.status != 200:
            continue
        found: object = None
        if call.tokens:
            numbers = [int(number) for number in EVENT_ID.findall(answer.content)]
            expected = call.tokens if answer.end is End.WHOLE else len(numbers)
            if numbers != list(range(1, expected + 1)):
                found = f"events {numbers} of {call.tokens}"
        elif answer.end is End.WHOLE:
            stamp = answer.head.partition(f"{names.STAMP}: ".encode())[2]
            name = stamp.partition(b".")[0].decode()
            path = f"/{call.route}/{answer.request_id}"
            if answer.content != make_body(f"{name} {path}", size=sizes.get(name)):
                found = f"{len(answer.content)} bytes of {name}"
        if found is not None:
            yield Violation(
                guarantee="incomplete or altered", request_id=answer.request_id, detail=str(found)
            )


def check_once(
    calls: Sequence[Call],
    published: Sequence[Published],
    ran: Mapping[str, Ran],
    *,
    once: Collection[str] = ONCE,
) -> Iterator[Violation]:
    """Check that requests run no more often than allowed, and not if they are refused.

    Those of the routes `once` may run once.
    """
    for call in calls:
        request_id = call.answer.request_id
        runs = ran[request_id].runs if request_id in ran else 0
        allowed = max(p.max_attempts[call.route] for p in list_in_force(call, published))
        if runs > (1 if call.route in once else allowed):
            detail = f"{runs} of {allowed}"
            yield Violation(guarantee="ran too often", request_id=request_id, detail=detail)
        if call.route in once and runs and call.answer.status in NOT_RUN_STATUSES:
            yield Violation(guarantee="ran after refusal", request_id=request_id)
