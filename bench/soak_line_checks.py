"""Comparison of what callers of a soak saw with the journal lines of the forwarders."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

from bench.raw_caller import End
from bench.soak_checks import Violation
from bench.soak_overlap_callers import OverlapCall
from bench.soak_overlap_checks import Work, describe
from bench.soak_stops import Stop, find_stop
from gypsumrouter.forwarding.progress import OUTCOME_ANSWERED

# The line of an answer that is not whole. Unlike others it is never left out.
EVENT_CUT: Final = "request_cut"
EVENT_ENDED: Final = "request_ended"


def collect_cut(lines: Sequence[Mapping[str, Any]]) -> frozenset[str]:
    """Return the ids of the requests that lines name as cut."""
    return frozenset(line["request_id"] for line in lines if line.get("event") == EVENT_CUT)


def check_outcomes(
    calls: Sequence[OverlapCall], lines: Sequence[Mapping[str, Any]]
) -> Iterator[Violation]:
    """Check that no line says that a request was answered whose caller got no whole answer."""
    answered = {
        line["request_id"]
        for line in lines
        if line.get("event") == EVENT_ENDED and line.get("outcome") == OUTCOME_ANSWERED
    }
    cut = collect_cut(lines)
    for call in calls:
        answer = call.answer
        if answer.end is End.WHOLE or answer.request_id not in answered:
            continue
        named = "also named as cut" if answer.request_id in cut else "not named as cut"
        yield Violation(
            guarantee="line says answered",
            request_id=answer.request_id,
            detail=f"{call.route} ({call.manner}) {answer.end} {answer.status}, {named}",
        )


def check_cut_lines(
    calls: Sequence[OverlapCall],
    stops: Sequence[Stop],
    work: Mapping[str, Sequence[Work]],
    lines: Sequence[Mapping[str, Any]],
) -> Iterator[Violation]:
    """Check that lines name each request that ran or had a response, and lost the rest of it.

    Processes that were killed write no lines.
    """
    cut = collect_cut(lines)
    for call in calls:
        answer = call.answer
        if answer.end is End.WHOLE or answer.request_id in cut:
            continue
        if answer.request_id not in work and not answer.status:
            continue
        stop = find_stop(call.forwarder, answer, stops)
        if stop is not None and stop.killed:
            continue
        detail = describe(call, stop, work, ())
        yield Violation(guarantee="cut without a line", request_id=answer.request_id, detail=detail)
