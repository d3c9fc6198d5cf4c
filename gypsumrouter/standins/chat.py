"""Parsing of chat-completions requests and encoding of responses for the stand-in engine."""

from __future__ import annotations

import json
from typing import Any, Final

from msgspec import Struct

from gypsumrouter.const import MS_PER_S
from gypsumrouter.standins.models import EngineSettings
from gypsumrouter.standins.tokens import (
    Message,
    count_tokens,
    digest_prompt,
    hash_blocks,
    make_text,
    make_token,
    render_prompt,
)

TYPE_JSON: Final = "application/json"
TYPE_EVENTS: Final = "text/event-stream"
DONE_EVENT: Final = b"data: [DONE]\n\n"
ROLE_ASSISTANT: Final = "assistant"


class InvalidRequest(Struct, frozen=True, kw_only=True):
    """Why a request is invalid; `param` names the invalid field."""

    param: str
    message: str


class ChatRequest(Struct, frozen=True, kw_only=True):
    """A parsed request; `tokens` is the length of its completion."""

    model: str
    messages: tuple[Message, ...]
    prompt: bytes
    tokens: int
    stream: bool
    include_usage: bool
    has_token_limit: bool
    cache_key: str

    @property
    def prompt_tokens(self) -> int:
        """Return the number of prompt tokens."""
        return count_tokens(self.prompt)

    @property
    def digest(self) -> str:
        """Return the prompt digest, the first token of the completion."""
        return digest_prompt(self.prompt, model=self.model)

    @property
    def text(self) -> str:
        """Return the text of the full completion."""
        return make_text(self.digest, self.tokens)

    def hash_prompt(self) -> tuple[int, ...]:
        """Return the block hashes of the prompt."""
        return hash_blocks(self.prompt, model=self.model)

    def hash_conversation(self) -> tuple[int, ...]:
        """Return the block hashes of prompt and completion, as in the next turn's prompt."""
        completion = Message(role=ROLE_ASSISTANT, content=self.text)
        return hash_blocks(self.prompt + render_prompt((completion,)), model=self.model)


def parse_chat(body: bytes, settings: EngineSettings) -> ChatRequest | InvalidRequest:
    """Parse a request body."""
    try:
        payload = json.loads(body)
    except ValueError:
        return InvalidRequest(param="", message="the body is not JSON")
    if not isinstance(payload, dict):
        return InvalidRequest(param="", message="the body must be an object")
    model = payload.get("model")
    if not isinstance(model, str):
        return InvalidRequest(param="model", message="a model is needed")
    messages = _parse_messages(payload.get("messages"))
    if messages is None:
        return InvalidRequest(param="messages", message="a list of messages is needed")
    limit = payload.get("max_completion_tokens", payload.get("max_tokens"))
    if limit is not None and (not isinstance(limit, int) or limit < 1):
        return InvalidRequest(param="max_tokens", message="a whole number above 0 is needed")
    options = payload.get("stream_options")
    return ChatRequest(
        model=model,
        messages=messages,
        prompt=render_prompt(messages),
        tokens=min(limit or settings.default_tokens, settings.max_tokens),
        stream=payload.get("stream") is True,
        include_usage=isinstance(options, dict) and options.get("include_usage") is True,
        has_token_limit=limit is not None,
        cache_key=str(payload.get("prompt_cache_key") or ""),
    )


class ChatEncoder:
    """Encodes one response, as server-sent events or as one JSON body."""

    __slots__ = ("_created_s", "_event_prefix", "_id", "_request", "_token_digest")

    def __init__(self, *, request: ChatRequest, request_id: str, wall_ms: int) -> None:
        self._request = request
        self._id = f"chatcmpl-{request_id}"
        self._created_s = wall_ms // MS_PER_S
        self._token_digest = request.digest
        head = self._make_head("chat.completion.chunk")
        self._event_prefix = f'data: {json.dumps(head)[:-1]}, "choices": [{{"index": 0, "delta": '

    def make_event(self, index: int) -> bytes:
        """Return the event with one token."""
        token = make_token(self._token_digest, index)
        role = f'"role": "{ROLE_ASSISTANT}", ' if index == 0 else ""
        delta = f'{{{role}"content": "{token}"}}'
        return f'{self._event_prefix}{delta}, "finish_reason": null}}]}}\n\n'.encode()

    def make_last_events(self, *, cached_tokens: int) -> bytes:
        """Return the events after the last token: finish reason, usage and `[DONE]`."""
        choice = {"index": 0, "delta": {}, "finish_reason": self._get_finish_reason()}
        usage = self._make_usage(cached_tokens)
        head = self._make_head("chat.completion.chunk")
        if not self._request.include_usage:
            return _make_event({**head, "choices": [choice], "usage": usage}) + DONE_EVENT
        last_choice = _make_event({**head, "choices": [choice]})
        return last_choice + _make_event({**head, "choices": [], "usage": usage}) + DONE_EVENT

    def make_body(self, *, cached_tokens: int) -> bytes:
        """Return the body of a response that is not streamed."""
        message = {"role": ROLE_ASSISTANT, "content": self._request.text}
        choice = {"index": 0, "message": message, "finish_reason": self._get_finish_reason()}
        head = self._make_head("chat.completion")
        usage = self._make_usage(cached_tokens)
        return json.dumps({**head, "choices": [choice], "usage": usage}).encode()

    def _make_head(self, kind: str) -> dict[str, Any]:
        return {
            "id": self._id,
            "object": kind,
            "created": self._created_s,
            "model": self._request.model,
        }

    def _get_finish_reason(self) -> str:
        return "length" if self._request.has_token_limit else "stop"

    def _make_usage(self, cached_tokens: int) -> dict[str, object]:
        prompt_tokens = self._request.prompt_tokens
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self._request.tokens,
            "total_tokens": prompt_tokens + self._request.tokens,
            "prompt_tokens_details": {"cached_tokens": cached_tokens},
        }


def _make_event(payload: dict[str, object]) -> bytes:
    return f"data: {json.dumps(payload)}\n\n".encode()


def _parse_messages(value: object) -> tuple[Message, ...] | None:
    if not isinstance(value, list) or not value:
        return None
    messages: list[Message] = []
    for entry in value:
        if not isinstance(entry, dict) or not isinstance(entry.get("role"), str):
            return None
        content = _join_content(entry.get("content"))
        if content is None:
            return None
        messages.append(Message(role=entry["role"], content=content))
    return tuple(messages)


def _join_content(content: object) -> str | None:
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return None
    return "".join(str(part.get("text", "")) for part in content if isinstance(part, dict))
