"""The exchanges that a side runs now, by request id."""

from __future__ import annotations

from gypsumrouter.helpers.logs import set_request_id
from gypsumrouter.link import Answer, ExchangeHandler
from gypsumrouter.link.models import Hello, Open


class RunningExchanges:
    """Keep the ids of the exchanges that run, and name them in the log lines of their tasks."""

    __slots__ = ("_handler", "_running")

    def __init__(self, *, handler: ExchangeHandler) -> None:
        self._handler = handler
        self._running: dict[int, tuple[str, str]] = {}

    def list_ids(self) -> list[str]:
        """Return the request ids, oldest first."""
        return [request_id for request_id, _ in self._running.values()]

    def list_routers(self) -> list[str]:
        """Return the name of the router of each exchange."""
        return [router for _, router in self._running.values()]

    async def async_handle(self, hello: Hello, request: Open, answer: Answer) -> None:
        """Run one exchange."""
        set_request_id(request.request_id)
        number = id(answer)
        self._running[number] = (request.request_id, hello.name)
        try:
            await self._handler(hello, request, answer)
        finally:
            del self._running[number]
