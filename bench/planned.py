"""Chats whose turns come at planned times, so that every policy meets the same arrivals."""

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

WORD_BYTES: Final = 8


class PlannedTurn(Struct, frozen=True, kw_only=True):
    """One turn: when it comes (ms from the begin), what the user says, tokens of the answer."""

    at_ms: int
    content: str
    tokens: int


class PlannedChat(Struct, frozen=True, kw_only=True):
    """One chat of one account, with all of its turns."""

    name: str
    account: Account
    turns: tuple[PlannedTurn, ...]


class TurnResult(Struct, kw_only=True):
    """What became of one turn; times in milliseconds from its arrival."""

    account: Account
    at_ms: int
    served: bool = False
    tries: int = 0
    refused: int = 0
    first_ms: float = 0.0
    answer_ms: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class Play(Struct, kw_only=True):
    """What the callers of one run share: when it began, and the results so far."""

    began_ms: int
    brings_hint: bool
    results: list[TurnResult] = field(default_factory=list)


class PlannedCaller(ChatCaller):
    """Plays one planned chat: a turn begins at its time, or as soon as the one before has ended.

    The answers are functions of the requests, so the transcript goes on as planned even where a
    turn got no answer.
    """

    def __init__(
        self,
        *,
        context: CallerContext,
        play: Play,
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
        self.play = play
        self.plan = chat

    async def async_play(self) -> None:
        """Play all turns."""
        for turn in self.plan.turns:
            due_ms = self.play.began_ms + turn.at_ms
            await self.clock.async_sleep(max(0, due_ms - self.clock.now_ms()))
            await self._async_play_turn(turn)

    async def _async_play_turn(self, turn: PlannedTurn) -> None:
        self.messages.append(Message(role="user", content=turn.content))
        result = TurnResult(account=self.account, at_ms=turn.at_ms)
        self.play.results.append(result)
        answer = await self.async_try_until_answered(lambda: self._async_count_try(turn, result))
        if answer is not None and self._check(answer, turn.tokens):
            result.served = True
            result.prompt_tokens = answer.prompt_tokens
            result.cached_tokens = answer.cached_tokens
            return
        self.messages.append(make_answer(self.messages, model=self.model, tokens=turn.tokens))

    async def _async_count_try(
        self, turn: PlannedTurn, result: TurnResult
    ) -> CompleteAnswer | NoAnswer:
        waited_ms = self.clock.now_ms() - self.play.began_ms - turn.at_ms
        if not self.play.brings_hint:
            self.hint = ""
        result.tries += 1
        outcome = await self._async_try(turn.tokens)
        if isinstance(outcome, NoAnswer):
            result.refused += 1
            return outcome
        result.first_ms = waited_ms + outcome.first_ms
        result.answer_ms = waited_ms + outcome.answer_ms
        return outcome


async def async_play_chats(
    chats: tuple[PlannedChat, ...], *, make_caller: Callable[[int, PlannedChat], PlannedCaller]
) -> None:
    """Play all chats to their end."""
    callers = [make_caller(number, chat) for number, chat in enumerate(chats)]
    await asyncio.gather(*(caller.async_play() for caller in callers))


def make_answer(messages: list[Message], *, model: str, tokens: int) -> Message:
    """Return the answer that a chat gets, whoever gives it."""
    digest = digest_prompt(render_prompt(messages), model=model)
    return Message(role="assistant", content=make_text(digest, tokens))


def write_words(randomness: random.Random, *, tokens: int) -> str:
    """Return text that costs about a number of tokens."""
    words = tokens * BYTES_PER_TOKEN // WORD_BYTES
    return " ".join(f"{randomness.getrandbits(28):07x}" for _ in range(max(1, words)))


def merge_outcomes(tally: Tally) -> dict[str, int]:
    """Return what must be nothing: answers lost or wrong, whatever the policy is."""
    return {
        "lost": tally.lost,
        "doubled": tally.doubled,
        "crossed": tally.crossed,
        "truncated": tally.truncated,
    }
