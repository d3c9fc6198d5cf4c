"""Validation of requests; each rejection names the invalid field or header."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final
from urllib.parse import unquote

import msgspec

from gypsumrouter.callers import Rejection, reject, reject_field
from gypsumrouter.const import (
    HEADER_CHAT,
    HEADER_CLASS,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_PLACEMENT,
)
from gypsumrouter.gateway.const import (
    EXCLUDED_HEADERS,
    MAX_CHAT_ID_LENGTH,
    MAX_DEADLINE_MS,
    MAX_HINT_LENGTH,
    MAX_IDEMPOTENCY_KEY_LENGTH,
    MAX_OUTPUT_TOKENS,
    MAX_PATH_LENGTH,
    ROUTER_HEADER_PREFIX,
)
from gypsumrouter.gateway.models import CallerHead, ChatBody
from gypsumrouter.helpers.numbers import read_number
from gypsumrouter.link.models import Headers
from gypsumrouter.outcomes import Reason

FIELDS_MAX_TOKENS: Final = ("max_completion_tokens", "max_tokens")
DOT_SEGMENTS: Final = frozenset({".", ".."})


def check_chat_body(body: bytes) -> ChatBody | Rejection:
    """Validate a chat-completions body and return the fields that the gateway uses."""
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        return reject_field("body", f"Not valid JSON: {error}")
    if not isinstance(document, dict):
        return reject_field("body", "The body must be a JSON object")
    rejection = _check_chat_fields(document)
    if rejection is not None:
        return rejection
    return ChatBody(
        document=document,
        model=document["model"],
        messages=document["messages"],
        stream=document.get("stream") or False,
        max_output_tokens=_get_max_output_tokens(document),
        user=document.get("user") or "",
        chat=_get_chat_id(document),
    )


def _check_chat_fields(document: dict[str, Any]) -> Rejection | None:
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return reject_field("model", "`model` must be the name of a model")
    if not isinstance(document.get("stream"), bool | None):
        return reject_field("stream", "`stream` must be true or false")
    if not isinstance(document.get("user"), str | None):
        return reject_field("user", "`user` must be a string")
    return (
        _check_messages(document.get("messages"))
        or _check_max_tokens(document)
        or _check_metadata(document.get("metadata"))
    )


def _check_messages(messages: object) -> Rejection | None:
    if not isinstance(messages, list) or not messages:
        return reject_field("messages", "`messages` must be a list of at least one message")
    for index, message in enumerate(messages):
        rejection = _check_message(f"messages[{index}]", message)
        if rejection is not None:
            return rejection
    return None


def _check_message(path: str, message: object) -> Rejection | None:
    if not isinstance(message, dict):
        return reject_field(path, "A message must be a JSON object")
    role = message.get("role")
    if not isinstance(role, str) or not role:
        return reject_field(f"{path}.role", "`role` must be a string")
    content = message.get("content")
    if isinstance(content, str | list):
        return None
    if content is None and (message.get("tool_calls") or message.get("function_call")):
        return None
    return reject_field(f"{path}.content", "`content` must be a string or a list of parts")


def _check_max_tokens(document: dict[str, Any]) -> Rejection | None:
    for name in FIELDS_MAX_TOKENS:
        value = document.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int):
            return reject_field(name, f"`{name}` must be a whole number")
        if not 1 <= value <= MAX_OUTPUT_TOKENS:
            return reject_field(name, f"`{name}` must be between 1 and {MAX_OUTPUT_TOKENS}")
    return None


def _check_metadata(metadata: object) -> Rejection | None:
    if not isinstance(metadata, dict | None):
        return reject_field("metadata", "`metadata` must be a JSON object")
    chat = (metadata or {}).get("chat_id")
    if chat is None or (isinstance(chat, str) and _is_printable_ascii(chat, MAX_CHAT_ID_LENGTH)):
        return None
    return reject_field("metadata.chat_id", "`chat_id` must be a short string of plain characters")


def _get_max_output_tokens(document: dict[str, Any]) -> int:
    for name in FIELDS_MAX_TOKENS:
        value = document.get(name)
        if isinstance(value, int):
            return value
    return 0


def _get_chat_id(document: dict[str, Any]) -> str:
    metadata = document.get("metadata") or {}
    chat_id = metadata.get("chat_id") or ""
    return str(chat_id)


def parse_head(headers: Iterable[tuple[str, str]]) -> CallerHead | Rejection:
    """Return the values of the router's own headers, and the headers to forward."""
    values: dict[str, str] = {}
    forwarded: list[tuple[str, str]] = []
    for name, value in headers:
        if not _is_encodable(value) or not _is_encodable(name):
            return reject_field(_to_ascii(name), "Headers must be valid UTF-8")
        lower = name.lower()
        values.setdefault(lower, value)
        if lower not in EXCLUDED_HEADERS and not lower.startswith(ROUTER_HEADER_PREFIX):
            forwarded.append((name, value))
    return _parse_head(values, drop_connection_headers(forwarded, values.get("connection", "")))


def drop_connection_headers(headers: Iterable[tuple[str, str]], connection: str) -> Headers:
    """Remove the headers that the `Connection` header names."""
    excluded = {name.strip().lower() for name in connection.split(",")}
    return tuple((name, value) for name, value in headers if name.lower() not in excluded)


def _parse_head(values: dict[str, str], forwarded: Headers) -> CallerHead | Rejection:
    chat = values.get(HEADER_CHAT.lower(), "")
    if not _is_printable_ascii(chat, MAX_CHAT_ID_LENGTH):
        return reject_field(HEADER_CHAT, "A chat id must be short and of plain characters")
    hint = values.get(HEADER_PLACEMENT.lower(), "")
    key = values.get(HEADER_IDEMPOTENCY_KEY.lower(), "")
    if not _is_printable_ascii(key, MAX_IDEMPOTENCY_KEY_LENGTH):
        message = f"A key has at most {MAX_IDEMPOTENCY_KEY_LENGTH} plain characters"
        return reject(Reason.KEY_INVALID, message, param=HEADER_IDEMPOTENCY_KEY)
    deadline = values.get(HEADER_DEADLINE.lower())
    deadline_ms = read_number(deadline, smallest=1, largest=MAX_DEADLINE_MS)
    if deadline is not None and deadline_ms is None:
        message = f"A deadline must be a whole number between 1 and {MAX_DEADLINE_MS}"
        return reject_field(HEADER_DEADLINE, message)
    return CallerHead(
        caller_class=values.get(HEADER_CLASS.lower()),
        deadline_ms=deadline_ms,
        chat=chat,
        # An invalid hint is ignored, because hints only affect placement.
        hint=hint if _is_printable_ascii(hint, MAX_HINT_LENGTH) else "",
        idempotency_key=key,
        headers=forwarded,
    )


def check_service_path(raw_path: str) -> str | Rejection:
    """Return the decoded path of a service call, which rules and call patterns are matched with.

    Rejects paths that an upstream could normalise to another path, because these could bypass a
    pattern.
    """
    decoded = unquote(raw_path)
    if len(raw_path) > MAX_PATH_LENGTH:
        return reject_field("path", "The path is too long")
    if not raw_path.isascii() or not decoded.isprintable() or "\ufffd" in decoded:
        return reject_field("path", "The path must be percent-encoded UTF-8")
    segments = decoded.split("/")
    if DOT_SEGMENTS.intersection(segments) or "" in segments[1:-1] or "\\" in decoded:
        return reject_field("path", "The path must not hold empty or dot segments")
    return decoded


def _is_printable_ascii(text: str, max_length: int) -> bool:
    return len(text) <= max_length and text.isascii() and text.isprintable()


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _to_ascii(text: str) -> str:
    return text.encode("ascii", "backslashreplace").decode()
