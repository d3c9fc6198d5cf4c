"""API calls to model engines."""

from __future__ import annotations

from gypsumrouter.forwarding.inventory import CachedPart, CacheListing
from gypsumrouter.forwarding.models import MAX_PROMPT_TOKENS
from gypsumrouter.helpers.http_connection import HttpConnection
from gypsumrouter.helpers.http_questions import async_get
from gypsumrouter.helpers.http_response import MAX_LISTING_BYTES, MAX_REPORT_BYTES, ConnectionBroken
from gypsumrouter.helpers.json_documents import load_json
from gypsumrouter.helpers.numbers import read_hexadecimal, read_json_number
from gypsumrouter.platform import names


async def async_read_start(connection: HttpConnection) -> int:
    """Return when an upstream started, 0 if it doesn't state it; raises ConnectionBroken."""
    _, body = await async_get(connection, names.CALL_REPORT, max_bytes=MAX_REPORT_BYTES)
    try:
        return read_json_number(load_json(body).get("born")) or 0
    except (ValueError, AttributeError, RecursionError) as error:
        raise ConnectionBroken(f"expected a report, got {error!r:.200}") from None


async def async_list_cached_parts(connection: HttpConnection) -> CacheListing:
    """Return the prompt parts in an engine's cache; raises ConnectionBroken if invalid."""
    answer, body = await async_get(connection, names.CALL_HELD, max_bytes=MAX_LISTING_BYTES)
    try:
        document = load_json(body)
        # Each entry is a list: an empty string, the part's id, its token count, its model.
        parts = tuple(
            CachedPart(part=number, tokens=count)
            for _, part, tokens, _ in document["held"]
            if (number := read_hexadecimal(str(part), mask=names.MASK_64)) is not None
            and (count := read_json_number(tokens, largest=MAX_PROMPT_TOKENS)) is not None
        )
        return CacheListing(
            parts=parts,
            started_ms=read_json_number(document.get("born")) or 0,
            draining=names.is_leaving(answer.get(names.SERVER_LEAVING)),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise ConnectionBroken(f"expected a list of cached parts, got {error!r:.200}") from None
