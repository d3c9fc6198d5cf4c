"""Locations of chats that belong to this side and were last served by another one."""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct

from gypsumrouter.prefixes.const import MAX_MOVED_CHATS


class ChatLocation(Struct, frozen=True, kw_only=True):
    """The instance that last served a chat, and the length of the prompt."""

    name: str
    prompt_bytes: int


class MovedChats:
    """The last known location of each chat, by the digest of its name; a bounded LRU table."""

    __slots__ = ("_moved",)

    def __init__(self) -> None:
        self._moved: OrderedDict[int, ChatLocation] = OrderedDict()

    def __len__(self) -> int:
        return len(self._moved)

    def record(self, chat: int, moved: ChatLocation) -> None:
        """Record that a chat was served by another instance."""
        self._moved[chat] = moved
        self._moved.move_to_end(chat)
        if len(self._moved) > MAX_MOVED_CHATS:
            self._moved.popitem(last=False)

    def get(self, chat: int) -> ChatLocation | None:
        """Return the location of a chat; None if it is here or unknown."""
        return self._moved.get(chat)

    def forget(self, chat: int) -> None:
        """Remove a chat that was served here again."""
        self._moved.pop(chat, None)
