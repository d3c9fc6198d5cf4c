"""Execution of one at-most-once call."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import Final, Self

from gypsumrouter.exceptions import InvariantBroken
from gypsumrouter.idempotency.records import Record, RecordStore
from gypsumrouter.link.models import Head
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused

Recheck = Callable[[], Failure | None]

_CANCELLED: Final = Refused(reason=Reason.STOPPED, message="the run was given up before it began")


class Run:
    """Permission to run a call once.

    `authorize` is called right before the call is sent to the upstream. The run ends with `finish`
    or `fail` if the call was sent, and with `cancel` otherwise. As a context manager, it ends a run
    that has no outcome on exit.
    """

    __slots__ = ("_authorized", "_recheck", "_record", "_store")

    def __init__(self, *, store: RecordStore, record: Record, recheck: Recheck) -> None:
        self._store = store
        self._record: Record | None = record
        self._recheck = recheck
        self._authorized = False

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._record is None:
            return
        if self._authorized:
            self.fail(Reason.UPSTREAM_LOST)
        else:
            self.cancel(_CANCELLED)

    def authorize(self) -> Failure | None:
        """Return None if the call may be sent now.

        Otherwise return why not; the run has then ended, and the call must not be sent.
        """
        denied = self._recheck()
        if denied is not None:
            self._store.remove(self._take_record(), denied)
            return denied
        self._authorized = True
        return None

    def finish(self, head: Head, body: bytes) -> None:
        """Store the complete response."""
        self._check_authorized()
        self._store.finish(self._take_record(), head, body)

    def fail(self, reason: Reason) -> None:
        """Store that the call was sent and no complete response was received."""
        self._check_authorized()
        outcome = Failed(
            reason=Reason.EARLIER_RUN_UNKNOWN,
            message=f"the call was handed over, and its answer was lost: {reason.value}",
        )
        self._store.fail(self._take_record(), outcome)

    def cancel(self, refused: Refused) -> Failure:
        """Remove the record of the call, which was not sent; return the failure to report.

        That is `refused`, unless another instance may have become the owner of the key.
        """
        outcome = self._recheck() or refused
        self._store.remove(self._take_record(), outcome)
        return outcome

    def _take_record(self) -> Record:
        record = self._record
        if record is None:
            raise InvariantBroken("at-most-once run: expected one outcome, got a second")
        self._record = None
        return record

    def _check_authorized(self) -> None:
        if not self._authorized:
            raise InvariantBroken(
                "at-most-once run: got an outcome before authorize() allowed the run"
            )
