"""Where chats of this side's own order were served last, when it was not here."""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct

from gypsumrouter.prefixes.const import MAX_MOVED_CHATS


class ChatLocation(Struct, frozen=True, kw_only=True):
    """The instance that served a chat elsewhere, and how long its prompt was."""

    name: str
    prompt_bytes: int


class MovedChats:
    """The last news of each chat, by the digest of its name; bounded, the oldest go."""

    __slots__ = ("_moved",)

    def __init__(self) -> None:
        self._moved: OrderedDict[int, ChatLocation] = OrderedDict()

    def __len__(self) -> int:
        return len(self._moved)

    def record(self, chat: int, moved: ChatLocation) -> None:
        """Take in that a chat was served elsewhere."""
        self._moved[chat] = moved
        self._moved.move_to_end(chat)
        if len(self._moved) > MAX_MOVED_CHATS:
            self._moved.popitem(last=False)

    def get(self, chat: int) -> ChatLocation | None:
        """Return who served a chat last, None if it was this side or nothing is known."""
        return self._moved.get(chat)

    def forget(self, chat: int) -> None:
        """Forget a chat that was served here again."""
        self._moved.pop(chat, None)
