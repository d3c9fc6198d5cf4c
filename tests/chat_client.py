"""HTTP requests that tests send as callers."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from gypsumrouter.const import HEADER_CHAT, PATH_CHAT
from gypsumrouter.fleet import Address

DONE = b"data: [DONE]"


def make_headers(key: str, **extra: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}", **extra}


def make_chat(
    *, model: str = "chat-model", content: str = "May vessel 7 be closed?", **extra: Any
) -> dict[str, Any]:
    return {"model": model, "messages": [{"role": "user", "content": content}], **extra}


@asynccontextmanager
async def open_stream(
    router: Address, *, key: str, tokens: int, content: str = "May vessel 7 be closed?"
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Open a streamed chat and yield the response once its head has arrived."""
    timeout = aiohttp.ClientTimeout(total=60)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.post(
            f"http://{router}{PATH_CHAT}",
            json=make_chat(content=content, stream=True, max_tokens=tokens),
            headers=make_headers(key, **{HEADER_CHAT: "vessel-7"}),
        ) as response,
    ):
        yield response


def count_tokens(events: bytes) -> int:
    """Return the number of events of a stream that contain a token."""
    count = 0
    for line in events.splitlines():
        if not line.startswith(b"data: ") or line == DONE:
            continue
        choices = json.loads(line[len(b"data: ") :]).get("choices", [])
        count += sum(1 for choice in choices if choice["delta"].get("content"))
    return count
