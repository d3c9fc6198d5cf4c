"""Queue of the requests that wait for capacity of one service."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from functools import partial
from typing import Final

from gypsumrouter.contention.const import (
    INITIAL_RELEASE_INTERVAL_MS,
    MAX_ESTIMATES,
    MAX_ESTIMATES_PER_CLASS,
    RELEASE_EWMA_WEIGHT,
)
from gypsumrouter.contention.decision import Refuse, Send, decide, is_in_time
from gypsumrouter.contention.models import (
    Admitted,
    Claim,
    Expected,
    Refused,
    ServiceWork,
    Waiting,
    WorkspaceExcess,
)
from gypsumrouter.contention.order import WaitingOrder
from gypsumrouter.contention.release import GetWork, ReleaseCheck, make_demand
from gypsumrouter.contention.returns import Return
from gypsumrouter.outcomes import Reason


class ReleaseIntervals:
    """Moving averages of the time between two releases of a class, while requests of it wait.

    The less urgent classes are released more rarely than their places in the queue suggest, because
    more urgent requests that arrive later go before them.
    """

    __slots__ = ("_intervals_ms", "_last_ms")

    def __init__(self) -> None:
        self._intervals_ms: dict[str, float] = {}
        # Time of the last release, or since when requests of the class wait.
        self._last_ms: dict[str, int] = {}

    def note_waiting(self, name: str, *, now_ms: int) -> None:
        """Record that a request of a class begins to wait."""
        self._last_ms.setdefault(name, now_ms)

    def note_released(self, name: str, *, now_ms: int) -> None:
        """Record a release."""
        last_ms = self._last_ms.get(name)
        if last_ms is None:
            return
        mean_ms = self._intervals_ms.get(name, INITIAL_RELEASE_INTERVAL_MS)
        mean_ms += RELEASE_EWMA_WEIGHT * (now_ms - last_ms - mean_ms)
        self._intervals_ms[name] = mean_ms
        self._last_ms[name] = now_ms

    def stop(self, name: str) -> None:
        """Stop the measurement of a class that has no waiting request."""
        self._last_ms.pop(name, None)

    def get(self, name: str, *, now_ms: int) -> float:
        """Return the expected time between two releases of a class, in milliseconds.

        The time since the last release counts as an interval if it is longer than the average.
        """
        mean_ms = self._intervals_ms.get(name, INITIAL_RELEASE_INTERVAL_MS)
        since_ms = now_ms - self._last_ms.get(name, now_ms)
        return mean_ms + RELEASE_EWMA_WEIGHT * max(0.0, since_ms - mean_ms)

    def dump(self) -> dict[str, float]:
        """Return the intervals of all classes for the state dump."""
        return {name: round(value, 1) for name, value in sorted(self._intervals_ms.items())}


LATE_MESSAGE: Final = "The upstreams have more waiting than they serve in time"


class ContentionQueue:
    """Waiting requests of one service and their release.

    While others wait, a request is refused at once if it would probably not be released within its
    longest wait; one whose longest wait has passed is refused too. It would be late, and the work
    would make the others late that can still be in time. If no other waits, it is sent.

    A released request is sent as soon as its task runs. Until then the estimates do not include it,
    and no other request is released because it would be in time.
    """

    __slots__ = (
        "_by_class",
        "_check",
        "_get_work",
        "_intervals",
        "_max_waiting",
        "_order",
        "_rotation",
        "_shares",
        "_unsent",
        "waiting",
    )

    def __init__(
        self,
        *,
        max_waiting: int,
        shares: WorkspaceExcess,
        get_work: GetWork,
        by_urgency: bool = True,
    ) -> None:
        self._max_waiting = max_waiting
        self._shares = shares
        self._get_work = get_work
        self._order = WaitingOrder(by_urgency=by_urgency)
        self._check = ReleaseCheck()
        self._intervals = ReleaseIntervals()
        self._rotation = 0
        # Waiting requests of each class.
        self._by_class: Counter[str] = Counter()
        # Released requests whose tasks have not run yet.
        self._unsent: set[int] = set()
        self.waiting: dict[int, Waiting] = {}

    def decide(
        self, claim: Claim, *, sequence: int, now_ms: int, returned: Return
    ) -> Admitted | Refused | Waiting:
        """Return the decision for a request that arrives; a waiting one has been queued."""
        expected = claim.estimate()
        if expected is None:
            # The placement refuses the request and knows the reason.
            return Admitted()
        item = Waiting(
            claim=claim,
            sequence=sequence,
            arrived_ms=now_ms,
            expected=expected,
            returned=returned,
            future=asyncio.get_running_loop().create_future(),
        )
        ahead_ms = self._estimate_ahead_ms(item, now_ms)
        match decide(make_demand(item, now_ms, ahead_ms=ahead_ms), expected):
            case Refuse(reason=reason, room_in_ms=room_in_ms):
                self._check.note_waiting(item, now_ms=now_ms)
                return Refused(reason=reason, message=LATE_MESSAGE, room_in_ms=room_in_ms)
            case Send() if item.hold_until_ms <= now_ms:
                # It may not wait any longer, so the limits under contention do not apply.
                return Admitted()
            case Send() if self._check.may_send(item, expected, self._get_work, now_ms=now_ms):
                self._check.note_sent(now_ms=now_ms)
                return Admitted()
        self._check.note_waiting(item, now_ms=now_ms)
        return self._enqueue(item, expected, now_ms)

    def get_position(self, item: Waiting) -> int:
        """Return how many waiting requests go before a waiting one."""
        return self._order.get_position(item) if item.sequence in self.waiting else 0

    def get_share(self, work: ServiceWork) -> float:
        """Return the part of the capacity that this router may use, from 0 to 1."""
        return self._check.get_share(work)

    def remove(self, item: Waiting) -> None:
        """Remove a request whose caller has gone or that has got its decision."""
        self._unsent.discard(item.sequence)
        if self.waiting.pop(item.sequence, None) is None:
            return
        self._order.remove(item)
        name = item.claim.caller_class
        self._by_class[name] -= 1
        if not self._by_class[name]:
            del self._by_class[name]
            self._intervals.stop(name)

    def release(self, *, now_ms: int) -> None:
        """End the waits that have run out, and release the next request if there is capacity."""
        self._end_overdue(now_ms)
        if not self.waiting or self._unsent:
            return
        item = self._find_releasable(now_ms)
        if item is not None:
            self._admit(item, now_ms)

    def release_after_arrival(self, item: Waiting, *, now_ms: int) -> None:
        """Release the next request if an arrival shows that an upstream is in time.

        An arrival that would be late changes nothing for the others; the next check is that of the
        tick.
        """
        expected = Expected(backlog_ms=item.expected_ms - item.own_ms, own_ms=item.own_ms)
        if is_in_time(make_demand(item, now_ms), expected):
            self.release(now_ms=now_ms)

    def sample_demand(self, *, now_ms: int) -> None:
        """Keep the demand figures of the room share recent, also while nothing waits."""
        if self._check.is_sample_due(now_ms=now_ms):
            self._check.note_work(self._get_work(), now_ms=now_ms)

    def sort(self, *, now_ms: int) -> None:
        """Rank all waiting requests anew, with the excess of each workspace looked up once."""
        known: dict[str, float] = {}

        def get_excess(workspace: str) -> float:
            excess = known.get(workspace)
            if excess is None:
                excess = known[workspace] = self._shares.get_excess(workspace, now_ms=now_ms)
            return excess

        self._order.sort(self.waiting.values(), now_ms=now_ms, get_excess=get_excess)

    def refuse_all(self, reason: Reason, message: str) -> None:
        """Refuse all waiting requests."""
        for item in tuple(self.waiting.values()):
            self._refuse(item, reason, message)

    def dump(self) -> dict[str, object]:
        """Return the state for the dump."""
        work = self._get_work()
        return {
            "waiting": len(self.waiting),
            "share": round(self._check.get_share(work), 3),
            "own_work_ms": round(work.own_ms),
            "peers_work_ms": round(work.peers_ms),
            "release_intervals_ms": self._intervals.dump(),
        }

    def _enqueue(self, item: Waiting, expected: Expected, now_ms: int) -> Refused | Waiting:
        self.waiting[item.sequence] = item
        self._by_class[item.claim.caller_class] += 1
        self._order.add(
            item, now_ms=now_ms, get_excess=partial(self._shares.get_excess, now_ms=now_ms)
        )
        self._intervals.note_waiting(item.claim.caller_class, now_ms=now_ms)
        if len(self.waiting) <= self._max_waiting:
            return item
        victim = self._order.choose_victim()
        assert victim is not None
        excess = self._shares.get_excess(victim.claim.workspace, now_ms=now_ms)
        room_in_ms = int(self._estimate_ahead_ms(victim, now_ms))
        message = "Too many requests wait for the upstreams"
        refused = self._refuse(victim, Reason.QUEUE_FULL, message, room_in_ms, excess)
        return refused if victim is item else item

    def _end_overdue(self, now_ms: int) -> None:
        for item in tuple(self.waiting.values()):
            if item.future.done():
                self.remove(item)
            elif now_ms >= item.expires_ms:
                self._refuse(item, Reason.DEADLINE, "The deadline has passed")
            elif now_ms >= item.hold_until_ms:
                self._end_wait(item, now_ms)

    def _end_wait(self, item: Waiting, now_ms: int) -> None:
        """Send or refuse a request whose longest wait has passed."""
        expected = item.claim.estimate()
        decision = (
            Send() if expected is None else decide(make_demand(item, now_ms, hold_ms=0), expected)
        )
        if isinstance(decision, Refuse):
            self._refuse(item, decision.reason, LATE_MESSAGE, decision.room_in_ms)
        elif len(self.waiting) > 1 and expected is not None:
            room_in_ms = int(self._estimate_ahead_ms(item, now_ms))
            self._refuse(item, Reason.TARGET_UNATTAINABLE, LATE_MESSAGE, room_in_ms)
        else:
            self._admit(item, now_ms)

    def _find_releasable(self, now_ms: int) -> Waiting | None:
        """Return the first request in the order that may be sent now."""
        for item in self._list_candidates(now_ms):
            expected = item.claim.estimate()
            if expected is None or self._check.may_send(
                item, expected, self._get_work, now_ms=now_ms
            ):
                return item
            self._check.note_waiting(item, now_ms=now_ms)
        return None

    def _list_candidates(self, now_ms: int) -> Iterator[Waiting]:
        """Yield the requests to estimate, in order.

        Requests differ in what upstreams have cached for them, so a request may be in time although
        the ones before it are not. The last candidate is another one in each check.
        """
        if self._order.is_sort_due(now_ms=now_ms):
            self.sort(now_ms=now_ms)
        per_class: Counter[str] = Counter()
        found: list[Waiting] = []
        for item in self._order.iter_next(overdue=self._check.find_overdue()):
            per_class[item.claim.caller_class] += 1
            if per_class[item.claim.caller_class] <= MAX_ESTIMATES_PER_CLASS:
                found.append(item)
            if len(found) == MAX_ESTIMATES - 1:
                break
        yield from found
        self._rotation += 1
        others = tuple(self.waiting.values())
        yield others[self._rotation % len(others)]

    def _admit(self, item: Waiting, now_ms: int) -> None:
        name = item.claim.caller_class
        self._intervals.note_released(name, now_ms=now_ms)
        self._check.note_released(name, waiting=tuple(self._by_class), now_ms=now_ms)
        self.remove(item)
        if not item.future.done():
            self._unsent.add(item.sequence)
            item.future.set_result(Admitted(waited_ms=now_ms - item.arrived_ms))

    def _refuse(
        self,
        item: Waiting,
        reason: Reason,
        message: str,
        room_in_ms: int = 0,
        excess: float = 0.0,
    ) -> Refused:
        self.remove(item)
        refused = Refused(reason=reason, message=message, room_in_ms=room_in_ms, excess=excess)
        if not item.future.done():
            item.future.set_result(refused)
        return refused

    def _estimate_ahead_ms(self, item: Waiting, now_ms: int) -> float:
        """Return the time until a new request is released if others wait; 0 if none does."""
        if not self.waiting:
            return 0.0
        name = item.claim.caller_class
        return (1 + self._by_class[name]) * self._intervals.get(name, now_ms=now_ms)
