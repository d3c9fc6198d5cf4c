"""The stand-in engine's prefix cache: a bounded LRU cache of prompt blocks."""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from enum import StrEnum
from typing import Final

from msgspec import Struct

from gypsumrouter.standins.tokens import TOKENS_PER_BLOCK
from gypsumrouter.util.clock import Clock

MAX_EVENTS: Final = 4_096
MAX_EVENTS_PER_RESPONSE: Final = 1_024
MAX_CHATS: Final = 65_536


class CacheEventKind(StrEnum):
    """The kind of a change of the cached tokens of a chat."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(Struct, frozen=True, kw_only=True):
    """One change of the cache, reported from `visible_ms` (monotonic) on."""

    seq: int
    kind: CacheEventKind
    chat: str
    tokens: int
    visible_ms: int


class CacheEventLog:
    """Cache events, reported with a delay; lost events leave gaps in the sequence numbers."""

    __slots__ = ("_clock", "_events", "_lag_ms", "_loss", "_random", "_seq")

    def __init__(self, *, clock: Clock, lag_ms: int, loss: float, seed: int) -> None:
        self._clock = clock
        self._lag_ms = lag_ms
        self._loss = loss
        self._random = random.Random(seed)
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._seq = 0

    def record(self, *, kind: CacheEventKind, chat: str, tokens: int) -> None:
        """Add an event, or drop it at the configured loss rate."""
        self._seq += 1
        if self._random.random() < self._loss:
            return
        visible_ms = self._clock.now_ms() + self._lag_ms
        event = CacheEvent(
            seq=self._seq, kind=kind, chat=chat, tokens=tokens, visible_ms=visible_ms
        )
        self._events.append(event)

    def list_after(self, seq: int) -> tuple[CacheEvent, ...]:
        """Return the reportable events after a sequence number, oldest first."""
        now_ms = self._clock.now_ms()
        found = [event for event in self._events if event.seq > seq and event.visible_ms <= now_ms]
        return tuple(found[:MAX_EVENTS_PER_RESPONSE])


class PrefixCache:
    """Cached prompt blocks, each with the chat that used it last."""

    __slots__ = ("_blocks", "_capacity", "_chats", "events")

    def __init__(self, *, capacity_tokens: int, events: CacheEventLog) -> None:
        self._capacity = capacity_tokens // TOKENS_PER_BLOCK
        self._blocks: OrderedDict[int, str] = OrderedDict()
        self._chats: OrderedDict[str, tuple[int, ...]] = OrderedDict()
        self.events = events

    @property
    def tokens(self) -> int:
        """Return the number of cached tokens."""
        return len(self._blocks) * TOKENS_PER_BLOCK

    def find_prefix(self, blocks: tuple[int, ...]) -> int:
        """Return the length of the longest cached prefix in tokens and mark it as used."""
        cached = self._count_cached(blocks)
        for block in reversed(blocks[:cached]):
            self._blocks.move_to_end(block)
        return cached * TOKENS_PER_BLOCK

    def store(self, *, chat: str, blocks: tuple[int, ...]) -> None:
        """Cache the blocks of a chat's prompt, at most as many as fit into the cache."""
        kept = blocks[: self._capacity]
        added = 0
        for block in reversed(kept):
            added += block not in self._blocks
            self._blocks[block] = chat
            self._blocks.move_to_end(block)
        self._record_chat(chat, kept)
        if added:
            tokens = len(kept) * TOKENS_PER_BLOCK
            self.events.record(kind=CacheEventKind.STORED, chat=chat, tokens=tokens)
        self._evict()

    def export(self, chat: str) -> tuple[int, ...]:
        """Return the longest cached prefix of a chat."""
        blocks = self._chats.get(chat, ())
        return blocks[: self._count_cached(blocks)]

    def clear(self) -> None:
        """Remove all blocks, as a restart does."""
        self._blocks.clear()
        self._chats.clear()

    def _count_cached(self, blocks: tuple[int, ...]) -> int:
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return index
        return len(blocks)

    def _record_chat(self, chat: str, blocks: tuple[int, ...]) -> None:
        self._chats[chat] = blocks
        self._chats.move_to_end(chat)
        if len(self._chats) > MAX_CHATS:
            self._chats.popitem(last=False)

    def _evict(self) -> None:
        evicted: Counter[str] = Counter()
        while len(self._blocks) > self._capacity:
            _, chat = self._blocks.popitem(last=False)
            evicted[chat] += TOKENS_PER_BLOCK
        for chat, tokens in evicted.items():
            self.events.record(kind=CacheEventKind.EVICTED, chat=chat, tokens=tokens)
