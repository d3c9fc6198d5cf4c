"""Origins of streams: those that this router began, and those that it was told by others."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from typing import Final, Protocol

from msgspec import Struct

from gypsumrouter.core import Application
from gypsumrouter.link import BegunStream
from gypsumrouter.streams.models import (
    UNPROVEN_ORIGIN,
    Doubt,
    Known,
    OneVersion,
    OriginDecision,
    OriginView,
    Replies,
    SeveralVersions,
    StreamOrigin,
    Unproven,
    Voice,
    decide_origin,
    make_origin_digest,
    make_stream_digest,
)
from gypsumrouter.streams.versions import STREAM_RETENTION_MS, VersionHistory

MAX_STREAMS: Final = 100_000
# Bits of the digest of a stream.
DIGEST_BITS: Final = 64
# Most streams of a few events end within this time, and nobody needs to know of them.
TELL_DELAY_MS: Final = 50
# In this time it is mostly proven at which version a stream began.
PROOF_DELAY_MS: Final = 500
LABELS_GOES_ON: Final = (("decision", "goes_on"),)
LABELS_REFUSED: Final = (("decision", "refused"),)


class PeerOrigins(Protocol):
    """What the other routers know of streams, and the confirmation of this router's list."""

    async def async_ask(self, *, stream: int, service: str) -> Replies:
        """Return what other routers say of a stream, within a bounded time."""

    async def async_confirm_list(self) -> bool:
        """Return whether the list here has all that the store had listed, within a bounded time."""


def _is_proven() -> bool:
    return True


class _Record(Struct, frozen=True, kw_only=True):
    """The origin of a stream, and whether it is proven by now."""

    origin: int
    expires_ms: int
    is_proven: Callable[[], bool] = _is_proven

    @property
    def known_origin(self) -> int:
        """Return the digest of the origin as others may use it."""
        return self.origin if self.is_proven() else UNPROVEN_ORIGIN


class _Untold(Struct, kw_only=True):
    """A stream that this router began and has not told yet; due at `due_ms`."""

    record: _Record
    due_ms: int
    broken: bool = False


class StreamOrigins:
    """Knows at which version streams began, and asks other routers for those that it doesn't know.

    Streams are told to other routers only while their service has, or may have had, more than one
    version. Until then this router keeps the ones that it began, and tells them as soon as that
    changes.
    """

    __slots__ = ("_app", "_peers", "_records", "_resolved", "_untold", "versions")

    def __init__(self, *, app: Application, versions: VersionHistory) -> None:
        self._app = app
        self._peers: PeerOrigins | None = None
        self._records: OrderedDict[int, _Record] = OrderedDict()
        self._untold: dict[str, dict[int, _Untold]] = {}
        self.versions = versions
        self._resolved = app.metrics.counter(
            "gypsumrouter_streams_taken_up_total", "Streams that callers took up, by the decision"
        )
        app.add_dump_section("streams", self._dump)

    def set_peers(self, peers: PeerOrigins) -> None:
        """Ask these routers for streams that this one doesn't know."""
        self._peers = peers

    def note_begun(
        self,
        request_id: str,
        origin: StreamOrigin,
        *,
        is_proven: Callable[[], bool] = _is_proven,
    ) -> None:
        """Record that the first event of a stream passes this router.

        While `is_proven` returns false, the stream counts as one that may not go on anywhere.
        """
        stream, digest = make_stream_digest(request_id), make_origin_digest(origin)
        now_ms = self._app.clock.now_ms()
        record = self._add(stream, digest, now_ms=now_ms, is_proven=is_proven)
        delay_ms = TELL_DELAY_MS if is_proven() else PROOF_DELAY_MS
        self._untold.setdefault(origin.service, {})[stream] = _Untold(
            record=record, due_ms=now_ms + delay_ms
        )

    def note_complete(self, request_id: str, origin: StreamOrigin) -> None:
        """Record that a stream ended complete: nobody takes it up."""
        stream = make_stream_digest(request_id)
        if self._untold.get(origin.service, {}).pop(stream, None) is not None:
            self._records.pop(stream, None)

    def note_broken(self, request_id: str, origin: StreamOrigin) -> None:
        """Record that a stream broke off: its caller may take it up at once."""
        untold = self._untold.get(origin.service, {}).get(make_stream_digest(request_id))
        if untold is not None:
            untold.due_ms = self._app.clock.now_ms()
            untold.broken = True

    def note_taken_up(self, request_id: str, origin: StreamOrigin) -> None:
        """Record that a stream that began at another router goes on at this one."""
        stream, digest = make_stream_digest(request_id), make_origin_digest(origin)
        self._add(stream, digest, now_ms=self._app.clock.now_ms())

    def add_told(self, streams: Iterable[BegunStream]) -> None:
        """Add streams that another router began."""
        now_ms = self._app.clock.now_ms()
        for begun in streams:
            self._add(begun.stream, begun.origin, now_ms=now_ms)

    def take_due(self) -> list[BegunStream]:
        """Return the streams to tell other routers now; each is returned once."""
        now_ms = self._app.clock.now_ms()
        due: list[BegunStream] = []
        for service, untold in self._untold.items():
            if not untold:
                continue
            only_unproven = self.versions.get_only_version(service) is not None
            due += _take_due(untold, now_ms, only_unproven=only_unproven)
        return due

    def sweep(self) -> None:
        """Drop expired streams; call this about once a second."""
        now_ms = self._app.clock.now_ms()
        while self._records:
            stream, record = next(iter(self._records.items()))
            if record.expires_ms > now_ms:
                break
            del self._records[stream]
        for untold in self._untold.values():
            for stream in [s for s, u in untold.items() if u.record.expires_ms <= now_ms]:
                del untold[stream]

    def get_view(self, *, stream: int, service: str) -> OriginView:
        """Return what this router knows of a stream of a service."""
        record = self._records.get(stream)
        if record is not None and record.expires_ms > self._app.clock.now_ms():
            return Known(origin=record.known_origin)
        if len(self.versions.list_versions(service)) > 1:
            return SeveralVersions()
        only = self.versions.get_only_version(service)
        if only is None:
            return Unproven()
        return OneVersion(origin=make_origin_digest(StreamOrigin(service=service, version=only)))

    async def async_find(
        self, request_id: str | None, *, service: str, services: Collection[str]
    ) -> OriginDecision:
        """Return the origin at which a stream may go on, or why that would be a guess.

        The stream may have begun at any of `services`; `service` is the one that its request goes
        to if nobody knows the stream. A caller that doesn't name its stream, as `request_id`, does
        not expect several versions: it goes on unless some router has seen them, and where the list
        is not confirmed, all that are asked have to say so.
        """
        stream = _make_unknown() if request_id is None else make_stream_digest(request_id)
        started_ms = self._app.clock.now_ms()
        replies, is_confirmed = Replies(), False
        known = isinstance(self.get_view(stream=stream, service=service), Known)
        if not known and self._peers is not None:
            replies, is_confirmed = await self._async_ask(self._peers, stream, service)
            self._note_vouched(service, replies.voices)
        # What this router knows now: the list may have changed while others were asked.
        own = Voice(
            router="",
            view=self.get_view(stream=stream, service=service),
            list_age_ms=self.versions.list_age_ms,
            is_confirmed=is_confirmed,
            after_ms=self._app.clock.now_ms() - started_ms,
        )
        voices = (own, *replies.voices)
        decided = decide_origin(voices)
        origin = self._match(decided, services)
        if request_id is None and (is_confirmed or not replies.unanswered):
            origin = self._get_present_origin(service, voices)
        self._resolved.inc(labels=LABELS_REFUSED if origin is None else LABELS_GOES_ON)
        return OriginDecision(
            origin=origin,
            doubt=None if origin is not None else _get_doubt(decided),
            voices=voices,
            unanswered=replies.unanswered,
        )

    async def _async_ask(
        self, peers: PeerOrigins, stream: int, service: str
    ) -> tuple[Replies, bool]:
        """Return what others say of a stream, and whether the list was confirmed meanwhile."""
        confirming = asyncio.ensure_future(peers.async_confirm_list())
        try:
            replies = await peers.async_ask(stream=stream, service=service)
            if any(isinstance(voice.view, Known) for voice in replies.voices):
                return replies, False
            return replies, await confirming
        finally:
            confirming.cancel()

    def _note_vouched(self, service: str, voices: Collection[Voice]) -> None:
        """Take the word of others for the time that this router has not observed."""
        if any(isinstance(voice.view, SeveralVersions) for voice in voices):
            return
        versions = self.versions.list_versions(service)
        origins = {make_origin_digest(StreamOrigin(service=service, version=v)) for v in versions}
        told = {
            voice.view.origin: voice.list_as_of
            for voice in sorted(voices, key=lambda voice: voice.list_as_of)
            if isinstance(voice.view, OneVersion)
        }
        if len(origins) == 1 and told.keys() == origins:
            self.versions.note_vouched(service, as_of=max(told.values()))

    def _get_present_origin(self, service: str, voices: Iterable[Voice]) -> StreamOrigin | None:
        """Return the origin of new streams of a service, unless a router has seen several."""
        if any(isinstance(voice.view, SeveralVersions) for voice in voices):
            return None
        versions = self.versions.list_versions(service)
        if len(versions) != 1:
            return None
        return StreamOrigin(service=service, version=versions.pop())

    async def async_complete_history(self) -> None:
        """Ask other routers about the services whose versions this one has not observed."""
        if self._peers is None:
            return
        for service in self.versions.list_incomplete():
            replies = await self._peers.async_ask(stream=_make_unknown(), service=service)
            self._note_vouched(service, replies.voices)

    def _match(self, digest: int | Doubt, services: Collection[str]) -> StreamOrigin | None:
        """Return the origin with a digest among the versions of these services."""
        if isinstance(digest, Doubt):
            return None
        for service in services:
            for version in self.versions.list_versions(service):
                origin = StreamOrigin(service=service, version=version)
                if make_origin_digest(origin) == digest:
                    return origin
        return None

    def _add(
        self,
        stream: int,
        origin: int,
        *,
        now_ms: int,
        is_proven: Callable[[], bool] = _is_proven,
    ) -> _Record:
        record = _Record(
            origin=origin, expires_ms=now_ms + STREAM_RETENTION_MS, is_proven=is_proven
        )
        self._records[stream] = record
        self._records.move_to_end(stream)
        if len(self._records) > MAX_STREAMS:
            self._records.popitem(last=False)
        return record

    def _dump(self) -> object:
        return {
            "known": len(self._records),
            "unproven": sum(not record.is_proven() for record in self._records.values()),
            "untold": sum(len(untold) for untold in self._untold.values()),
            "single_version": self.versions.dump(),
        }


def _get_doubt(decided: int | Doubt) -> Doubt:
    return decided if isinstance(decided, Doubt) else Doubt.NOT_LISTED


def _make_unknown() -> int:
    """Return a digest that no stream has, for a question about the versions of a service only."""
    return random.getrandbits(DIGEST_BITS)


def _take_due(untold: dict[int, _Untold], now_ms: int, *, only_unproven: bool) -> list[BegunStream]:
    """Remove and return the streams to tell; `only_unproven`: of one version, others need none."""
    due = [
        (stream, entry)
        for stream, entry in untold.items()
        if entry.due_ms <= now_ms and (not only_unproven or _misleads(entry))
    ]
    for stream, _ in due:
        del untold[stream]
    return [BegunStream(stream=stream, origin=entry.record.known_origin) for stream, entry in due]


def _misleads(untold: _Untold) -> bool:
    """Return whether other routers would take the one version that they know for the stream's."""
    return untold.broken and not untold.record.is_proven()
