"""Bounded in-memory store of at-most-once calls; records are kept until they expire."""

from __future__ import annotations

import asyncio
import heapq

from gypsumrouter.idempotency.const import (
    HEADER_BYTES,
    MAX_ANSWER_BYTES,
    RECORD_BYTES,
    RESERVED_ANSWER_BYTES,
)
from gypsumrouter.idempotency.outcomes import CallOutcome, Replay
from gypsumrouter.link.models import Head
from gypsumrouter.outcomes import Failed, Reason


class Record:
    """One call; `outcome` is None while it runs, and `expires_ms` is in monotonic time."""

    __slots__ = ("created_ms", "digest", "expires_ms", "fingerprint", "outcome", "size", "waiter")

    def __init__(
        self, *, digest: bytes, fingerprint: bytes, created_ms: int | None, expires_ms: int
    ) -> None:
        self.digest = digest
        self.fingerprint = fingerprint
        self.created_ms = created_ms
        self.expires_ms = expires_ms
        self.size = RECORD_BYTES + RESERVED_ANSWER_BYTES
        self.outcome: CallOutcome | None = None
        self.waiter: asyncio.Future[CallOutcome] | None = None

    def __lt__(self, other: Record) -> bool:
        return self.expires_ms < other.expires_ms

    async def async_wait(self) -> CallOutcome:
        """Wait for the outcome of the call; can be cancelled without affecting the call."""
        if self.outcome is not None:
            return self.outcome
        if self.waiter is None:
            self.waiter = asyncio.get_running_loop().create_future()
        return await asyncio.shield(self.waiter)

    def set_outcome(self, outcome: CallOutcome) -> None:
        """Set the outcome and wake up all waiters."""
        self.outcome = outcome
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(outcome)
        self.waiter = None


class Join:
    """Handle to a running call, for a repeat of it."""

    __slots__ = ("_record",)

    def __init__(self, record: Record) -> None:
        self._record = record

    async def async_wait(self) -> CallOutcome:
        """Wait for the outcome of the call; can be cancelled without affecting the call."""
        return await self._record.async_wait()


class RecordStore:
    """Records of the calls that this process runs or has run.

    The record of a running call is never removed, that of an ended call not before `expires_ms`.
    `expired_until_ms` is the highest creation time of all expired records: a call that old may have
    run here without a record of it.
    """

    __slots__ = (
        "_ended",
        "_max_bytes",
        "_max_calls",
        "_records",
        "_used_bytes",
        "expired_until_ms",
    )

    def __init__(self, *, max_calls: int, max_bytes: int) -> None:
        self._max_calls = max_calls
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._records: dict[bytes, Record] = {}
        self._ended: list[Record] = []
        self.expired_until_ms = 0

    @property
    def calls(self) -> int:
        """Return the number of records."""
        return len(self._records)

    @property
    def running(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self._records) - len(self._ended)

    @property
    def used_bytes(self) -> int:
        """Return the bytes accounted for all records."""
        return self._used_bytes

    @property
    def next_expiry_ms(self) -> int | None:
        """Return when the next record expires, None while all calls are running."""
        return self._ended[0].expires_ms if self._ended else None

    def set_bounds(self, *, max_calls: int, max_bytes: int) -> None:
        """Change the limits; lower ones drop no records but prevent new ones."""
        self._max_calls = max_calls
        self._max_bytes = max_bytes

    def get(self, digest: bytes) -> Record | None:
        """Return the record of a call."""
        return self._records.get(digest)

    def has_capacity(self) -> bool:
        """Return whether one more call can be stored."""
        needed = RECORD_BYTES + RESERVED_ANSWER_BYTES
        return len(self._records) < self._max_calls and self._used_bytes + needed <= self._max_bytes

    def add(self, record: Record) -> None:
        """Add the record of a call that is about to run."""
        self._records[record.digest] = record
        self._used_bytes += record.size

    def remove(self, record: Record, outcome: CallOutcome) -> None:
        """Remove a call that was not run, and pass `outcome` to its waiters."""
        del self._records[record.digest]
        self._used_bytes -= record.size
        record.set_outcome(outcome)

    def finish(self, record: Record, head: Head, body: bytes) -> None:
        """Store the response, or only its status if it is too large."""
        size = len(body) + _get_header_bytes(head)
        available = self._max_bytes - self._used_bytes + record.size - RECORD_BYTES
        if size <= RESERVED_ANSWER_BYTES or size <= min(available, MAX_ANSWER_BYTES):
            self._end(record, Replay(head=head, body=body), size)
            return
        if record.waiter is not None:
            record.waiter.set_result(Replay(head=head, body=body))
            record.waiter = None
        self._end(record, _make_evicted(head.status), 0)

    def fail(self, record: Record, outcome: Failed) -> None:
        """Store that the call was sent to the upstream without a complete response."""
        self._end(record, outcome, 0)

    def expire(self, now_ms: int) -> None:
        """Remove the expired records."""
        while self._ended and self._ended[0].expires_ms <= now_ms:
            record = heapq.heappop(self._ended)
            del self._records[record.digest]
            self._used_bytes -= record.size
            self.expired_until_ms = max(self.expired_until_ms, record.created_ms or 0)

    def _end(self, record: Record, outcome: CallOutcome, answer_bytes: int) -> None:
        self._used_bytes -= record.size
        record.size = RECORD_BYTES + answer_bytes
        self._used_bytes += record.size
        record.set_outcome(outcome)
        heapq.heappush(self._ended, record)


def _get_header_bytes(head: Head) -> int:
    return sum(len(name) + len(value) + HEADER_BYTES for name, value in head.headers)


def _make_evicted(status: int) -> Failed:
    message = f"the call was run and answered with status {status}; the answer was not kept"
    return Failed(reason=Reason.ANSWER_EVICTED, message=message)
