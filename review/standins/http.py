"""Minimal HTTP/1.1 for the stand-ins: reading of requests, and responses with a length."""

from __future__ import annotations

import asyncio
from urllib.parse import parse_qs, urlsplit


class Request:
    """One request with its complete body; header names are in lowercase."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def make_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def make_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a complete response with a length."""
    return make_head(status, {**headers, "Content-Length": str(len(body))}) + body
