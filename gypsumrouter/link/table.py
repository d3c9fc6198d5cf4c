"""A server's exchanges by router incarnation, and its replies for exchanges that it discarded.

A request that may have run must never be reported as not run; see docs/decisions/0002-link.md.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

from gypsumrouter.link.answer import Answer
from gypsumrouter.link.codec import Resume
from gypsumrouter.link.connection import Connection
from gypsumrouter.link.const import (
    AGE_MARGIN_MS,
    CONFIRM_REQUEST_INTERVAL_MS,
    FLAG_CONFIRM_REQUEST,
    MAX_ROUTERS,
    ROUTER_RETENTION_MS,
    Kind,
)
from gypsumrouter.link.handshake import Accepted
from gypsumrouter.link.memory import AnswerMemory
from gypsumrouter.link.models import Hello
from gypsumrouter.outcomes import Failed, Failure, Reason, Refused
from gypsumrouter.util.clock import Clock

_NEVER_OPENED: Final = Refused(
    reason=Reason.UNREACHABLE, message="the request never arrived", elsewhere=True
)
_EVICTED: Final = Failed(reason=Reason.ANSWER_EVICTED, message="the answer is no longer held")
_ABANDONED: Final = Refused(
    reason=Reason.UNREACHABLE, message="the request arrived after it was given up", elsewhere=True
)


class RouterRecord:
    """Exchanges and state of one incarnation of a router.

    Requests with a sequence up to `highest_opened` may have run; requests up to `floor` are not
    accepted any more. Requests sent before `forgotten_before_ms` may belong to a removed record.
    """

    __slots__ = (
        "answers",
        "attempt",
        "challenged_ms",
        "connection",
        "floor",
        "forgotten_before_ms",
        "hello",
        "highest_opened",
        "last_seen_ms",
        "window_bytes",
    )

    def __init__(self, *, hello: Hello, forgotten_before_ms: int | None) -> None:
        self.hello = hello
        self.forgotten_before_ms = forgotten_before_ms
        self.answers: dict[int, Answer] = {}
        self.attempt = -1
        self.challenged_ms = 0
        self.connection: Connection | None = None
        self.floor = -1
        self.highest_opened = -1
        self.last_seen_ms = 0
        self.window_bytes = 0

    @property
    def busy(self) -> bool:
        """Return whether an exchange uses the open link."""
        return any(answer.detached_ms is None for answer in self.answers.values())

    @property
    def removable(self) -> bool:
        """Return whether the record has neither a link nor exchanges."""
        return self.connection is None and not self.answers

    def is_newer_than_removed(self, resume: Resume) -> bool:
        """Return whether the OPEN was sent after the last use of every removed record."""
        if self.forgotten_before_ms is None:
            return True
        return self.challenged_ms - resume.age_ms - AGE_MARGIN_MS > self.forgotten_before_ms


class ExchangeTable:
    """All exchanges of a server."""

    __slots__ = (
        "_clock",
        "_confirm_requested_ms",
        "_max_link_delay_ms",
        "_max_routers",
        "_on_released",
        "_resume_ms",
        "_retention_ms",
        "_routers",
        "_window_bytes",
        "forgotten_before_ms",
        "memory",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        resume_ms: int,
        connect_ms: int,
        window_bytes: int,
        answer_memory_bytes: int,
        on_released: Callable[[], None],
        retention_ms: int = ROUTER_RETENTION_MS,
        max_routers: int = MAX_ROUTERS,
    ) -> None:
        self.memory = AnswerMemory(limit_bytes=answer_memory_bytes, on_pressure=self._free_memory)
        self.forgotten_before_ms: int | None = None
        self._clock = clock
        self._on_released = on_released
        self._resume_ms = resume_ms
        self._max_link_delay_ms = 2 * (resume_ms + connect_ms)
        self._window_bytes = window_bytes
        self._retention_ms = retention_ms
        self._max_routers = max_routers
        self._routers: dict[int, RouterRecord] = {}
        self._confirm_requested_ms = clock.now_ms() - CONFIRM_REQUEST_INTERVAL_MS

    def routers(self) -> Iterator[RouterRecord]:
        """Iterate over all records."""
        return iter(tuple(self._routers.values()))

    def attach(self, connection: Connection, accepted: Accepted) -> RouterRecord | None:
        """Make `connection` the router's only link, and abort the one that it replaces.

        Returns None if the router has had a newer link, or if the table is full.
        """
        greeting = accepted.greeting
        record = self._get_record(greeting.hello)
        if record is None or greeting.attempt <= record.attempt:
            return None
        previous = record.connection
        if previous is not None:
            self.detach(record, previous)
            previous.abort()
        record.connection = connection
        record.attempt = greeting.attempt
        record.challenged_ms = accepted.challenged_ms
        record.window_bytes = min(self._window_bytes, greeting.window_bytes)
        record.last_seen_ms = self._clock.now_ms()
        return record

    def detach(self, record: RouterRecord, connection: Connection) -> None:
        """Record that a link is lost; its exchanges wait to be resumed over the next one."""
        if record.connection is not connection:
            return
        now_ms = self._clock.now_ms()
        record.connection = None
        record.last_seen_ms = now_ms
        for answer in record.answers.values():
            answer.detach(now_ms)

    def open(self, record: RouterRecord, sequence: int) -> Answer | Failure | None:
        """Start an exchange; return a failure if its request must not run any more.

        Returns None for a duplicate of a running exchange. A request that may have run fails; it is
        never refused.
        """
        if sequence in record.answers:
            return None
        if sequence <= record.highest_opened:
            return _EVICTED
        if sequence <= record.floor or record.connection is None:
            return _ABANDONED
        record.floor = sequence
        record.highest_opened = sequence
        answer = Answer(
            sequence=sequence,
            window_bytes=record.window_bytes,
            memory=self.memory,
            on_dropped=lambda dropped: self._release(record, dropped),
        )
        record.answers[sequence] = answer
        answer.attach(record.connection)
        return answer

    def resume(self, record: RouterRecord, sequence: int, resume: Resume) -> Answer | Failure:
        """Resume an exchange from the router's offset, or return a failure; raises FrameError."""
        answer = record.answers.get(sequence)
        if answer is not None and record.connection is not None:
            answer.attach(record.connection, offset=resume.offset, has_head=resume.has_head)
            return answer
        record.floor = max(record.floor, sequence)
        if sequence <= record.highest_opened or not record.is_newer_than_removed(resume):
            return _EVICTED
        return _NEVER_OPENED

    def _release(self, record: RouterRecord, answer: Answer) -> None:
        record.answers.pop(answer.sequence, None)
        self._on_released()

    def sweep(self) -> None:
        """Discard exchanges that were not resumed in time, and expired records."""
        now_ms = self._clock.now_ms()
        if self.memory.has_waiters:
            self._free_memory()
        for record in self.routers():
            self._sweep_answers(record, now_ms)
            if record.removable and now_ms - record.last_seen_ms >= self._retention_ms:
                self._remove_record(record)

    def _sweep_answers(self, record: RouterRecord, now_ms: int) -> None:
        for answer in tuple(record.answers.values()):
            if answer.detached_ms is None:
                continue
            if now_ms - answer.detached_ms >= self._resume_ms:
                answer.drop()

    def _get_record(self, hello: Hello) -> RouterRecord | None:
        record = self._routers.get(hello.incarnation)
        if record is not None:
            return record
        if len(self._routers) >= self._max_routers and not self._remove_oldest_record():
            return None
        record = RouterRecord(hello=hello, forgotten_before_ms=self.forgotten_before_ms)
        self._routers[hello.incarnation] = record
        return record

    def _remove_oldest_record(self) -> bool:
        """Remove the oldest idle record, unless late links of that router may still be accepted."""
        newest_ms = self._clock.now_ms() - self._max_link_delay_ms
        idle = [
            record
            for record in self._routers.values()
            if record.removable and record.last_seen_ms < newest_ms
        ]
        if not idle:
            return False
        self._remove_record(min(idle, key=lambda record: record.last_seen_ms))
        return True

    def _remove_record(self, record: RouterRecord) -> None:
        del self._routers[record.hello.incarnation]
        if self.forgotten_before_ms is None or record.last_seen_ms > self.forgotten_before_ms:
            self.forgotten_before_ms = record.last_seen_ms

    def _free_memory(self) -> None:
        """Discard the detached answer that lost its link first, or else request confirmations."""
        lost = [
            answer
            for record in self._routers.values()
            for answer in record.answers.values()
            if answer.detached_ms is not None and answer.held_bytes
        ]
        if lost:
            min(lost, key=lambda answer: answer.detached_ms or 0).drop()
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._confirm_requested_ms < CONFIRM_REQUEST_INTERVAL_MS:
            return
        self._confirm_requested_ms = now_ms
        for record in self._routers.values():
            if record.connection is not None:
                record.connection.send(Kind.HEARTBEAT, flags=FLAG_CONFIRM_REQUEST)
