"""The promises about what runners say of themselves, from what callers and runners saw."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final

from bench.soak_callers import CallRecord
from bench.soak_checks import Violation
from gypsumrouter.standins import PlatformRunner

# How long after an answer that says so a forwarder may still send to a runner that leaves.
LEAVING_S: Final = 2.0
# How long after its word a runner that wants a rest may still get requests, and how many later.
REST_SLACK_S: Final = 0.5
MAX_IN_REST: Final = 2

Broken = Mapping[int, Sequence[float]]


def check_leaving(
    records: Sequence[CallRecord], runners: Iterable[PlatformRunner], broken: Broken
) -> Iterator[Violation]:
    """Check that a forwarder sends nothing to a runner whose answer it passed on as leaving."""
    by_id = {record.request_id: record for record in records}
    for runner in runners:
        sent = [by_id[a.request_id] for a in runner.arrivals if a.request_id in by_id]
        told = [record for record in sent if record.leaving]
        for record in sent:
            if any(_is_too_late(earlier, record, broken) for earlier in told):
                yield Violation(
                    promise="sent to who leaves", request_id=record.request_id, detail=runner.name
                )


def _is_too_late(told: CallRecord, record: CallRecord, broken: Broken) -> bool:
    if told.forwarder != record.forwarder or record.sent_s - told.answered_s <= LEAVING_S:
        return False
    return not _was_broken(record.forwarder, told.answered_s, record.sent_s, broken)


def check_rests(
    records: Sequence[CallRecord], runners: Iterable[PlatformRunner], broken: Broken
) -> Iterator[Violation]:
    """Check that a forwarder leaves alone a runner that told it to, for as long as it said."""
    by_id = {record.request_id: record for record in records}
    for runner in runners:
        for rest in runner.back_offs:
            asker = by_id.get(rest.request_id)
            if asker is None:
                continue
            begins_s = rest.begins_s + REST_SLACK_S
            if _was_broken(asker.forwarder, rest.begins_s, rest.ends_s, broken):
                continue
            late = [
                arrival
                for arrival in runner.arrivals
                if begins_s < arrival.at_s < rest.ends_s
                and arrival.request_id in by_id
                and by_id[arrival.request_id].forwarder == asker.forwarder
            ]
            if len(late) > MAX_IN_REST:
                detail = f"{runner.name} {len(late)} requests"
                yield Violation(promise="no rest", request_id=late[0].request_id, detail=detail)


def check_retired(retired: Iterable[PlatformRunner], since_s: float) -> Iterator[Violation]:
    """Check that runners that left got nothing once all faults had healed long before."""
    for runner in retired:
        late = [arrival for arrival in runner.arrivals if arrival.at_s > since_s]
        if late:
            detail = f"{runner.name} {len(late)} requests"
            yield Violation(
                promise="sent to who has left", request_id=late[0].request_id, detail=detail
            )


def _was_broken(forwarder: int, begins_s: float, ends_s: float, broken: Broken) -> bool:
    """Return whether a forwarder ended, started or went on after a freeze between two moments."""
    return any(begins_s < at_s <= ends_s for at_s in broken.get(forwarder, ()))
