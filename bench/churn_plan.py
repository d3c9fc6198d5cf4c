"""Load of the churn bench, and the cache reuse of an ideal engine as an upper bound."""

from __future__ import annotations

import random
from typing import Final

from msgspec import Struct

from bench.accounts import choose_accounts
from bench.planned_chats import PlannedChat, PlannedTurn, make_answer, make_prompt_text
from gypsumrouter.const import MS_PER_S
from gypsumrouter.standins import Deployment
from gypsumrouter.standins.cache import CacheEventLog, PrefixCache
from gypsumrouter.standins.tokens import (
    Message,
    count_tokens,
    hash_blocks,
    render_prompt,
)
from gypsumrouter.util.clock import SystemClock

FIRST_TOKENS: Final = 800
TURN_TOKENS: Final = 48
ANSWER_TOKENS: Final = 40
STEP_MS: Final = 25.0


class ChurnTimes(Struct, frozen=True, kw_only=True):
    """Phases of a run in seconds: warm-up, churn, after the replacement of all routers."""

    warm_s: float
    churn_s: float
    after_s: float

    @property
    def end_ms(self) -> int:
        """Return the end of the run."""
        return round((self.warm_s + self.churn_s + self.after_s) * MS_PER_S)

    def is_churn(self, at_ms: int) -> bool:
        """Return whether a time is in the churn phase."""
        return self.warm_s * MS_PER_S <= at_ms < (self.warm_s + self.churn_s) * MS_PER_S

    def is_after(self, at_ms: int) -> bool:
        """Return whether a time is after the churn phase."""
        return at_ms >= (self.warm_s + self.churn_s) * MS_PER_S


def plan_chats(
    deployment: Deployment, *, times: ChurnTimes, period_s: float, mean_load: float, seed: int
) -> tuple[PlannedChat, ...]:
    """Return chats with a turn about every `period_s`, as many as the mean load requires."""
    hold_s = ANSWER_TOKENS * STEP_MS / MS_PER_S
    count = round(mean_load * deployment.engines * period_s / hold_s)
    accounts = choose_accounts(deployment, count=count, seed=seed, reports_share=0.0)
    randomness = random.Random(seed)
    chats: list[PlannedChat] = []
    for number, account in enumerate(accounts):
        turns: list[PlannedTurn] = []
        at_ms = randomness.uniform(0, period_s * MS_PER_S)
        while at_ms < times.end_ms:
            size = TURN_TOKENS if turns else FIRST_TOKENS
            content = make_prompt_text(randomness, tokens=size)
            turns.append(PlannedTurn(at_ms=round(at_ms), content=content, tokens=ANSWER_TOKENS))
            at_ms += period_s * MS_PER_S * randomness.uniform(0.7, 1.3)
        chats.append(PlannedChat(name=f"chat-{number}", account=account, turns=tuple(turns)))
    return tuple(chats)


def sum_chat_tokens(chats: tuple[PlannedChat, ...], *, model: str) -> int:
    """Return the total tokens of all complete transcripts."""
    total = 0
    for chat in chats:
        messages: list[Message] = []
        for turn in chat.turns:
            messages.append(Message(role="user", content=turn.content))
            messages.append(make_answer(messages, model=model, tokens=turn.tokens))
        total += count_tokens(render_prompt(messages))
    return total


class IdealReuse(Struct, frozen=True, kw_only=True):
    """Reuse of one engine with the memory of all engines, without churn."""

    churn: float
    after: float


def compute_ideal(
    chats: tuple[PlannedChat, ...], *, model: str, memory_tokens: int, times: ChurnTimes
) -> IdealReuse:
    """Return the reuse of one engine with all memory that serves the same arrivals."""
    events = CacheEventLog(clock=SystemClock(), lag_ms=0, loss=0.0, seed=0)
    cache = PrefixCache(capacity_tokens=memory_tokens, events=events)
    arrivals = sorted(
        ((turn, chat) for chat in chats for turn in chat.turns), key=lambda item: item[0].at_ms
    )
    transcripts: dict[str, list[Message]] = {chat.name: [] for chat in chats}
    counts = {True: [0, 0], False: [0, 0]}
    for turn, chat in arrivals:
        messages = transcripts[chat.name]
        messages.append(Message(role="user", content=turn.content))
        prompt = render_prompt(messages)
        prompt_tokens = count_tokens(prompt)
        cached = min(cache.find_prefix(hash_blocks(prompt, model=model)), prompt_tokens - 1)
        if times.is_churn(turn.at_ms) or times.is_after(turn.at_ms):
            part = counts[times.is_churn(turn.at_ms)]
            part[0] += cached
            part[1] += prompt_tokens
        messages.append(make_answer(messages, model=model, tokens=turn.tokens))
        blocks = hash_blocks(render_prompt(messages), model=model)
        cache.store(chat=chat.name, blocks=blocks)
    return IdealReuse(churn=_divide(counts[True]), after=_divide(counts[False]))


def _divide(part: list[int]) -> float:
    return part[0] / part[1] if part[1] else 0.0
