"""API calls to model engines."""

from __future__ import annotations

import json

from gypsumrouter.forwarding.inventory import CachedPart, CacheListing
from gypsumrouter.helpers.http_connection import ConnectionBroken, HttpConnection
from gypsumrouter.platform import names


async def async_list_cached_parts(connection: HttpConnection) -> CacheListing:
    """Return the prompt parts in an engine's cache; raises ConnectionBroken if invalid."""
    head = f"GET {names.CALL_HELD} HTTP/1.1\r\nHost: {connection.address}\r\n\r\n"
    connection.send_request(method="GET", data=head.encode())
    answer = await connection.async_read_response()
    body = await answer.body.read()
    if answer.status != names.STATUS_OK:
        raise ConnectionBroken(f"expected status {names.STATUS_OK}, got {answer.status}")
    try:
        document = json.loads(body)
        # Each entry is a list: an empty string, the part's id, its token count, its model.
        parts = tuple(
            CachedPart(part=int(part, 16) & names.MASK_64, tokens=int(tokens))
            for _, part, tokens, _ in document["held"]
        )
        return CacheListing(
            parts=parts,
            started_ms=int(document.get("born", 0)),
            draining=names.is_leaving(answer.get(names.SERVER_LEAVING)),
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as error:
        raise ConnectionBroken(f"expected a list of cached parts, got {error!r}") from None
