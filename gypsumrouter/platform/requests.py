"""Decodes callers' requests into typed values and encodes requests to upstreams."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from aiohttp import web

from gypsumrouter.forwarding.models import (
    MAX_DEADLINE_MS,
    MAX_PROMPT_TOKENS,
    AttemptOptions,
    CallerRequest,
    MalformedHead,
    Prompt,
    PromptPart,
)
from gypsumrouter.helpers.http_headers import HOP_BY_HOP, list_connection_headers
from gypsumrouter.helpers.numbers import read_decimal, read_hexadecimal, read_number, read_numbers
from gypsumrouter.platform import names

MAX_PRIORITY: Final = 9
DROPPED_HEADERS: Final = (
    HOP_BY_HOP
    | names.SYSTEM_HEADERS
    | {
        "content-length",
        "expect",
        "host",
        names.API_KEY.lower(),
        names.DEADLINE.lower(),
        names.LAST_EVENT_ID.lower(),
        names.REQUEST_ID.lower(),
    }
)


def read_request(*, request: web.BaseRequest, body: bytes) -> CallerRequest | MalformedHead:
    """Decode a caller's request, or tell what is invalid in its request line or headers."""
    headers = request.headers
    request_id = headers.get(names.REQUEST_ID, "")
    if not request_id or not request.raw_path.startswith("/"):
        return MalformedHead(field="head", message="The head is malformed")
    deadline_ms = read_decimal(headers.get(names.DEADLINE), cap=MAX_DEADLINE_MS)
    if deadline_ms is None and names.DEADLINE in headers:
        return MalformedHead(field=names.DEADLINE, message="A deadline must be a plain number")
    dropped = DROPPED_HEADERS | list_connection_headers(headers.get("Connection", ""))
    return CallerRequest(
        request_id=request_id,
        method=request.method,
        host=headers.get("Host", "").rpartition(":")[0] or headers.get("Host", ""),
        path=request.raw_path,
        api_key=headers.get(names.API_KEY),
        deadline_ms=None if deadline_ms is None else int(deadline_ms),
        prompt=_read_prompt(headers),
        last_event_id=headers.get(names.LAST_EVENT_ID),
        headers=tuple((n, v) for n, v in headers.items() if n.lower() not in dropped),
        body=body,
        resumes=headers.get(names.RESUMES),
    )


def write_request(*, request: CallerRequest, options: AttemptOptions) -> bytes:
    """Encode a request for an upstream."""
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"Host: {request.host}",
        f"{names.REQUEST_ID}: {request.request_id}",
        f"{names.DEADLINE}: {options.deadline_ms}",
        f"{names.EXPECT_INSTANCE}: {options.upstream}",
    ]
    if options.workspace:
        lines.append(f"{names.TENANT}: {options.workspace}")
    if options.priority is not None:
        lines.append(f"{names.PRIORITY}: {min(MAX_PRIORITY, max(0, options.priority))}")
    if options.last_event_id is not None:
        lines.append(f"{names.LAST_EVENT_ID}: {options.last_event_id}")
    if options.fetch_from is not None:
        lines.append(f"{names.FETCH_FROM}: {options.fetch_from}")
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    if request.body or request.method in {"POST", "PUT", "PATCH"}:
        lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("utf-8", "surrogateescape") + request.body


def _read_prompt(headers: Mapping[str, str]) -> Prompt | None:
    """Return the prompt that the headers describe; None if they are missing or invalid."""
    usage = headers.get(names.TOKEN_USAGE)
    listed = headers.get(names.PREFIX_PARTS)
    if usage is None or listed is None:
        return None
    # The output tokens may be missing.
    counts = read_numbers(usage.removesuffix(","), largest=MAX_PROMPT_TOKENS)
    read = [_read_part(entry) for entry in listed.split(",") if entry.strip()]
    parts = tuple(part for part in read if part is not None)
    if counts is None or len(counts) > 2 or len(parts) < len(read):
        return None
    return Prompt(
        model=headers.get(names.MODEL, ""),
        parts=parts,
        input_tokens=counts[0],
        max_output_tokens=sum(counts[1:]),
    )


def _read_part(entry: str) -> PromptPart | None:
    part, _, tokens = entry.strip().partition(":")
    number = read_hexadecimal(part, mask=names.MASK_64)
    count = read_number(tokens.strip(), largest=MAX_PROMPT_TOKENS)
    return None if number is None or count is None else PromptPart(part=number, tokens=count)
