"""Load for benches and the demo: callers that verify each answer and count outcomes."""

from __future__ import annotations

import asyncio
import json
import random
import uuid
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, TypeVar

import aiohttp
from msgspec import Struct

from bench.accounts import Account
from bench.tally import Tally
from gypsumrouter.const import (
    HEADER_CHAT,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_PLACEMENT,
    MS_PER_S,
    PATH_CHAT,
    PATH_SERVICES,
)
from gypsumrouter.instances import Address
from gypsumrouter.outcomes import Executed
from gypsumrouter.standins.service import digest_body
from gypsumrouter.standins.tokens import Message, digest_prompt, make_text, render_prompt
from gypsumrouter.util.clock import Clock

HTTP_OK: Final = 200
DATA_PREFIX: Final = b"data: "
DONE: Final = b"[DONE]"
DEFAULT_TRIES: Final = 6
DEFAULT_TIMEOUT_S: Final = 60.0
MIN_PAUSE_MS: Final = 50
MAX_PAUSE_MS: Final = 2_000
CODE_CONNECTION: Final = "connection_lost"
CODE_TIMEOUT: Final = "timeout"
WORDS: Final = ("sweater", "fabric", "size", "school", "vessel", "valve", "weld", "gauge", "seam")
KEY_RANDOM_BITS: Final = 74

_T = TypeVar("_T")


class ChatShape(Struct, frozen=True, kw_only=True):
    """Parameters of a chat: sizes in bytes, times in milliseconds, answers in tokens."""

    turns: int = 4
    first_bytes: int = 2_000
    turn_bytes: int = 200
    min_tokens: int = 16
    max_tokens: int = 64
    think_ms: int = 200
    stream: bool = True


class CompleteAnswer(Struct, frozen=True, kw_only=True):
    """A complete answer that has not been verified yet."""

    text: str
    tokens: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    first_ms: float = 0.0
    answer_ms: float = 0.0


class NoAnswer(Struct, frozen=True, kw_only=True):
    """A failed try; `executed` is whether the request ran, as far as it is known."""

    code: str
    executed: Executed
    retry_after_ms: int = MIN_PAUSE_MS
    request_id: str = ""


class CallerContext(Struct, frozen=True, kw_only=True):
    """Session, routers, tally and limits that callers share."""

    session: aiohttp.ClientSession
    routers: Sequence[Address]
    tally: Tally
    clock: Clock
    tries: int = DEFAULT_TRIES
    timeout_s: float = DEFAULT_TIMEOUT_S


class Caller:
    """Base of callers: chooses a router, retries after a pause and counts outcomes."""

    def __init__(self, *, context: CallerContext, account: Account, seed: int) -> None:
        self.session = context.session
        self.routers = context.routers
        self.account = account
        self.tally = context.tally
        self.clock = context.clock
        self.random = random.Random(seed)
        self.tries = context.tries
        self.timeout = aiohttp.ClientTimeout(total=context.timeout_s)

    def choose_url(self, path: str) -> str:
        """Return the URL of a path at a random router, as a load balancer chooses one."""
        return f"http://{self.random.choice(self.routers)}{path}"

    async def async_try_until_answered(
        self, attempt: Callable[[], Awaitable[_T | NoAnswer]]
    ) -> _T | None:
        """Return the answer of the first successful try, None if all tries fail."""
        self.tally.requests += 1
        not_run = True
        for _ in range(self.tries):
            self.tally.tries += 1
            outcome = await attempt()
            if not isinstance(outcome, NoAnswer):
                return outcome
            self._count_no_answer(outcome)
            not_run = not_run and outcome.executed is Executed.NOT_RUN
            await self._async_pause(outcome)
        if not_run:
            self.tally.not_run += 1
        else:
            self.tally.lost += 1
        return None

    def _count_no_answer(self, outcome: NoAnswer) -> None:
        counts = self.tally.refused if outcome.executed is Executed.NOT_RUN else self.tally.unknown
        counts[outcome.code] += 1

    async def _async_pause(self, outcome: NoAnswer) -> None:
        pause_ms = min(max(outcome.retry_after_ms, MIN_PAUSE_MS), MAX_PAUSE_MS)
        await self.clock.async_sleep(round(pause_ms * self.random.uniform(1.0, 1.5)))


class ChatCaller(Caller):
    """A multi-turn chat; each turn sends the whole transcript and waits for the answer."""

    def __init__(
        self,
        *,
        context: CallerContext,
        account: Account,
        seed: int,
        chat: str,
        model: str,
        shape: ChatShape,
    ) -> None:
        super().__init__(context=context, account=account, seed=seed)
        self.chat = chat
        self.model = model
        self.shape = shape
        self.messages: list[Message] = []
        self.hint = ""

    async def async_run(self, *, until_ms: int | None = None) -> None:
        """Run the turns until one fails; no turn starts once the clock reaches `until_ms`."""
        for turn in range(self.shape.turns):
            if turn > 0:
                await self.clock.async_sleep(round(self.shape.think_ms * self._jitter()))
            if until_ms is not None and self.clock.now_ms() >= until_ms:
                return
            if not await self.async_turn():
                return

    async def async_turn(self) -> bool:
        """Run one turn; returns whether its answer was complete and correct."""
        size = self.shape.turn_bytes if self.messages else self.shape.first_bytes
        content = f"{self.chat} turn {len(self.messages)}: {self._make_words(size)}"
        self.messages.append(Message(role="user", content=content))
        tokens = self.random.randint(self.shape.min_tokens, self.shape.max_tokens)
        answer = await self.async_try_until_answered(lambda: self._async_try(tokens))
        return answer is not None and self._check(answer, tokens)

    def _check(self, answer: CompleteAnswer, tokens: int) -> bool:
        digest = digest_prompt(render_prompt(self.messages), model=self.model)
        expected = make_text(digest, tokens)
        if answer.text != expected or answer.tokens != tokens:
            self._count_wrong(answer.text, digest, expected)
            return False
        self.tally.whole += 1
        self.tally.tokens += tokens
        self.tally.prompt_tokens += answer.prompt_tokens
        self.tally.cached_tokens += answer.cached_tokens
        self.tally.record_times(
            self.account.caller_class, first_ms=answer.first_ms, answer_ms=answer.answer_ms
        )
        self.messages.append(Message(role="assistant", content=answer.text))
        return True

    def _count_wrong(self, text: str, digest: str, expected: str) -> None:
        if not text.startswith(digest) and not digest.startswith(text):
            self.tally.crossed += 1
        elif len(text) > len(expected):
            self.tally.doubled += 1
        else:
            self.tally.truncated += 1

    async def _async_try(self, tokens: int) -> CompleteAnswer | NoAnswer:
        payload = {
            "model": self.model,
            "messages": [
                {"role": message.role, "content": message.content} for message in self.messages
            ],
            "max_tokens": tokens,
            "stream": self.shape.stream,
        }
        headers = {**self.account.make_headers(), HEADER_CHAT: self.chat}
        if self.hint:
            headers[HEADER_PLACEMENT] = self.hint
        url = self.choose_url(PATH_CHAT)
        began_s = asyncio.get_running_loop().time()
        try:
            async with self.session.post(
                url, json=payload, headers=headers, timeout=self.timeout
            ) as response:
                if response.status != HTTP_OK:
                    return parse_error(await response.read(), status=response.status)
                self.hint = response.headers.get(HEADER_PLACEMENT, self.hint)
                if self.shape.stream:
                    return await self._async_read_events(response, began_s)
                return _parse_complete_answer(await response.read(), _get_elapsed_ms(began_s))
        except TimeoutError:
            return NoAnswer(code=CODE_TIMEOUT, executed=Executed.UNKNOWN)
        except (aiohttp.ClientError, OSError):
            return NoAnswer(code=CODE_CONNECTION, executed=Executed.UNKNOWN)

    async def _async_read_events(
        self, response: aiohttp.ClientResponse, began_s: float
    ) -> CompleteAnswer | NoAnswer:
        parts: list[str] = []
        usage: dict[str, Any] = {}
        first_ms = last_ms = 0.0
        async for line in response.content:
            if not line.startswith(DATA_PREFIX):
                continue
            data = line[len(DATA_PREFIX) :].strip()
            if data == DONE:
                return _make_complete_answer(
                    "".join(parts), usage, first_ms, _get_elapsed_ms(began_s)
                )
            event = json.loads(data)
            if "error" in event:
                return parse_error(data, status=response.status)
            usage = event.get("usage") or usage
            for choice in event.get("choices", ()):
                token = choice["delta"].get("content")
                if not token:
                    continue
                now_ms = _get_elapsed_ms(began_s)
                if parts:
                    self.tally.gap_ms.append(now_ms - last_ms)
                else:
                    first_ms = now_ms
                last_ms = now_ms
                parts.append(token)
        return NoAnswer(code=CODE_CONNECTION, executed=Executed.UNKNOWN)

    def _make_words(self, size: int) -> str:
        words: list[str] = []
        length = 0
        while length < size:
            word = f"{self.random.choice(WORDS)}-{self.random.randrange(10_000)}"
            words.append(word)
            length += len(word) + 1
        return " ".join(words)

    def _jitter(self) -> float:
        return self.random.uniform(0.5, 1.5)


class ServiceCaller(Caller):
    """At-most-once calls to a plain service, each with its own idempotency key."""

    def __init__(
        self, *, context: CallerContext, account: Account, seed: int, pool: str, path: str
    ) -> None:
        super().__init__(context=context, account=account, seed=seed)
        self.pool = pool
        self.path = path
        self.keys: list[str] = []

    async def async_run(
        self, *, calls: int, think_ms: int = 0, until_ms: int | None = None
    ) -> None:
        """Make calls in sequence; none starts once the clock reaches `until_ms`."""
        for _ in range(calls):
            if until_ms is not None and self.clock.now_ms() >= until_ms:
                return
            await self.async_call()
            await self.clock.async_sleep(round(think_ms * self.random.uniform(0.5, 1.5)))

    def make_key(self) -> str:
        """Return an idempotency key that contains the current time."""
        return make_uuid7(wall_ms=self.clock.wall_ms(), randomness=self.random)

    async def async_call(self) -> bool:
        """Make one call and retry it with the same key; returns whether its answer was correct."""
        key = self.make_key()
        self.keys.append(key)
        body = json.dumps({"call": key, "quantity": self.random.randrange(1, 50)}).encode()
        answer = await self.async_try_until_answered(lambda: self._async_try(key, body))
        return answer is not None and self._check(answer, key, body)

    def _check(self, answer: dict[str, Any], key: str, body: bytes) -> bool:
        if answer.get("key") != key or answer.get("body_digest") != digest_body(body):
            self.tally.crossed += 1
            return False
        if answer.get("execution") != 1:
            self.tally.doubled += 1
            return False
        self.tally.whole += 1
        return True

    async def _async_try(self, key: str, body: bytes) -> dict[str, Any] | NoAnswer:
        headers = {**self.account.make_headers(), HEADER_IDEMPOTENCY_KEY: key}
        headers["Content-Type"] = "application/json"
        url = self.choose_url(f"{PATH_SERVICES}{self.pool}{self.path}")
        try:
            async with self.session.post(
                url, data=body, headers=headers, timeout=self.timeout
            ) as response:
                answer = await response.read()
        except TimeoutError:
            return NoAnswer(code=CODE_TIMEOUT, executed=Executed.UNKNOWN)
        except (aiohttp.ClientError, OSError):
            return NoAnswer(code=CODE_CONNECTION, executed=Executed.UNKNOWN)
        if response.status != HTTP_OK:
            return parse_error(answer, status=response.status)
        parsed: dict[str, Any] = json.loads(answer)
        return parsed


def make_uuid7(*, wall_ms: int, randomness: random.Random) -> str:
    """Return a UUID of version 7, which contains its creation time."""
    random_bits = randomness.getrandbits(KEY_RANDOM_BITS)
    value = (
        wall_ms << 80
        | 0x7 << 76
        | (random_bits >> 62) << 64
        | 0b10 << 62
        | random_bits & (1 << 62) - 1
    )
    return str(uuid.UUID(int=value))


def parse_error(body: bytes, *, status: int) -> NoAnswer:
    """Parse an error response of the router; the outcome is unknown for any other body."""
    try:
        error = json.loads(body)["error"]
        return NoAnswer(
            code=str(error["code"]),
            executed=Executed(error["executed"]),
            retry_after_ms=int(error.get("retry_after_ms") or MIN_PAUSE_MS),
            request_id=str(error.get("request_id") or ""),
        )
    except (ValueError, KeyError, TypeError):
        return NoAnswer(code=f"status_{status}", executed=Executed.UNKNOWN)


def _parse_complete_answer(body: bytes, elapsed_ms: float) -> CompleteAnswer:
    answer = json.loads(body)
    text = answer["choices"][0]["message"]["content"]
    return _make_complete_answer(text, answer.get("usage") or {}, elapsed_ms, elapsed_ms)


def _make_complete_answer(
    text: str, usage: dict[str, Any], first_ms: float, answer_ms: float
) -> CompleteAnswer:
    details = usage.get("prompt_tokens_details") or {}
    return CompleteAnswer(
        text=text,
        tokens=int(usage.get("completion_tokens", 0)),
        prompt_tokens=int(usage.get("prompt_tokens", 0)),
        cached_tokens=int(details.get("cached_tokens", 0)),
        first_ms=first_ms,
        answer_ms=answer_ms,
    )


def _get_elapsed_ms(began_s: float) -> float:
    return (asyncio.get_running_loop().time() - began_s) * MS_PER_S
