"""Estimate of the prefixes that the local engine holds."""

from __future__ import annotations

from collections import OrderedDict

from gypsumrouter.prefixes.const import MAX_HELD_CHATS


class HeldPrefixes:
    """Prompt bytes of the chats that were last served here, by the engine's name of the chat."""

    __slots__ = ("_bytes",)

    def __init__(self) -> None:
        self._bytes: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._bytes)

    def get(self, chat: str) -> int:
        """Return how many prompt bytes of a chat are held."""
        return self._bytes.get(chat, 0)

    def record(self, chat: str, prompt_bytes: int) -> None:
        """Record that a prompt was served."""
        self._bytes[chat] = prompt_bytes
        self._bytes.move_to_end(chat)
        if len(self._bytes) > MAX_HELD_CHATS:
            self._bytes.popitem(last=False)

    def record_eviction(self, chat: str, evicted_bytes: int) -> None:
        """Record that the engine has evicted a part of a chat."""
        held = self._bytes.get(chat)
        if held is None:
            return
        if held <= evicted_bytes:
            del self._bytes[chat]
        else:
            self._bytes[chat] = held - evicted_bytes

    def clear(self) -> None:
        """Clear all entries after a restart of the engine."""
        self._bytes.clear()

    def list_newest(self, limit: int) -> list[str]:
        """Return the most recently served chats, newest first."""
        newest = reversed(self._bytes)
        return [chat for chat, _ in zip(newest, range(limit), strict=False)]
