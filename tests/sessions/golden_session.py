"""Transcripts of HTTP sessions as plain text, with values that differ between runs masked."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import aiohttp

from gypsumrouter.fleet import Address

GOLDEN = Path(__file__).parent.parent / "golden"
MASKED_HEADERS = {"Date": "<date>", "Server": "<server>", "X-Gypsum-Placement": "<placement>"}
MAX_BODY_IN_TRANSCRIPT = 200
UUID = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}")
REQUEST_ID = re.compile(r"\b[0-9a-f]{16}-[0-9a-f]+\b")
ENGINE_RUN = re.compile(r"(?<=<request-)(\d+)>\.[0-9a-f]{8}\.[0-9a-f]+")
CREATED_TIME = re.compile(r'("created": ?)\d+')


class Recorder:
    """Sends requests to a router and records requests and responses."""

    def __init__(self, *, router: Address, session: aiohttp.ClientSession) -> None:
        self._origin = f"http://{router}"
        self._session = session
        self._lines: list[str] = []
        self._names: dict[str, str] = {}

    def add_comment(self, text: str) -> None:
        """Add a comment to the transcript."""
        self._lines += [f"# {text}", ""]

    async def async_send(
        self, method: str, path: str, *, headers: Mapping[str, str], body: bytes = b""
    ) -> aiohttp.ClientResponse:
        """Send a request and return the response once its head has arrived."""
        self._lines.append(f"> {method} {path}")
        self._lines += [f"> {name}: {value}" for name, value in headers.items()]
        if body:
            displayed = body if len(body) <= MAX_BODY_IN_TRANSCRIPT else b"(%d bytes)" % len(body)
            self._lines += [">", f"> {displayed.decode()}"]
        self._lines.append("")
        return await self._session.request(
            method, self._origin + path, headers=headers, data=body or None
        )

    async def async_read(self, response: aiohttp.ClientResponse) -> bytes:
        """Read the body of a response, record the response and return the body."""
        body = await response.read()
        self._lines.append(f"< {response.status} {response.reason}")
        for name, value in response.headers.items():
            self._lines.append(f"< {name}: {MASKED_HEADERS.get(name, value)}")
        self._lines.append("<")
        self._lines += [f"< {line}".rstrip() for line in body.decode().splitlines()]
        self._lines.append("")
        return body

    async def async_request(
        self, method: str, path: str, *, headers: Mapping[str, str], body: bytes = b""
    ) -> bytes:
        """Send a request and return the body of its response."""
        response = await self.async_send(method, path, headers=headers, body=body)
        return await self.async_read(response)

    def make_transcript(self) -> str:
        """Return the transcript, with ids numbered in the order of their appearance."""
        text = "\n".join(self._lines).rstrip() + "\n"
        text = UUID.sub(lambda match: self._get_placeholder("key", match[0]), text)
        text = REQUEST_ID.sub(lambda match: self._get_placeholder("request", match[0]), text)
        text = ENGINE_RUN.sub(r"\1>", text)
        return CREATED_TIME.sub(r"\1<time>", text)

    def _get_placeholder(self, kind: str, value: str) -> str:
        if value not in self._names:
            number = sum(1 for name in self._names.values() if name.startswith(f"<{kind}-")) + 1
            self._names[value] = f"<{kind}-{number}>"
        return self._names[value]


def check_golden(name: str, text: str, *, write: bool) -> None:
    """Compare a transcript with its golden file, or rewrite the file."""
    file = GOLDEN / f"{name}.txt"
    if write:
        file.write_text(text)
    assert file.exists(), f"{file.name} is missing: run pytest with --write-golden and review it"
    assert text == file.read_text()


def write_json(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()
