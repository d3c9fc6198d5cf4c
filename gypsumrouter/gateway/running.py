"""Registry of the running requests."""

from __future__ import annotations

from collections.abc import Iterator

from gypsumrouter.configuration.models import CallerClass
from gypsumrouter.gateway.attempts import Attempts


class RunningRequest:
    """A running request; the fields are filled in while it is processed."""

    __slots__ = ("arrived_ms", "attempts", "caller_class", "request_id", "streamed", "workspace")

    def __init__(self, *, request_id: str, arrived_ms: int) -> None:
        self.request_id = request_id
        self.arrived_ms = arrived_ms
        self.workspace = ""
        self.caller_class: CallerClass | None = None
        self.streamed = False
        self.attempts = Attempts()


class RunningRequests:
    """All running requests of the router."""

    __slots__ = ("_by_id",)

    def __init__(self) -> None:
        self._by_id: dict[str, RunningRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[RunningRequest]:
        return iter(self._by_id.values())

    def add(self, running: RunningRequest) -> None:
        """Add a request at its start."""
        self._by_id[running.request_id] = running

    def remove(self, running: RunningRequest) -> None:
        """Remove a request at its end."""
        self._by_id.pop(running.request_id, None)
