"""Callers that record every try, retry through any router, disconnect and send duplicates."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from bench.accounts import Account
from bench.faults_journal import CODE_DISCONNECTED, Journal, Request, RequestKind, Result, Try
from bench.load import (
    CODE_CONNECTION,
    CODE_TIMEOUT,
    Caller,
    CallerContext,
    ChatCaller,
    NoAnswer,
    ServiceCaller,
)
from gypsumrouter.const import HEADER_DEADLINE, MS_PER_S
from gypsumrouter.instances import Address
from gypsumrouter.outcomes import Executed, Reason

DEADLINE_MS: Final = 6_000
TIMEOUT_S: Final = 9.0
RETRY_TIMEOUT_MS: Final = 12_000
MAX_TRIES: Final = 12
# Outcomes that a retry cannot change; callers still retry a few times.
FINAL_CODES: Final = frozenset(
    {
        Reason.EARLIER_RUN_UNKNOWN,
        Reason.KEY_EXPIRED,
        Reason.ANSWER_EVICTED,
        Reason.KEY_OWNER_TOO_RECENT,
    }
)
MAX_FINAL_TRIES: Final = 3
FINAL_PAUSE_MS: Final = 100
NO_RESPONSE_CODES: Final = frozenset({CODE_CONNECTION, CODE_TIMEOUT, CODE_DISCONNECTED})

DISCONNECT_SHARE: Final = 0.03
DISCONNECT_MAX_MS: Final = 150
DUPLICATE_SHARE: Final = 0.1
DUPLICATE_AFTER_MS: Final = 300

_T = TypeVar("_T")


class FaultAccount(Account, frozen=True, kw_only=True):
    """An account whose requests carry a deadline."""

    def make_headers(self) -> dict[str, str]:
        """Return the account headers and the deadline."""
        # super() without arguments does not work in a class that its metaclass recreates.
        return {**Account.make_headers(self), HEADER_DEADLINE: str(DEADLINE_MS)}


class FaultContext(CallerContext, frozen=True, kw_only=True):
    """A caller context with a journal."""

    journal: Journal


class RecordingCaller(Caller):
    """A caller that records the outcome of each try and of each request."""

    kind = RequestKind.CHAT
    sends_duplicates = False
    key = ""

    def __init__(
        self, *, context: FaultContext, account: Account, seed: int, **options: Any
    ) -> None:
        super().__init__(context=context, account=account, seed=seed, **options)
        self.journal = context.journal
        self.fault_random = random.Random(seed)
        self._chosen_router: Address | None = None

    def choose_url(self, path: str) -> str:
        """Return the URL of a path at a random router and remember that router."""
        self._chosen_router = self.random.choice(self.routers)
        return f"http://{self._chosen_router}{path}"

    async def async_try_until_answered(
        self, attempt: Callable[[], Awaitable[_T | NoAnswer]]
    ) -> _T | None:
        """Return the first answer, None after too many tries or too much time."""
        self.tally.requests += 1
        began_ms = self.clock.wall_ms()
        outcomes: list[NoAnswer] = []
        answer: _T | None = None
        while answer is None and self._may_retry(outcomes, began_ms):
            if outcomes:
                await self._async_pause(outcomes[-1])
            outcome = await self._async_send(attempt)
            if isinstance(outcome, NoAnswer):
                self._count_no_answer(outcome)
                outcomes.append(outcome)
            else:
                answer = outcome
        self._record_request(outcomes, began_ms, complete=answer is not None)
        return answer

    def _may_retry(self, outcomes: list[NoAnswer], began_ms: int) -> bool:
        if sum(outcome.code in FINAL_CODES for outcome in outcomes) >= MAX_FINAL_TRIES:
            return False
        return len(outcomes) < MAX_TRIES and self.clock.wall_ms() - began_ms < RETRY_TIMEOUT_MS

    async def _async_pause(self, outcome: NoAnswer) -> None:
        """Wait for the retry time of the outcome; retry final outcomes after a short pause."""
        if outcome.code in FINAL_CODES:
            await self.clock.async_sleep(self.fault_random.randrange(FINAL_PAUSE_MS))
            return
        await super()._async_pause(outcome)

    async def _async_send(self, attempt: Callable[[], Awaitable[_T | NoAnswer]]) -> _T | NoAnswer:
        first = asyncio.ensure_future(self._async_record_try(attempt))
        if not self.sends_duplicates or self.fault_random.random() >= DUPLICATE_SHARE:
            return await first
        await asyncio.wait({first}, timeout=DUPLICATE_AFTER_MS / MS_PER_S)
        if first.done():
            return first.result()
        second = asyncio.ensure_future(self._async_record_try(attempt))
        outcomes = await asyncio.gather(first, second)
        answers = [outcome for outcome in outcomes if not isinstance(outcome, NoAnswer)]
        if len(answers) == len(outcomes) and answers[0] != answers[1]:
            self.tally.crossed += 1
        return answers[0] if answers else outcomes[-1]

    async def _async_record_try(
        self, attempt: Callable[[], Awaitable[_T | NoAnswer]]
    ) -> _T | NoAnswer:
        self.tally.tries += 1
        began_ms = self.clock.wall_ms()
        task = asyncio.ensure_future(attempt())
        await asyncio.sleep(0)
        router = self._chosen_router
        outcome = await self._async_await_or_disconnect(task)
        self._record_try(outcome, router, began_ms)
        return outcome

    async def _async_await_or_disconnect(
        self, task: asyncio.Future[_T | NoAnswer]
    ) -> _T | NoAnswer:
        if self.fault_random.random() >= DISCONNECT_SHARE:
            return await task
        timeout_s = self.fault_random.uniform(0, DISCONNECT_MAX_MS) / MS_PER_S
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        if done:
            return task.result()
        task.cancel()
        await asyncio.wait({task})
        return NoAnswer(code=CODE_DISCONNECTED, executed=Executed.UNKNOWN)

    def _record_try(self, outcome: object, router: Address | None, began_ms: int) -> None:
        code, executed, request_id = str(Result.WHOLE), None, ""
        if isinstance(outcome, NoAnswer):
            code, request_id = outcome.code, outcome.request_id
            executed = None if code in NO_RESPONSE_CODES else outcome.executed
        self.journal.tries.append(
            Try(
                router=router,
                began_ms=began_ms,
                ended_ms=self.clock.wall_ms(),
                code=code,
                executed=executed,
                request_id=request_id,
                key=self.key,
            )
        )

    def _record_request(self, outcomes: list[NoAnswer], began_ms: int, *, complete: bool) -> None:
        result = Result.WHOLE if complete else _classify(outcomes)
        self.tally.not_run += result is Result.NOT_RUN
        self.tally.lost += result is Result.LOST
        self.journal.requests.append(
            Request(
                kind=self.kind,
                result=result,
                began_ms=began_ms,
                ended_ms=self.clock.wall_ms(),
                code=outcomes[-1].code if outcomes else "",
            )
        )


class FaultChatCaller(RecordingCaller, ChatCaller):
    """A multi-turn chat that records its tries."""


class FaultCallCaller(RecordingCaller, ServiceCaller):
    """At-most-once calls with idempotency keys that contain their time."""

    kind = RequestKind.CALL
    sends_duplicates = True

    def make_key(self) -> str:
        """Return the key of the next call and remember it for the journal."""
        self.key = super().make_key()
        return self.key


class FaultOpaqueCaller(FaultCallCaller):
    """At-most-once calls with random idempotency keys."""

    kind = RequestKind.OPAQUE_CALL

    def make_key(self) -> str:
        """Return a random key."""
        self.key = str(uuid.UUID(int=self.random.getrandbits(128), version=4))
        return self.key


def _classify(outcomes: list[NoAnswer]) -> Result:
    """Return the result of a request whose tries all failed."""
    if all(outcome.code in NO_RESPONSE_CODES for outcome in outcomes):
        return Result.LOST
    if all(outcome.executed is Executed.NOT_RUN for outcome in outcomes):
        return Result.NOT_RUN
    return Result.UNKNOWN
