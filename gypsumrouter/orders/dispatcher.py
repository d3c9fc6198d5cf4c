"""Dispatch of orders to the local engine: permission check, fencing number and journal."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import asdict

from gypsumrouter.core import Application
from gypsumrouter.orders.const import JOURNAL_ENTRIES, MAX_DECISION_AGE_MS
from gypsumrouter.orders.engine import OrderClient
from gypsumrouter.orders.lease import OrderLease
from gypsumrouter.orders.models import (
    Accepted,
    Done,
    Indeterminate,
    NotSent,
    Order,
    StaleFence,
    Submission,
)

_LOGGER = logging.getLogger(__name__)

CANCEL = "cancel"


class JournalEntry(Struct, frozen=True, kw_only=True):
    """A submitted order with its reason and its result, for the state dump."""

    wall_ms: int
    order: str
    name: str
    version: str
    role: str
    source: str
    fence: int
    result: str
    reason: str


class OrderDispatcher:
    """Submit orders only while this process holds the order lease.

    The lease is checked before an order is created and again immediately before its first byte is
    sent. The second check also rejects a decision older than MAX_DECISION_AGE_MS.
    """

    __slots__ = (
        "_app",
        "_client",
        "_is_draining",
        "_late_answers",
        "_lease",
        "_orders_total",
        "journal",
    )

    def __init__(
        self,
        *,
        app: Application,
        client: OrderClient,
        lease: OrderLease,
        is_draining: Callable[[], bool],
    ) -> None:
        self._app = app
        self._client = client
        self._lease = lease
        self._is_draining = is_draining
        self.journal: deque[JournalEntry] = deque(maxlen=JOURNAL_ENTRIES)
        self._orders_total = app.metrics.counter(
            "gypsumrouter_orders_total", "Orders to the engine by kind and result"
        )
        self._late_answers = app.metrics.counter(
            "gypsumrouter_orders_unsure_total",
            "Orders that the engine answered after the right to give them had ended",
        )

    def find_block_reason(self) -> str:
        """Return why no order may be sent now, or an empty string."""
        return "this side is leaving" if self._is_draining() else self._lease.find_block_reason()

    async def async_submit(self, order: Order, *, reason: str) -> Submission:
        """Submit an order if this process may send one."""
        block_reason = self.find_block_reason()
        if block_reason:
            return NotSent(reason=block_reason)
        fence = self._lease.issue_fence()
        submission = await self._client.async_submit(
            order, fence=fence, find_block_reason=self._make_check()
        )
        if isinstance(submission, StaleFence):
            self._lease.handle_stale_fence(submission.highest)
        self._record(order, order.kind.value, fence, submission, reason)
        return submission

    async def async_cancel(self, name: str, version: str, *, reason: str) -> Submission:
        """Cancel a pending load if this process may send orders."""
        block_reason = self.find_block_reason()
        if block_reason:
            return NotSent(reason=block_reason)
        submission = await self._client.async_cancel(name, find_block_reason=self._make_check())
        self._record(None, CANCEL, 0, submission, reason, name=name, version=version)
        return submission

    def dump(self) -> list[dict[str, object]]:
        """Return the last orders, oldest first."""
        return [asdict(entry) for entry in self.journal]

    def _make_check(self) -> Callable[[], str]:
        decided_ms = self._app.clock.now_ms()

        def check() -> str:
            if self._app.clock.now_ms() - decided_ms > MAX_DECISION_AGE_MS:
                return "the decision has grown old: this process was held up"
            return self.find_block_reason()

        return check

    def _record(
        self,
        order: Order | None,
        kind: str,
        fence: int,
        submission: Submission,
        reason: str,
        *,
        name: str = "",
        version: str = "",
    ) -> None:
        result, detail = describe_submission(submission)
        self._orders_total.inc(labels=(("order", kind), ("result", result)))
        entry = JournalEntry(
            wall_ms=self._app.clock.wall_ms(),
            order=kind,
            name=name if order is None else order.name,
            version=version if order is None else order.version,
            role="" if order is None else order.role,
            source="" if order is None else order.source,
            fence=fence,
            result=result,
            reason=f"{reason}; {detail}" if detail else reason,
        )
        self.journal.append(entry)
        _LOGGER.info(
            "Order to the engine: %s %s %s, result: %s",
            kind,
            entry.name or entry.role,
            entry.version,
            result,
        )
        if not isinstance(submission, NotSent) and self._lease.find_block_reason():
            self._late_answers.inc()
            _LOGGER.warning(
                "The engine responded to the order %s %s after the order lease of this process had "
                "ended; another process may have sent orders in the meantime",
                kind,
                entry.name,
            )


def describe_submission(submission: Submission) -> tuple[str, str]:
    """Return the result of an order as a metric label, and the details."""
    match submission:
        case Done():
            return "done", ""
        case Accepted():
            return "begun", ""
        case StaleFence(highest=highest):
            return "refused", f"the engine knows the number {highest}"
        case NotSent(reason=reason):
            return "not_given", reason
        case Indeterminate(reason=reason):
            return "unclear", reason
