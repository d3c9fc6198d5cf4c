"""Where a stream that its caller takes up may go on, and the version that a stream is bound to."""

from __future__ import annotations

from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.connections import StartCheck
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.forwarding.request_journal import read_event_number
from gypsumrouter.journal import Journal, StreamTakenUp
from gypsumrouter.routing import Route
from gypsumrouter.streams import StreamOrigin, StreamOrigins
from gypsumrouter.util.clock import Clock


class StreamPin:
    """Binds a stream to the version that wrote its first event.

    `entry` is the upstream of the current attempt. A stream that its caller takes up is bound from
    the beginning, by its `origin`; any other one from its first event on.
    """

    __slots__ = ("_begun", "_origin", "_request_id", "_resumable", "_streams", "_taken_up", "entry")

    def __init__(
        self,
        *,
        streams: StreamOrigins,
        request: CallerRequest,
        route: Route,
        origin: StreamOrigin | None,
    ) -> None:
        self._streams = streams
        self._resumable = route.resumable
        self._origin = origin
        self._taken_up = origin is not None
        # Further requests name the one that brought the first event.
        self._request_id = request.request_id
        if origin is not None and request.resumes is not None:
            self._request_id = request.resumes
        self._begun = False
        self.entry: Entry | None = None

    @property
    def version(self) -> str | None:
        """Return the version that the next attempt needs, None if any will do."""
        return None if self._origin is None else self._origin.version

    @property
    def start_check(self) -> StartCheck:
        """Return how far the list is trusted as to the version of the current upstream."""
        if not self._resumable or self.entry is None:
            return StartCheck.NEVER
        versions = self._streams.versions
        if versions.list_is_current and len(versions.list_versions(self.entry.service)) == 1:
            return StartCheck.IF_LOST
        return StartCheck.ALWAYS if self._origin is None else StartCheck.CONFIRMED

    def note_begun(self) -> None:
        """Bind the stream to the upstream of the current attempt, whose first event has arrived."""
        if not self._resumable or self._begun or self.entry is None:
            return
        self._begun = True
        if self._taken_up and self._origin is not None:
            self._streams.note_taken_up(self._request_id, self._origin)
            return
        self._origin = StreamOrigin(service=self.entry.service, version=self.entry.version)
        self._streams.note_begun(self._request_id, self._origin)

    def note_ended(self, *, complete: bool) -> None:
        """Record how the stream of the current attempt ended."""
        if self._origin is None or not self._begun or self._taken_up:
            return
        if complete:
            self._streams.note_complete(self._request_id, self._origin)
        else:
            self._streams.note_broken(self._request_id, self._origin)


async def async_find_origin(
    *,
    streams: StreamOrigins,
    clock: Clock,
    journal: Journal,
    request: CallerRequest,
    route: Route,
    service: str,
) -> StreamOrigin | None:
    """Return where the stream that a caller takes up may go on, None if nowhere.

    `service` is the one that the request goes to if nobody knows the stream.
    """
    services = [target.service for target in route.targets]
    started_ms = clock.now_ms()
    origin = await streams.async_find(request.resumes, service=service, services=services)
    journal.record(
        StreamTakenUp(
            request_id=request.request_id,
            began_as=request.resumes or "",
            last_event=read_event_number(request.last_event_id),
            service=service if origin is None else origin.service,
            version="" if origin is None else origin.version,
            goes_on=origin is not None,
            took_ms=clock.now_ms() - started_ms,
        )
    )
    return origin
