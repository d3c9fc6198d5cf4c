"""Transfer of cached prefixes between the engines of a pool, as seen by one side."""

from __future__ import annotations

import asyncio
from typing import Protocol

import xxhash

from gypsumrouter.const import MS_PER_S, Role, make_engine_chat_id
from gypsumrouter.core import Application
from gypsumrouter.fleet import Instance
from gypsumrouter.link import Answer, ExchangeHandler, NoticeHub, Peer, PrefixAnnouncement
from gypsumrouter.link.models import Head, Headers, Hello, Open
from gypsumrouter.prefixes import const
from gypsumrouter.prefixes.engine import CacheClient
from gypsumrouter.prefixes.handoff import PrefixHandoff
from gypsumrouter.prefixes.held import HeldPrefixes
from gypsumrouter.prefixes.moved import ChatLocation, MovedChats
from gypsumrouter.prefixes.peers import Links, async_request
from gypsumrouter.settings import Upstream

DUMP_SECTION = "prefixes"


class Members(Protocol):
    """The instances that this process considers present."""

    def get(self, name: str) -> Instance | None:
        """Return an instance by its name."""

    def members(self, pool: str) -> tuple[Instance, ...]:
        """Return the usable instances of a pool, sorted by name."""


class Prefixes:
    """Transfer prefixes to the engines that serve their chats.

    Before a request runs, the missing prefix of its chat is fetched from the holders that the
    router names in the request. After it, the side notifies the first of these, the primary, which
    redirects later requests for the prefix. Before a planned stop recently used prefixes are
    handed off to other engines. This is an optimization: if a transfer fails, the engine prefills
    the prompt again.
    """

    __slots__ = (
        "_app",
        "_client",
        "_fetches",
        "_fleet",
        "_handoff",
        "_held",
        "_links",
        "_moved",
        "_running",
    )

    def __init__(
        self,
        *,
        app: Application,
        settings: Upstream,
        fleet: Members,
        links: Links,
        notices: NoticeHub,
    ) -> None:
        self._app = app
        self._fleet = fleet
        self._links = links
        self._client = CacheClient(app=app, settings=settings)
        self._held = HeldPrefixes()
        self._moved = MovedChats()
        self._running: dict[str, int] = {}
        self._handoff = PrefixHandoff(
            app=app,
            list_members=lambda: fleet.members(settings.pool),
            links=links,
            client=self._client,
            list_chats=self._list_idle,
        )
        notices.subscribe(PrefixAnnouncement, self._handle_notice)
        self._fetches = app.metrics.counter(
            "gypsumrouter_prefix_fetches_total", "Prefixes asked for at other engines, by result"
        )

    def wrap(self, handler: ExchangeHandler) -> ExchangeHandler:
        """Return a handler that serves prefix requests of sides and passes on all others."""

        async def async_handle(hello: Hello, request: Open, answer: Answer) -> None:
            if hello.role is not Role.SIDE:
                await handler(hello, request, answer)
                return
            match request.path:
                case const.PATH_EXPORT:
                    await self._async_export(request, answer)
                case const.PATH_IMPORT:
                    await self._async_import(request, answer)
                case _:
                    await handler(hello, request, answer)

        return async_handle

    async def async_start(self) -> None:
        """Start to read eviction events and to wait for a planned stop."""
        await self._client.async_start()
        self._handoff.start()
        self._app.add_dump_section(DUMP_SECTION, self._dump)
        self._app.async_create_task(self._async_follow(), "prefix events")

    async def async_fetch(self, request: Open) -> None:
        """Fetch the prefix of a request if enough of it is missing here."""
        if not request.chat:
            return
        chat = make_engine_chat_id(request.workspace, request.chat)
        self._running[chat] = self._running.get(chat, 0) + 1
        missing = request.prompt_bytes - self._held.get(chat)
        if not request.holders or missing < const.MIN_FETCH_BYTES:
            return
        try:
            async with asyncio.timeout(const.FETCH_TIMEOUT_MS / MS_PER_S):
                fetched = await self._async_fetch_from(self._list_sources(request, chat), chat)
        except TimeoutError:
            fetched = False
        self._fetches.inc(labels=(("result", "fetched" if fetched else "not_found"),))

    def record_served(self, request: Open, *, complete: bool) -> None:
        """Record that the engine ran a request; ignored unless the response was `complete`."""
        if not complete or not request.chat:
            return
        chat = make_engine_chat_id(request.workspace, request.chat)
        self._held.record(chat, request.prompt_bytes)
        self._moved.forget(digest_chat(chat))
        primary = self._get_other(request.holders[0]) if request.holders else None
        if primary is not None:
            notice = PrefixAnnouncement(chat=digest_chat(chat), prompt_bytes=request.prompt_bytes)
            self._app.async_create_task(self._async_notify(primary, notice), "prefix announcement")

    def record_run_ended(self, request: Open) -> None:
        """Record the end of a run that began with `async_fetch`."""
        if not request.chat:
            return
        chat = make_engine_chat_id(request.workspace, request.chat)
        running = self._running.pop(chat, 1) - 1
        if running > 0:
            self._running[chat] = running

    def handle_engine_crash(self) -> None:
        """Clear the estimate of what the engine held before it crashed."""
        self._held.clear()

    def _list_idle(self, limit: int) -> list[str]:
        return [chat for chat in self._held.list_newest(limit) if chat not in self._running]

    def _list_sources(self, request: Open, chat: str) -> list[str]:
        """Return the candidates in order: hinted holders, last known location, primaries."""
        primaries = list(request.holders[: const.PRIMARY_HOLDERS])
        hinted = list(request.holders[const.PRIMARY_HOLDERS :])
        moved = self._moved.get(digest_chat(chat))
        return [*hinted, *([moved.name] if moved else []), *primaries]

    async def _async_fetch_from(self, sources: list[str], chat: str) -> bool:
        tried = {self._app.name}
        while sources and len(tried) <= const.MAX_SOURCES:
            name = sources.pop(0)
            instance = self._get_other(name)
            if name in tried or instance is None:
                continue
            tried.add(name)
            reply = await async_request(
                links=self._links, instance=instance, path=const.PATH_EXPORT, chat=chat
            )
            if reply is None:
                continue
            if reply.status == const.HTTP_SEE_OTHER:
                sources.insert(0, reply.location)
            elif reply.status == const.HTTP_OK:
                return await self._client.async_import(chat, reply.body)
        return False

    def _get_other(self, name: str) -> Instance | None:
        return None if name == self._app.name else self._fleet.get(name)

    async def _async_notify(self, primary: Instance, notice: PrefixAnnouncement) -> None:
        await self._links.async_send(instance=primary, notice=notice)

    def _handle_notice(self, peer: Peer, notice: PrefixAnnouncement) -> None:
        moved = ChatLocation(name=peer.hello.name, prompt_bytes=notice.prompt_bytes)
        self._moved.record(notice.chat, moved)

    async def _async_export(self, request: Open, answer: Answer) -> None:
        """Respond with the cached prefix, or redirect to a side that holds more of it."""
        moved = self._moved.get(digest_chat(request.chat))
        min_bytes = self._held.get(request.chat) + const.MIN_FETCH_BYTES
        exported = None
        if moved is None or moved.prompt_bytes < min_bytes:
            exported = await self._client.async_export(request.chat)
        if exported is not None:
            await _async_answer(answer, const.HTTP_OK, body=exported)
        elif moved is not None:
            headers = ((const.HEADER_LOCATION, moved.name),)
            await _async_answer(answer, const.HTTP_SEE_OTHER, headers=headers)
        else:
            await _async_answer(answer, const.HTTP_NOT_FOUND)

    async def _async_import(self, request: Open, answer: Answer) -> None:
        if not await self._client.async_import(request.chat, request.body):
            await _async_answer(answer, const.HTTP_NOT_FOUND)
            return
        self._held.record(request.chat, request.prompt_bytes)
        await _async_answer(answer, const.HTTP_OK)

    async def _async_follow(self) -> None:
        while True:
            await self._app.clock.async_sleep(const.EVENTS_POLL_MS)
            for evicted in await self._client.async_list_evicted():
                evicted_bytes = evicted.tokens * const.BYTES_PER_TOKEN
                self._held.record_eviction(evicted.chat, evicted_bytes)

    def _dump(self) -> dict[str, object]:
        return {
            "held_chats": len(self._held),
            "moved_chats": len(self._moved),
            "handed_on": self._handoff.count,
        }


def digest_chat(chat: str) -> int:
    """Return the digest that identifies a chat in a `PrefixAnnouncement` notice."""
    return xxhash.xxh64_intdigest(chat.encode())


async def _async_answer(
    answer: Answer, status: int, *, body: bytes = b"", headers: Headers = ()
) -> None:
    answer.head(Head(status=status, headers=headers))
    if body:
        await answer.async_write(body)
    answer.end()
