"""Bodies and prompt parts of the requests and responses of runner stand-ins."""

from __future__ import annotations

from collections.abc import Mapping

from gypsumrouter.platform import names


def make_body(text: str, *, size: int | None) -> bytes:
    """Return a text, repeated up to a size in bytes if there is one."""
    body = text.encode()
    return body if size is None else (body * (size // len(body) + 1))[:size]


def list_parts(headers: Mapping[str, str]) -> list[str]:
    """Return the ids of the parts of a request's prompt that other requests may share."""
    entries = headers.get(names.PREFIX_PARTS, "").split(",")[:-1]
    return [entry.partition(":")[0] for entry in entries]
