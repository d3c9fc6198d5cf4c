"""Exchange of the origins of streams: each is told to a few routers, which others ask for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterator
from typing import Final

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.link import (
    BegunStream,
    BegunStreams,
    Notice,
    NoticeHub,
    OriginReply,
    OriginRequest,
    Peer,
)
from gypsumrouter.peers.const import MAX_AGE_MS
from gypsumrouter.peers.origin_lookup import OriginLookup, encode_view
from gypsumrouter.peers.routers import RouterRegistry
from gypsumrouter.streams import Replies, StreamOrigins

# Routers that are told of a stream, besides the one that began it.
HOLDERS: Final = 2
# Routers that are asked for a stream. Those that were told may be among the first few only, as two
# routers rarely know exactly the same routers.
ASKED: Final = 6
# Further routers that are told instead of ones that can't be reached.
MAX_SUBSTITUTES: Final = 2
TELL_INTERVAL_MS: Final = 50
# A router answers within a round trip; one more is needed to open a link to it.
ASK_TIMEOUT_MS: Final = 150
# A router that starts asks this often for the versions that it has not observed.
HISTORY_QUESTIONS: Final = 5
HISTORY_INTERVAL_MS: Final = 1_000
MAX_STREAMS_PER_NOTICE: Final = 1_000

SendTo = Callable[[str, Notice], Awaitable[bool]]


class StreamExchange:
    """Tells other routers of the streams that began here, and asks them for others.

    The holders of a stream are the first routers in the rendezvous order of its id, so that any
    router finds them without knowing where the stream began.
    """

    __slots__ = ("_app", "_confirm_list", "_lookups", "_origins", "_routers", "_send")

    def __init__(
        self,
        *,
        app: Application,
        routers: RouterRegistry,
        notices: NoticeHub,
        origins: StreamOrigins,
        send: SendTo,
        confirm_list: Callable[[], Awaitable[bool]],
    ) -> None:
        self._app = app
        self._routers = routers
        self._origins = origins
        self._send = send
        self._confirm_list = confirm_list
        self._lookups: dict[int, list[OriginLookup]] = {}
        notices.subscribe(BegunStreams, self._handle_begun)
        notices.subscribe(OriginRequest, self._handle_request)
        notices.subscribe(OriginReply, self._handle_reply)

    def async_start(self) -> None:
        """Start to tell other routers of streams."""
        self._app.async_create_task(self._async_run(), "tell streams")
        self._app.async_create_task(self._async_complete_history(), "ask for versions")

    async def _async_complete_history(self) -> None:
        """Ask what this process could not observe, a few times after its start."""
        for _ in range(HISTORY_QUESTIONS):
            await self._app.clock.async_sleep(HISTORY_INTERVAL_MS)
            await self._origins.async_complete_history()

    async def async_ask(self, *, stream: int, service: str) -> Replies:
        """Return what other routers say of a stream; ends as soon as one of them knows it."""
        asked = self._routers.rank(key=stream, count=ASKED)
        if not asked:
            return Replies()
        lookup = OriginLookup(
            clock=self._app.clock, asked=[self._routers.get_name(address) for address in asked]
        )
        self._lookups.setdefault(stream, []).append(lookup)
        request = OriginRequest(stream=stream, service=service)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_MS / MS_PER_S):
                for address in asked:
                    self._app.async_create_task(
                        self._async_request(address, request, lookup), "ask for a stream"
                    )
                await lookup.done.wait()
        except TimeoutError:
            pass
        finally:
            self._remove(stream, lookup)
        return lookup.replies

    async def async_confirm_list(self) -> bool:
        """Return whether the list here has all that the store had listed, within a bounded time."""
        return await self._confirm_list()

    async def _async_request(
        self, address: str, request: OriginRequest, lookup: OriginLookup
    ) -> None:
        if not await self._send(address, request):
            lookup.note_unreachable()

    def _remove(self, stream: int, lookup: OriginLookup) -> None:
        lookups = self._lookups[stream]
        lookups.remove(lookup)
        if not lookups:
            del self._lookups[stream]

    async def _async_run(self) -> None:
        while True:
            await self._app.clock.async_sleep(TELL_INTERVAL_MS)
            self._origins.versions.update()
            due = self._origins.take_due()
            for address, streams in self._group_by_holder(due).items():
                self._start_telling(address, streams)

    def _group_by_holder(self, due: Collection[BegunStream]) -> dict[str, list[BegunStream]]:
        grouped: dict[str, list[BegunStream]] = {}
        for begun in due:
            for address in self._routers.rank(key=begun.stream, count=HOLDERS):
                grouped.setdefault(address, []).append(begun)
        return grouped

    def _start_telling(self, address: str, streams: list[BegunStream]) -> None:
        for notice in _split(streams):
            self._app.async_create_task(self._async_tell(address, notice), "tell streams")

    async def _async_tell(self, address: str, notice: BegunStreams) -> None:
        """Tell one holder, or others if it can't be reached."""
        if await self._send(address, notice):
            return
        for begun in notice.streams:
            await self._async_tell_substitute(begun)

    async def _async_tell_substitute(self, begun: BegunStream) -> None:
        ranked = self._routers.rank(key=begun.stream, count=HOLDERS + MAX_SUBSTITUTES)
        for address in ranked[HOLDERS:]:
            if await self._send(address, BegunStreams(streams=(begun,))):
                return

    def _handle_begun(self, _peer: Peer, notice: BegunStreams) -> None:
        self._origins.add_told(notice.streams)

    def _handle_request(self, peer: Peer, request: OriginRequest) -> None:
        view = self._origins.get_view(stream=request.stream, service=request.service)
        versions = self._origins.versions
        age_ms = min(versions.list_age_ms, MAX_AGE_MS)
        peer.send(
            encode_view(request.stream, view, list_age_ms=age_ms, list_as_of=versions.list_as_of)
        )

    def _handle_reply(self, peer: Peer, reply: OriginReply) -> None:
        for lookup in self._lookups.get(reply.stream, ()):
            lookup.add(peer.hello.name, reply)


def _split(streams: list[BegunStream]) -> Iterator[BegunStreams]:
    for start in range(0, len(streams), MAX_STREAMS_PER_NOTICE):
        yield BegunStreams(streams=tuple(streams[start : start + MAX_STREAMS_PER_NOTICE]))
