"""Ids of chats, from the first messages of a conversation, and digests of their messages."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any, Final

import xxhash

from gypsumrouter.crashes import select_parts

ROLE_USER: Final = "user"
ROLE_ASSISTANT: Final = "assistant"


def derive_chat_id(*, messages: Sequence[Mapping[str, Any]], user: str) -> str:
    """Return an id that is the same for all requests of a conversation.

    It is a hash of the messages up to the first one of the user, which each request repeats.
    """
    prefix = _get_stable_prefix(messages)
    text = json.dumps([user, prefix], sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_128_hexdigest(text.encode())


def has_assistant_message(messages: Sequence[Mapping[str, Any]]) -> bool:
    """Return whether the conversation already contains an answer."""
    return any(message.get("role") == ROLE_ASSISTANT for message in messages)


def _get_stable_prefix(messages: Sequence[Mapping[str, Any]]) -> Sequence[Mapping[str, Any]]:
    for index, message in enumerate(messages):
        if message.get("role") == ROLE_USER:
            return messages[: index + 1]
    return messages


def digest_messages(messages: Sequence[dict[str, Any]]) -> tuple[int, ...]:
    """Return a digest of each message, the same in all chats that have it."""
    return select_parts(xxhash.xxh3_64_intdigest(json.dumps(item).encode()) for item in messages)
