"""Tracks the exchanges that are in progress on a side."""

from __future__ import annotations

from gypsumrouter.helpers.logs import set_request_id
from gypsumrouter.link import Answer, ExchangeHandler
from gypsumrouter.link.models import Hello, Open


class RunningExchanges:
    """Records the request id and router of each exchange, and sets the id for its log lines."""

    __slots__ = ("_handler", "_running")

    def __init__(self, *, handler: ExchangeHandler) -> None:
        self._handler = handler
        self._running: dict[int, tuple[str, str]] = {}

    def list_ids(self) -> list[str]:
        """Return the ids of the requests in progress, oldest first."""
        return [request_id for request_id, _ in self._running.values()]

    def list_routers(self) -> list[str]:
        """Return the name of the router that sent each exchange."""
        return [router for _, router in self._running.values()]

    async def async_handle(self, hello: Hello, request: Open, answer: Answer) -> None:
        """Run the wrapped handler and track the exchange while it is in progress."""
        set_request_id(request.request_id)
        number = id(answer)
        self._running[number] = (request.request_id, hello.name)
        try:
            await self._handler(hello, request, answer)
        finally:
            del self._running[number]
