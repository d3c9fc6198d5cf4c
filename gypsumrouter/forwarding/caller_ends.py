"""How a request ends whose connection to its caller has ended."""

from __future__ import annotations

from typing import Final

from aiohttp import web

from gypsumrouter.callers import CallerConnection

# Outcomes of requests: the caller has left, or the end of the process has cut them.
OUTCOME_CALLER_GONE: Final = "caller_gone"
OUTCOME_CUT: Final = "cut_by_stop"


def describe_end(request: web.BaseRequest) -> str:
    """Return the outcome of a request whose connection has ended."""
    connection = request.protocol
    was_cut = isinstance(connection, CallerConnection) and connection.was_cut
    return OUTCOME_CUT if was_cut else OUTCOME_CALLER_GONE
