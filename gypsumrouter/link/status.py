"""Status notices: publishes a server's status at a bounded rate, and caches those received."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct
from msgspec.structs import replace

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.link.connection import Connection, ReportedLoad
from gypsumrouter.link.const import (
    STATUS_BYTES_S,
    STATUS_INTERVAL_MS,
    STATUS_MESH_BYTES_S,
    STATUS_RETENTION_MS,
)
from gypsumrouter.link.frames import HEADER_BYTES
from gypsumrouter.link.models import Hello, Status
from gypsumrouter.link.notice_codec import encode_notice


class StatusView(Struct, frozen=True, kw_only=True):
    """The last status of another process, its age, and the incarnation that sent it."""

    status: Status
    age_ms: int
    incarnation: int


class StatusPublisher:
    """Sends a process's status over its open links.

    The total rate over all links is limited, more strictly if there are very many links, and each
    link gets at most one status per `STATUS_INTERVAL_MS`. A change of `leaving` or `ready` is sent
    immediately. Between two statuses the load is reported in the headers of answer frames.
    """

    __slots__ = (
        "_app",
        "_connections",
        "_current",
        "_pending",
        "_reported_load",
        "_sent",
        "_sent_ms",
    )

    def __init__(
        self,
        *,
        app: Application,
        connections: Callable[[], Iterable[Connection]],
        reported_load: ReportedLoad,
    ) -> None:
        self._app = app
        self._reported_load = reported_load
        self._connections = connections
        self._current: Status | None = None
        self._sent: Status | None = None
        self._sent_ms = 0
        self._pending = False

    def publish(self, status: Status) -> None:
        """Set the status and send it as soon as the rate limit allows."""
        before = self._current
        self._current = status
        self._reported_load.set(status.load)
        if before is None or _is_urgent(before, status):
            self._send()
            return
        if self._pending or status == self._sent:
            return
        self._pending = True
        self._app.async_create_task(self._async_send_later(), "link status")

    def send_initial(self, connection: Connection) -> None:
        """Send the current status over a new link."""
        if self._current is None:
            return
        kind, body = encode_notice(self._current)
        connection.send(kind, body=body)

    async def _async_send_later(self) -> None:
        due_ms = self._sent_ms + self._get_interval_ms()
        await self._app.clock.async_sleep(max(0, due_ms - self._app.clock.now_ms()))
        self._pending = False
        if self._current != self._sent:
            self._send()

    def _get_interval_ms(self) -> int:
        if self._current is None:
            return STATUS_INTERVAL_MS
        size = HEADER_BYTES + len(encode_notice(self._current)[1])
        links = sum(1 for _ in self._connections())
        own_ms = links * size * MS_PER_S // STATUS_BYTES_S
        peers_ms = links * links * size * MS_PER_S // STATUS_MESH_BYTES_S
        return max(STATUS_INTERVAL_MS, own_ms, peers_ms)

    def _send(self) -> None:
        if self._current is None:
            return
        kind, body = encode_notice(self._current)
        for connection in self._connections():
            connection.send(kind, body=body)
        self._sent = self._current
        self._sent_ms = self._app.clock.now_ms()


class StatusCache:
    """The last status of each process, by name."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, tuple[Status, int, int]] = {}

    def record(self, hello: Hello, status: Status, now_ms: int) -> None:
        """Record a status that was received."""
        self._entries[hello.name] = (status, now_ms, hello.incarnation)

    def record_load(self, name: str, incarnation: int, load: int, now_ms: int) -> None:
        """Record a load reported in an answer frame; the other fields of the status are kept."""
        entry = self._entries.get(name)
        if entry is None or entry[2] != incarnation:
            return
        self._entries[name] = (replace(entry[0], load=load), now_ms, incarnation)

    def get(self, name: str, now_ms: int) -> StatusView | None:
        """Return the last status of a process, or None."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        status, received_ms, incarnation = entry
        return StatusView(status=status, age_ms=now_ms - received_ms, incarnation=incarnation)

    def sweep(self, now_ms: int) -> None:
        """Remove expired statuses."""
        old = [
            name for name, entry in self._entries.items() if now_ms - entry[1] > STATUS_RETENTION_MS
        ]
        for name in old:
            del self._entries[name]


def _is_urgent(before: Status, after: Status) -> bool:
    return before.leaving != after.leaving or before.ready != after.ready
