"""Callers that note every try, repeat through any router, hang up, and send twice at once."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from bench.accounts import Account
from bench.faults_journal import CODE_HUNG_UP, Journal, Request, RequestKind, Result, Try
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
PATIENCE_MS: Final = 12_000
MAX_TRIES: Final = 12
# An answer that can't change any more; callers ask again all the same, but not for long.
SETTLED_CODES: Final = frozenset(
    {
        Reason.EARLIER_RUN_UNKNOWN,
        Reason.KEY_EXPIRED,
        Reason.ANSWER_EVICTED,
        Reason.KEY_OWNER_TOO_RECENT,
    }
)
MAX_SETTLED_TRIES: Final = 3
SETTLED_PAUSE_MS: Final = 100
WORDLESS_CODES: Final = frozenset({CODE_CONNECTION, CODE_TIMEOUT, CODE_HUNG_UP})

HANG_UP_SHARE: Final = 0.03
HANG_UP_MAX_MS: Final = 150
TWICE_SHARE: Final = 0.1
TWICE_AFTER_MS: Final = 300

_T = TypeVar("_T")


class FaultAccount(Account, frozen=True, kw_only=True):
    """An account whose requests carry a deadline."""

    def make_headers(self) -> dict[str, str]:
        """Return the headers that say so."""
        # A data class with slots is made anew, so that super() without arguments has no cell.
        return {**Account.make_headers(self), HEADER_DEADLINE: str(DEADLINE_MS)}


class FaultContext(CallerContext, frozen=True, kw_only=True):
    """What these callers share besides."""

    journal: Journal


class NotingCaller(Caller):
    """A caller that notes what became of each try and of the request as a whole."""

    kind = RequestKind.CHAT
    sends_twice = False
    key = ""

    def __init__(self, *, context: FaultContext, account: Account, seed: int, **more: Any) -> None:
        super().__init__(context=context, account=account, seed=seed, **more)
        self.journal = context.journal
        self.habits = random.Random(seed)
        self._chosen: Address | None = None

    def choose_url(self, path: str) -> str:
        """Return a path at any router, and keep which one it is."""
        self._chosen = self.random.choice(self.routers)
        return f"http://{self._chosen}{path}"

    async def async_try_until_answered(
        self, attempt: Callable[[], Awaitable[_T | NoAnswer]]
    ) -> _T | None:
        """Return the answer of the first try that gets one, None after all patience."""
        self.tally.requests += 1
        began_ms = self.clock.wall_ms()
        outcomes: list[NoAnswer] = []
        answer: _T | None = None
        while answer is None and self._goes_on(outcomes, began_ms):
            if outcomes:
                await self._async_pause(outcomes[-1])
            outcome = await self._async_send(attempt)
            if isinstance(outcome, NoAnswer):
                self._note_no_answer(outcome)
                outcomes.append(outcome)
            else:
                answer = outcome
        self._note_request(outcomes, began_ms, whole=answer is not None)
        return answer

    def _goes_on(self, outcomes: list[NoAnswer], began_ms: int) -> bool:
        if sum(outcome.code in SETTLED_CODES for outcome in outcomes) >= MAX_SETTLED_TRIES:
            return False
        return len(outcomes) < MAX_TRIES and self.clock.wall_ms() - began_ms < PATIENCE_MS

    async def _async_pause(self, outcome: NoAnswer) -> None:
        """Wait as the answer asks for; one that can't change is asked for again at once."""
        if outcome.code in SETTLED_CODES:
            await self.clock.async_sleep(self.habits.randrange(SETTLED_PAUSE_MS))
            return
        await super()._async_pause(outcome)

    async def _async_send(self, attempt: Callable[[], Awaitable[_T | NoAnswer]]) -> _T | NoAnswer:
        first = asyncio.ensure_future(self._async_note_try(attempt))
        if not self.sends_twice or self.habits.random() >= TWICE_SHARE:
            return await first
        await asyncio.wait({first}, timeout=TWICE_AFTER_MS / MS_PER_S)
        if first.done():
            return first.result()
        second = asyncio.ensure_future(self._async_note_try(attempt))
        outcomes = await asyncio.gather(first, second)
        answers = [outcome for outcome in outcomes if not isinstance(outcome, NoAnswer)]
        if len(answers) == len(outcomes) and answers[0] != answers[1]:
            self.tally.crossed += 1
        return answers[0] if answers else outcomes[-1]

    async def _async_note_try(
        self, attempt: Callable[[], Awaitable[_T | NoAnswer]]
    ) -> _T | NoAnswer:
        self.tally.tries += 1
        began_ms = self.clock.wall_ms()
        task = asyncio.ensure_future(attempt())
        await asyncio.sleep(0)
        router = self._chosen
        outcome = await self._async_await(task)
        self._note_try(outcome, router, began_ms)
        return outcome

    async def _async_await(self, task: asyncio.Future[_T | NoAnswer]) -> _T | NoAnswer:
        if self.habits.random() >= HANG_UP_SHARE:
            return await task
        patience_s = self.habits.uniform(0, HANG_UP_MAX_MS) / MS_PER_S
        done, _ = await asyncio.wait({task}, timeout=patience_s)
        if done:
            return task.result()
        task.cancel()
        await asyncio.wait({task})
        return NoAnswer(code=CODE_HUNG_UP, executed=Executed.UNKNOWN)

    def _note_try(self, outcome: object, router: Address | None, began_ms: int) -> None:
        code, executed, request_id = str(Result.WHOLE), None, ""
        if isinstance(outcome, NoAnswer):
            code, request_id = outcome.code, outcome.request_id
            executed = None if code in WORDLESS_CODES else outcome.executed
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

    def _note_request(self, outcomes: list[NoAnswer], began_ms: int, *, whole: bool) -> None:
        result = Result.WHOLE if whole else _conclude(outcomes)
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


class FaultChatCaller(NotingCaller, ChatCaller):
    """A returning chat that notes its tries."""


class FaultCallCaller(NotingCaller, ServiceCaller):
    """Calls that must not be repeated, with keys that carry their time."""

    kind = RequestKind.CALL
    sends_twice = True

    def make_key(self) -> str:
        """Return the key of the next call and keep it for the notes."""
        self.key = super().make_key()
        return self.key


class FaultOpaqueCaller(FaultCallCaller):
    """Calls that must not be repeated, with keys that say nothing of their time."""

    kind = RequestKind.OPAQUE_CALL

    def make_key(self) -> str:
        """Return a random key."""
        self.key = str(uuid.UUID(int=self.random.getrandbits(128), version=4))
        return self.key


def _conclude(outcomes: list[NoAnswer]) -> Result:
    """Return what a caller knows in the end of a request without an answer."""
    if all(outcome.code in WORDLESS_CODES for outcome in outcomes):
        return Result.LOST
    if all(outcome.executed is Executed.NOT_RUN for outcome in outcomes):
        return Result.NOT_RUN
    return Result.UNKNOWN
