"""Orders one by one: checked, numbered, given and written down."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import asdict

from gypsumrouter.core import Application
from gypsumrouter.orders.const import DECISION_MS, JOURNAL_KEPT
from gypsumrouter.orders.engine import OrderClient
from gypsumrouter.orders.lease import OrderLease
from gypsumrouter.orders.models import (
    Begun,
    Done,
    Given,
    NotGiven,
    OldFence,
    Order,
    Unclear,
)

_LOGGER = logging.getLogger(__name__)

CANCEL = "cancel"


class JournalEntry(Struct, frozen=True, kw_only=True):
    """One order as operators see it: why it was given and what the engine said."""

    wall_ms: int
    order: str
    name: str
    version: str
    role: str
    source: str
    fence: int
    result: str
    reason: str


class OrderGiver:
    """Give orders only while this process has the right to, by its lease.

    The right is checked before an order is made and again right before its first byte, where the
    decision may not be older than a moment either.
    """

    __slots__ = ("_app", "_client", "_given", "_is_leaving", "_lease", "_unsure", "journal")

    def __init__(
        self,
        *,
        app: Application,
        client: OrderClient,
        lease: OrderLease,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._app = app
        self._client = client
        self._lease = lease
        self._is_leaving = is_leaving
        self.journal: deque[JournalEntry] = deque(maxlen=JOURNAL_KEPT)
        self._given = app.metrics.counter(
            "gypsumrouter_orders_total", "Orders to the engine by kind and result"
        )
        self._unsure = app.metrics.counter(
            "gypsumrouter_orders_unsure_total",
            "Orders that the engine answered after the right to give them had ended",
        )

    def find_obstacle(self) -> str:
        """Return why no order may be given now, empty where one may."""
        return "this side is leaving" if self._is_leaving() else self._lease.find_obstacle()

    async def async_give(self, order: Order, *, reason: str) -> Given:
        """Give an order, unless this process may not."""
        obstacle = self.find_obstacle()
        if obstacle:
            return NotGiven(reason=obstacle)
        fence = self._lease.take_fence()
        given = await self._client.async_give(order, fence=fence, find_obstacle=self._make_check())
        if isinstance(given, OldFence):
            self._lease.note_refused(given.highest)
        self._note(order, order.kind.value, fence, given, reason)
        return given

    async def async_cancel(self, name: str, version: str, *, reason: str) -> Given:
        """Cancel a pending load, unless this process may not."""
        obstacle = self.find_obstacle()
        if obstacle:
            return NotGiven(reason=obstacle)
        given = await self._client.async_cancel(name, find_obstacle=self._make_check())
        self._note(None, CANCEL, 0, given, reason, name=name, version=version)
        return given

    def dump(self) -> list[dict[str, object]]:
        """Return the last orders, oldest first."""
        return [asdict(entry) for entry in self.journal]

    def _make_check(self) -> Callable[[], str]:
        decided_ms = self._app.clock.now_ms()

        def check() -> str:
            if self._app.clock.now_ms() - decided_ms > DECISION_MS:
                return "the decision has grown old: this process was held up"
            return self.find_obstacle()

        return check

    def _note(
        self,
        order: Order | None,
        kind: str,
        fence: int,
        given: Given,
        reason: str,
        *,
        name: str = "",
        version: str = "",
    ) -> None:
        result, detail = describe_given(given)
        self._given.inc(labels=(("order", kind), ("result", result)))
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
        _LOGGER.info("Order %s %s %s: %s", kind, entry.name or entry.role, entry.version, result)
        if not isinstance(given, NotGiven) and self._lease.find_obstacle():
            self._unsure.inc()
            _LOGGER.warning("Order %s %s was answered after the lease", kind, entry.name)


def describe_given(given: Given) -> tuple[str, str]:
    """Return a word for what became of an order, and what more there is to say."""
    match given:
        case Done():
            return "done", ""
        case Begun():
            return "begun", ""
        case OldFence(highest=highest):
            return "refused", f"the engine knows the number {highest}"
        case NotGiven(reason=reason):
            return "not_given", reason
        case Unclear(reason=reason):
            return "unclear", reason
