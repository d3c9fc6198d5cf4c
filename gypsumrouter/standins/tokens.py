"""Deterministic tokenizer and completion text of the stand-in engine."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import xxhash
from msgspec import Struct

BYTES_PER_TOKEN: Final = 4
TOKENS_PER_BLOCK: Final = 16
BLOCK_BYTES: Final = BYTES_PER_TOKEN * TOKENS_PER_BLOCK


class Message(Struct, frozen=True, kw_only=True):
    """One message of a chat."""

    role: str
    content: str


def render_prompt(messages: Sequence[Message]) -> bytes:
    """Return the messages rendered as the prompt that is tokenized."""
    return "".join(f"<{message.role}>{message.content}\n" for message in messages).encode()


def count_tokens(prompt: bytes) -> int:
    """Return the number of tokens of a rendered prompt."""
    return -(-len(prompt) // BYTES_PER_TOKEN)


def hash_blocks(prompt: bytes, *, model: str) -> tuple[int, ...]:
    """Return the hash of each full block; each hash covers all blocks up to its own."""
    hashes: list[int] = []
    last = xxhash.xxh3_64_intdigest(model.encode())
    for begin in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        last = xxhash.xxh3_64_intdigest(prompt[begin : begin + BLOCK_BYTES], seed=last)
        hashes.append(last)
    return tuple(hashes)


def digest_prompt(prompt: bytes, *, model: str) -> str:
    """Return the digest of a prompt, which is the first token of its completion."""
    return xxhash.xxh3_64_hexdigest(prompt, seed=xxhash.xxh3_64_intdigest(model.encode()))


def make_token(digest: str, index: int) -> str:
    """Return a token of a completion: the prompt digest first, then numbered words."""
    return digest if index == 0 else f" w{index}"


def make_text(digest: str, tokens: int) -> str:
    """Return the full completion of a prompt with this digest."""
    return "".join(make_token(digest, index) for index in range(tokens))
