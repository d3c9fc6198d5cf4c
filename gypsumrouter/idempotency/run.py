"""One run of a call that must not be repeated."""

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
    """The permission to run a call once.

    `started` is asked right before the hand-over to the upstream. Then exactly one of `finish`,
    `lost` and `not_run` follows; used as a context manager, the run settles itself.
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
        """Return None if the call may be handed over now.

        Otherwise return why not: the run is over, and the call must not be handed over.
        """
        denied = self._recheck()
        if denied is not None:
            self._store.remove(self._take_record(), denied)
            return denied
        self._authorized = True
        return None

    def finish(self, head: Head, body: bytes) -> None:
        """Remember the whole answer."""
        self._check_authorized()
        self._store.finish(self._take_record(), head, body)

    def fail(self, reason: Reason) -> None:
        """Remember that the call was handed over and that no whole answer came."""
        self._check_authorized()
        outcome = Failed(
            reason=Reason.EARLIER_RUN_UNKNOWN,
            message=f"the call was handed over, and its answer was lost: {reason.value}",
        )
        self._store.fail(self._take_record(), outcome)

    def cancel(self, refused: Refused) -> Failure:
        """Forget the call, which was not handed over; return what its caller may be told.

        That is `refused`, unless another instance may have become the home in the meantime.
        """
        outcome = self._recheck() or refused
        self._store.remove(self._take_record(), outcome)
        return outcome

    def _take_record(self) -> Record:
        record = self._record
        if record is None:
            raise InvariantBroken("a run was settled twice")
        self._record = None
        return record

    def _check_authorized(self) -> None:
        if not self._authorized:
            raise InvariantBroken("a run ended that was never started")
