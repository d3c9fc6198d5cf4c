"""Model engine of the placement replay: prefix cache, batched decoding, sequential prefill."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import Final

from msgspec import Struct

from gypsumrouter.forwarding.models import Prompt, PromptPart

# Published performance of the engines: prefill rate, duration of a decoding step and the share of
# each running request in it, and set-up time and rate of a cache transfer between engines.
PREFILL_TOKENS_PER_MS: Final = 81.9
STEP_MS: Final = 3.74
STEP_MS_PER_REQUEST: Final = 0.08
COPY_SETUP_MS: Final = 5.3
COPY_TOKENS_PER_MS: Final = 1_900
# From the end of prefill to the first event.
FIRST_EVENT_MS: Final = 41.0


class RequestTiming(Struct, frozen=True, kw_only=True):
    """Times of the first event and the end of a request, and its prefilled and copied parts.

    `queued_ms` is how long it waited for a slot.
    """

    first_ms: float
    end_ms: float
    prefilled: tuple[PromptPart, ...]
    copied_tokens: int
    queued_ms: float = 0.0

    @property
    def prefilled_tokens(self) -> int:
        """Return the tokens of the shared parts that were prefilled."""
        return sum(part.tokens for part in self.prefilled)


class Engine:
    """One engine; evicts the least recently used parts that no running request uses.

    With `slots`, it runs so many requests at once and the others wait; without, it runs all.
    """

    __slots__ = (
        "_cached",
        "_capacity",
        "_prefill_free_ms",
        "_requests_by_part",
        "_slot_ends_ms",
        "_slots",
        "_slowdown",
        "_used",
        "running",
    )

    def __init__(self, *, capacity: int, slowdown: float = 1.0, slots: int | None = None) -> None:
        self._slots = slots
        # Heap of the times at which the occupied slots become free.
        self._slot_ends_ms: list[float] = []
        self._slowdown = slowdown
        self._capacity = capacity
        self._cached: OrderedDict[int, int] = OrderedDict()
        self._requests_by_part: dict[int, int] = {}
        self._used = 0
        self._prefill_free_ms = 0.0
        self.running = 0

    def begin(self, prompt: Prompt, *, now_ms: float, source: Engine | None) -> RequestTiming:
        """Start a request; parts that `source` has cached are copied from it."""
        missing = self._list_missing(prompt)
        prefilled = missing
        if source is not None and missing:
            missing_there = source._list_missing(prompt)
            prefilled = missing[len(missing) - min(len(missing), len(missing_there)) :]
        copied = sum(part.tokens for part in missing) - sum(part.tokens for part in prefilled)
        prefill_tokens = sum(part.tokens for part in prefilled) + prompt.parts[-1].tokens
        copy_ms = COPY_SETUP_MS + copied / COPY_TOKENS_PER_MS if copied else 0.0
        prefill_ms = self._slowdown * prefill_tokens / PREFILL_TOKENS_PER_MS
        queued_ms = self._take_slot(now_ms) - now_ms
        begin_ms = max(now_ms + queued_ms + copy_ms, self._prefill_free_ms)
        self._prefill_free_ms = begin_ms + prefill_ms
        self.running += 1
        decoding = self.running if self._slots is None else min(self.running, self._slots)
        step_ms = self._slowdown * (STEP_MS + STEP_MS_PER_REQUEST * decoding)
        first_ms = self._prefill_free_ms + FIRST_EVENT_MS + step_ms
        end_ms = first_ms + prompt.max_output_tokens * step_ms
        if self._slots is not None:
            heapq.heappush(self._slot_ends_ms, end_ms)
        for part in prompt.parts:
            self._cache_part(part.part, part.tokens)
        self._evict()
        return RequestTiming(
            first_ms=first_ms,
            end_ms=end_ms,
            prefilled=prefilled,
            copied_tokens=copied,
            queued_ms=queued_ms,
        )

    def _take_slot(self, now_ms: float) -> float:
        """Return when the next request gets a slot; those before it keep their order."""
        if self._slots is None:
            return now_ms
        while self._slot_ends_ms and self._slot_ends_ms[0] <= now_ms:
            heapq.heappop(self._slot_ends_ms)
        if len(self._slot_ends_ms) < self._slots:
            return now_ms
        return heapq.heappop(self._slot_ends_ms)

    def end(self, prompt: Prompt) -> None:
        """Finish a request; its parts stay cached until they are evicted."""
        self.running -= 1
        for part in prompt.parts:
            self._requests_by_part[part.part] -= 1
            if not self._requests_by_part[part.part]:
                del self._requests_by_part[part.part]
        self._evict()

    @property
    def is_overcommitted(self) -> bool:
        """Return whether the prompts of the running requests exceed the memory."""
        return self._used > self._capacity

    def has_cached(self, part: int) -> bool:
        """Return whether a part is cached."""
        return part in self._cached

    def _list_missing(self, prompt: Prompt) -> tuple[PromptPart, ...]:
        """Return the shared parts starting with the first one that is not cached."""
        shared = prompt.shared
        for index, part in enumerate(shared):
            if part.part not in self._cached:
                return shared[index:]
        return ()

    def _cache_part(self, part: int, tokens: int) -> None:
        if part not in self._cached:
            self._used += tokens
        self._cached[part] = tokens
        self._cached.move_to_end(part)
        self._requests_by_part[part] = self._requests_by_part.get(part, 0) + 1

    def _evict(self) -> None:
        if self._used <= self._capacity:
            return
        for part in [part for part in self._cached if part not in self._requests_by_part]:
            self._used -= self._cached.pop(part)
            if self._used <= self._capacity:
                return
