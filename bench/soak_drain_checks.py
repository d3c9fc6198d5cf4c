"""Checks that forwarders respect the drain and back-off signals of runners.

They compare the records of the callers with the arrivals at the runners.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final

from bench.soak_callers import CallRecord
from bench.soak_checks import Violation
from gypsumrouter.standins import PlatformRunner

# How long a forwarder may still send to a runner after a response announced its drain.
MAX_SENT_AFTER_DRAIN_S: Final = 2.0
# A back-off is enforced after this grace period; concurrent requests may still slip through.
BACKOFF_GRACE_S: Final = 0.5
MAX_DURING_BACKOFF: Final = 2

Interruptions = Mapping[int, Sequence[float]]


def check_draining(
    records: Sequence[CallRecord], runners: Iterable[PlatformRunner], interruptions: Interruptions
) -> Iterator[Violation]:
    """Check that a forwarder stops sending to a runner after a response announced its drain."""
    by_id = {record.request_id: record for record in records}
    for runner in runners:
        sent = [by_id[a.request_id] for a in runner.arrivals if a.request_id in by_id]
        announcements = [record for record in sent if _announces_drain(record, runner)]
        for record in sent:
            if any(
                _is_sent_after_drain(announcement, record, interruptions)
                for announcement in announcements
            ):
                yield Violation(
                    guarantee="sent to draining runner",
                    request_id=record.request_id,
                    detail=runner.name,
                )


def _announces_drain(record: CallRecord, runner: PlatformRunner) -> bool:
    """Return whether a runner's own response announced its drain.

    A retried request arrives at several runners, and its caller gets the response of one of them.
    """
    return record.draining and record.stamp == runner.stamp


def _is_sent_after_drain(
    announcement: CallRecord, record: CallRecord, interruptions: Interruptions
) -> bool:
    if (
        announcement.forwarder != record.forwarder
        or record.sent_s - announcement.answered_s <= MAX_SENT_AFTER_DRAIN_S
    ):
        return False
    return not _was_interrupted(
        record.forwarder, announcement.answered_s, record.sent_s, interruptions
    )


def check_backoffs(
    records: Sequence[CallRecord], runners: Iterable[PlatformRunner], interruptions: Interruptions
) -> Iterator[Violation]:
    """Check that a forwarder sends nothing to a runner for the back-off time that it asked for."""
    by_id = {record.request_id: record for record in records}
    for runner in runners:
        for backoff in runner.back_offs:
            refused = by_id.get(backoff.request_id)
            if refused is None:
                continue
            begins_s = backoff.begins_s + BACKOFF_GRACE_S
            if _was_interrupted(refused.forwarder, backoff.begins_s, backoff.ends_s, interruptions):
                continue
            late = [
                arrival
                for arrival in runner.arrivals
                if begins_s < arrival.at_s < backoff.ends_s
                and arrival.request_id in by_id
                and by_id[arrival.request_id].forwarder == refused.forwarder
            ]
            if len(late) > MAX_DURING_BACKOFF:
                detail = f"{runner.name} {len(late)} requests"
                yield Violation(
                    guarantee="sent during back-off", request_id=late[0].request_id, detail=detail
                )


def check_retired(retired: Iterable[PlatformRunner], since_s: float) -> Iterator[Violation]:
    """Check that replaced runners received nothing after the fleet had settled."""
    for runner in retired:
        late = [arrival for arrival in runner.arrivals if arrival.at_s > since_s]
        if late:
            detail = f"{runner.name} {len(late)} requests"
            yield Violation(
                guarantee="sent to removed runner", request_id=late[0].request_id, detail=detail
            )


def _was_interrupted(
    forwarder: int, begins_s: float, ends_s: float, interruptions: Interruptions
) -> bool:
    """Return whether a forwarder was stopped, started or resumed within an interval."""
    return any(begins_s < at_s <= ends_s for at_s in interruptions.get(forwarder, ()))
