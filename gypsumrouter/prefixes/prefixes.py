"""The side's part in moving cached prefixes between the engines of a pool."""

from __future__ import annotations

import asyncio
from typing import Protocol

import xxhash

from gypsumrouter.const import MS_PER_S, Role, make_engine_chat
from gypsumrouter.core import Application
from gypsumrouter.fleet import Instance
from gypsumrouter.link import Answer, ExchangeHandler, NoticeHub, Peer, PrefixAnnouncement
from gypsumrouter.link.models import Head, Headers, Hello, Open
from gypsumrouter.prefixes import const
from gypsumrouter.prefixes.engine import CacheClient
from gypsumrouter.prefixes.hand_on import HandOn
from gypsumrouter.prefixes.held import HeldPrefixes
from gypsumrouter.prefixes.moved import Moved, MovedChats
from gypsumrouter.prefixes.peers import Links, async_ask
from gypsumrouter.settings import Upstream

DUMP_SECTION = "prefixes"


class Members(Protocol):
    """The instances that this process believes in."""

    def get(self, name: str) -> Instance | None:
        """Return an instance by its name."""

    def members(self, pool: str) -> tuple[Instance, ...]:
        """Return the usable instances of a pool, sorted by name."""


class Prefixes:
    """Move prefixes to where their chats run.

    A chat that runs away from its usual place fetches its prefix from the places that the router
    names, and the side that served it tells the first of them, which so knows where to ask. Before
    a planned stop the chats used last are handed on to their next places. All of it is only for
    speed: whatever fails, the engine computes the prompt again.
    """

    __slots__ = (
        "_app",
        "_busy",
        "_client",
        "_fetches",
        "_fleet",
        "_hand_on",
        "_held",
        "_links",
        "_moved",
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
        self._busy: dict[str, int] = {}
        self._hand_on = HandOn(
            app=app,
            list_members=lambda: fleet.members(settings.pool),
            links=links,
            client=self._client,
            list_chats=self._list_idle,
        )
        notices.subscribe(PrefixAnnouncement, self._take_news)
        self._fetches = app.metrics.counter(
            "gypsumrouter_prefix_fetches_total", "Prefixes asked for at other engines, by result"
        )

    def wrap(self, handler: ExchangeHandler) -> ExchangeHandler:
        """Return a handler that answers other sides' requests for prefixes itself."""

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
        """Follow what the engine evicts, and take part in a planned stop."""
        await self._client.async_start()
        self._hand_on.start()
        self._app.add_dump_section(DUMP_SECTION, self._dump)
        self._app.async_create_task(self._async_follow(), "prefix events")

    async def async_fetch(self, request: Open) -> None:
        """Bring the prefix of a request here where that costs less than computing it."""
        if not request.chat:
            return
        chat = make_engine_chat(request.workspace, request.chat)
        self._busy[chat] = self._busy.get(chat, 0) + 1
        missing = request.prompt_bytes - self._held.get(chat)
        if not request.holders or missing < const.MIN_FETCH_BYTES:
            return
        try:
            async with asyncio.timeout(const.FETCH_MS / MS_PER_S):
                fetched = await self._async_fetch_from(self._list_places(request, chat), chat)
        except TimeoutError:
            fetched = False
        self._fetches.inc(labels=(("result", "fetched" if fetched else "not_found"),))

    def note_served(self, request: Open, *, whole: bool) -> None:
        """Note that the engine ran a request, to its end if it was `whole`."""
        if not whole or not request.chat:
            return
        chat = make_engine_chat(request.workspace, request.chat)
        self._held.note(chat, request.prompt_bytes)
        self._moved.forget(digest_chat(chat))
        home = self._find_other(request.holders[0]) if request.holders else None
        if home is not None:
            news = PrefixAnnouncement(chat=digest_chat(chat), prompt_bytes=request.prompt_bytes)
            self._app.async_create_task(self._async_tell(home, news), "prefix news")

    def note_ended(self, request: Open) -> None:
        """Note the end of a run that began with a fetch."""
        if not request.chat:
            return
        chat = make_engine_chat(request.workspace, request.chat)
        running = self._busy.pop(chat, 1) - 1
        if running > 0:
            self._busy[chat] = running

    def note_engine_died(self) -> None:
        """Forget what the engine held before it started again."""
        self._held.clear()

    def _list_idle(self, limit: int) -> list[str]:
        return [chat for chat in self._held.list_newest(limit) if chat not in self._busy]

    def _list_places(self, request: Open, chat: str) -> list[str]:
        """Return where to ask: the hinted place, where the chat moved to, its usual places."""
        usual = list(request.holders[: const.USUAL_PLACES])
        hinted = list(request.holders[const.USUAL_PLACES :])
        moved = self._moved.find(digest_chat(chat))
        return [*hinted, *([moved.name] if moved else []), *usual]

    async def _async_fetch_from(self, places: list[str], chat: str) -> bool:
        asked = {self._app.name}
        while places and len(asked) <= const.MAX_ASKED:
            name = places.pop(0)
            instance = self._find_other(name)
            if name in asked or instance is None:
                continue
            asked.add(name)
            reply = await async_ask(
                links=self._links, instance=instance, path=const.PATH_EXPORT, chat=chat
            )
            if reply is None:
                continue
            if reply.status == const.HTTP_SEE_OTHER:
                places.insert(0, reply.place)
            elif reply.status == const.HTTP_OK:
                return await self._client.async_import(chat, reply.body)
        return False

    def _find_other(self, name: str) -> Instance | None:
        return None if name == self._app.name else self._fleet.get(name)

    async def _async_tell(self, home: Instance, news: PrefixAnnouncement) -> None:
        await self._links.async_send(instance=home, notice=news)

    def _take_news(self, peer: Peer, news: PrefixAnnouncement) -> None:
        moved = Moved(name=peer.hello.name, prompt_bytes=news.prompt_bytes)
        self._moved.note(news.chat, moved)

    async def _async_export(self, request: Open, answer: Answer) -> None:
        """Answer with the cached prefix, or with the place that holds more of it."""
        moved = self._moved.find(digest_chat(request.chat))
        above = self._held.get(request.chat) + const.MIN_FETCH_BYTES
        exported = None
        if moved is None or moved.prompt_bytes < above:
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
        self._held.note(request.chat, request.prompt_bytes)
        await _async_answer(answer, const.HTTP_OK)

    async def _async_follow(self) -> None:
        while True:
            await self._app.clock.async_sleep(const.EVENTS_MS)
            for evicted in await self._client.async_list_evicted():
                evicted_bytes = evicted.tokens * const.BYTES_PER_TOKEN
                self._held.note_evicted(evicted.chat, evicted_bytes)

    def _dump(self) -> dict[str, object]:
        return {
            "held_chats": len(self._held),
            "moved_chats": len(self._moved),
            "handed_on": self._hand_on.count,
        }


def digest_chat(chat: str) -> int:
    """Return the number that stands for a chat in news."""
    return xxhash.xxh64_intdigest(chat.encode())


async def _async_answer(
    answer: Answer, status: int, *, body: bytes = b"", headers: Headers = ()
) -> None:
    answer.head(Head(status=status, headers=headers))
    if body:
        await answer.async_write(body)
    answer.end()
