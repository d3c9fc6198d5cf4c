"""JSON requests and responses of the stand-ins."""

from __future__ import annotations

import json
from typing import Any, Final

from aiohttp import web

MAX_BODY_BYTES: Final = 8 * 1024 * 1024
RETRY_AFTER_S: Final = "1"


def make_json_response(payload: object, *, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.json_response(payload, status=status)


def make_error_response(*, status: int, code: str, message: str = "") -> web.Response:
    """Return an error response in the format of the chat-completions API."""
    error = {"message": message or code, "type": "standin_error", "code": code, "param": None}
    headers = {"Retry-After": RETRY_AFTER_S} if status in (429, 503) else None
    return web.json_response({"error": error}, status=status, headers=headers)


async def async_read_json_object(request: web.Request) -> dict[str, Any]:
    """Return the JSON object in the body; raises HTTPBadRequest if it is anything else."""
    try:
        payload = json.loads(await request.read())
    except ValueError:
        payload = None
    if not isinstance(payload, dict):
        raise web.HTTPBadRequest(text="the body must be a JSON object")
    return payload


def get_query_int(request: web.Request, name: str, default: int) -> int:
    """Return an integer query parameter; raises HTTPBadRequest if it is not an integer."""
    text = request.query.get(name)
    if text is None:
        return default
    try:
        return int(text)
    except ValueError:
        raise web.HTTPBadRequest(text=f"{name} must be a whole number") from None
