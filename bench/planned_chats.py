"""Chats whose turns start at planned times, so that every policy gets the same arrivals."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

from msgspec import Struct, field

from bench.accounts import Account
from bench.load import CallerContext, ChatCaller, ChatShape, CompleteAnswer, NoAnswer
from bench.tally import Tally
from gypsumrouter.standins.tokens import (
    BYTES_PER_TOKEN,
    Message,
    digest_prompt,
    make_text,
    render_prompt,
)

BYTES_PER_WORD: Final = 8


class PlannedTurn(Struct, frozen=True, kw_only=True):
    """One turn: start in ms from the start of the run, user message, output tokens."""

    at_ms: int
    content: str
    tokens: int


class PlannedChat(Struct, frozen=True, kw_only=True):
    """One chat of an account with all its turns."""

    name: str
    account: Account
    turns: tuple[PlannedTurn, ...]


class TurnResult(Struct, kw_only=True):
    """Outcome of one turn; times in milliseconds from its planned start."""

    account: Account
    at_ms: int
    served: bool = False
    tries: int = 0
    refused: int = 0
    first_ms: float = 0.0
    answer_ms: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class ChatRun(Struct, kw_only=True):
    """State shared by the callers of a run: start time, options, and the results so far."""

    began_ms: int
    sends_hint: bool
    results: list[TurnResult] = field(default_factory=list)


class PlannedCaller(ChatCaller):
    """Runs one planned chat; a turn starts at its time, or when the one before has ended.

    Answers are deterministic functions of requests, so the transcript stays as planned even if a
    turn failed.
    """

    def __init__(
        self,
        *,
        context: CallerContext,
        run: ChatRun,
        chat: PlannedChat,
        model: str,
        seed: int,
        stream: bool,
    ) -> None:
        super().__init__(
            context=context,
            account=chat.account,
            seed=seed,
            chat=chat.name,
            model=model,
            shape=ChatShape(stream=stream),
        )
        self.run = run
        self.plan = chat

    async def async_run_chat(self) -> None:
        """Run all turns."""
        for turn in self.plan.turns:
            due_ms = self.run.began_ms + turn.at_ms
            await self.clock.async_sleep(max(0, due_ms - self.clock.now_ms()))
            await self._async_run_turn(turn)

    async def _async_run_turn(self, turn: PlannedTurn) -> None:
        self.messages.append(Message(role="user", content=turn.content))
        result = TurnResult(account=self.account, at_ms=turn.at_ms)
        self.run.results.append(result)
        answer = await self.async_try_until_answered(lambda: self._async_attempt(turn, result))
        if answer is not None and self._check(answer, turn.tokens):
            result.served = True
            result.prompt_tokens = answer.prompt_tokens
            result.cached_tokens = answer.cached_tokens
            return
        self.messages.append(make_answer(self.messages, model=self.model, tokens=turn.tokens))

    async def _async_attempt(
        self, turn: PlannedTurn, result: TurnResult
    ) -> CompleteAnswer | NoAnswer:
        waited_ms = self.clock.now_ms() - self.run.began_ms - turn.at_ms
        if not self.run.sends_hint:
            self.hint = ""
        result.tries += 1
        outcome = await self._async_try(turn.tokens)
        if isinstance(outcome, NoAnswer):
            result.refused += 1
            return outcome
        result.first_ms = waited_ms + outcome.first_ms
        result.answer_ms = waited_ms + outcome.answer_ms
        return outcome


async def async_run_chats(
    chats: tuple[PlannedChat, ...], *, make_caller: Callable[[int, PlannedChat], PlannedCaller]
) -> None:
    """Run all chats until they end."""
    callers = [make_caller(number, chat) for number, chat in enumerate(chats)]
    await asyncio.gather(*(caller.async_run_chat() for caller in callers))


def make_answer(messages: list[Message], *, model: str, tokens: int) -> Message:
    """Return the answer to a transcript; every engine returns the same one."""
    digest = digest_prompt(render_prompt(messages), model=model)
    return Message(role="assistant", content=make_text(digest, tokens))


def make_prompt_text(randomness: random.Random, *, tokens: int) -> str:
    """Return random text of about `tokens` tokens."""
    words = tokens * BYTES_PER_TOKEN // BYTES_PER_WORD
    return " ".join(f"{randomness.getrandbits(28):07x}" for _ in range(max(1, words)))


def count_violations(tally: Tally) -> dict[str, int]:
    """Return counts of lost or wrong answers, which must be 0 under every policy."""
    return {
        "lost": tally.lost,
        "doubled": tally.doubled,
        "crossed": tally.crossed,
        "truncated": tally.truncated,
    }
