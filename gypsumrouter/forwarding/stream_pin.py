"""Where a stream that its caller takes up may go on, and the version that a stream is bound to."""

from __future__ import annotations

from gypsumrouter.forwarding.attempt import Attempt
from gypsumrouter.forwarding.ends.starts import StartProof
from gypsumrouter.forwarding.health.start_check import StartCheck
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.forwarding.request_journal import read_event_number
from gypsumrouter.journal import Journal, StreamTakenUp
from gypsumrouter.routing import Route
from gypsumrouter.streams import StreamOrigin, StreamOrigins
from gypsumrouter.util.clock import Clock


class StreamPin:
    """Binds a stream to the version that wrote its first event.

    `attempt` is the current attempt. A stream that its caller takes up is bound from the beginning,
    by its `origin`; any other one from its first event on. The version is that of the start that
    the upstream's entry describes, so it counts only once it is proven that this start wrote the
    event.
    """

    __slots__ = (
        "_begun",
        "_origin",
        "_proof",
        "_request_id",
        "_resumable",
        "_streams",
        "_taken_up",
        "attempt",
    )

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
        self._proof: StartProof | None = None
        self.attempt: Attempt | None = None

    @property
    def version(self) -> str | None:
        """Return the version that the next attempt needs, None if any will do."""
        return None if self._origin is None else self._origin.version

    @property
    def is_proven(self) -> bool:
        """Return whether it is known at which version the stream began."""
        return self._proof is None or self._proof.holds()

    def note_received(self, now_ms: int) -> None:
        """Record that the upstream of the stream has sent a part of it."""
        if self._proof is not None:
            self._proof.note_alive(now_ms)

    async def async_settle(self) -> None:
        """Ask the upstream that began the stream for its start, unless that is proven."""
        if self._proof is not None:
            await self._proof.async_settle()

    @property
    def list_age_ms(self) -> int:
        """Return how long ago the store last responded as to the list."""
        return self._streams.versions.list_age_ms

    def get_start_check(self, service: str) -> StartCheck:
        """Return how far the list is trusted as to the versions of the upstreams of a service."""
        if not self._resumable:
            return StartCheck.NEVER
        if self._origin is not None:
            return StartCheck.CONFIRMED
        versions = self._streams.versions
        # A stream that begins at a start which isn't listed is known to this router only.
        if versions.is_starting:
            return StartCheck.ALWAYS
        if versions.list_is_current and len(versions.list_versions(service)) == 1:
            return StartCheck.IF_LOST
        return StartCheck.ALWAYS

    def note_begun(self) -> None:
        """Bind the stream to the upstream of the current attempt, whose first event has arrived."""
        if not self._resumable or self._begun or self.attempt is None:
            return
        self._begun = True
        if self._taken_up and self._origin is not None:
            self._streams.note_taken_up(self._request_id, self._origin)
            return
        entry = self.attempt.entry
        self._origin = StreamOrigin(service=entry.service, version=entry.version)
        proof = self._proof = self.attempt.prove_start()
        if proof is None:
            self._streams.note_begun(self._request_id, self._origin)
        else:
            self._streams.note_begun(self._request_id, self._origin, is_proven=proof.holds)

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
    decision = await streams.async_find(request.resumes, service=service, services=services)
    origin = decision.origin
    journal.record(
        StreamTakenUp(
            request_id=request.request_id,
            began_as=request.resumes or "",
            last_event=read_event_number(request.last_event_id),
            service=service if origin is None else origin.service,
            version="" if origin is None else origin.version,
            goes_on=origin is not None,
            took_ms=clock.now_ms() - started_ms,
            voices=tuple(str(voice) for voice in decision.voices),
            unanswered=decision.unanswered,
            doubt="" if decision.doubt is None else str(decision.doubt),
        )
    )
    return origin
