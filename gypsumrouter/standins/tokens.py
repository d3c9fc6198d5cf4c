"""The stand-in engine's tokens: what a prompt costs and what an answer says."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import xxhash
from msgspec import Struct

BYTES_PER_TOKEN: Final = 4
TOKENS_PER_BLOCK: Final = 16
BLOCK_BYTES: Final = BYTES_PER_TOKEN * TOKENS_PER_BLOCK


class Message(Struct, frozen=True, kw_only=True):
    """One turn of a chat."""

    role: str
    content: str


def render_prompt(messages: Sequence[Message]) -> bytes:
    """Return a chat as the bytes that the engine's tokens are taken from."""
    return "".join(f"<{message.role}>{message.content}\n" for message in messages).encode()


def count_tokens(prompt: bytes) -> int:
    """Return how many tokens a rendered prompt has."""
    return -(-len(prompt) // BYTES_PER_TOKEN)


def hash_blocks(prompt: bytes, *, model: str) -> tuple[int, ...]:
    """Return the hash of each whole block, chained so that it names the whole prefix."""
    hashes: list[int] = []
    last = xxhash.xxh3_64_intdigest(model.encode())
    for begin in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        last = xxhash.xxh3_64_intdigest(prompt[begin : begin + BLOCK_BYTES], seed=last)
        hashes.append(last)
    return tuple(hashes)


def digest_prompt(prompt: bytes, *, model: str) -> str:
    """Return the digest by which an answer names the request that it belongs to."""
    return xxhash.xxh3_64_hexdigest(prompt, seed=xxhash.xxh3_64_intdigest(model.encode()))


def make_token(digest: str, index: int) -> str:
    """Return one token of an answer: the digest of its request, then numbered words."""
    return digest if index == 0 else f" w{index}"


def make_text(digest: str, tokens: int) -> str:
    """Return the whole answer that a request with this digest gets."""
    return "".join(make_token(digest, index) for index in range(tokens))
