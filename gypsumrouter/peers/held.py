"""What engines hold, handed on to routers that start."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import xxhash

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.forwarding.cache_index import CacheIndex
from gypsumrouter.journal import HeldPartsTold, Journal
from gypsumrouter.link import HeldAt, HeldNews, HeldWanted, Notice, NoticeHub, Peer

# A peer that lives answers within a few milliseconds. Peers that start at the same moment listen
# up to 60 ms later than this one; routers that are no seeds ask them again at this distance.
ASK_AGAIN_MS: Final = 30
# The next seed is asked when the one before it has not answered: an answer may take 40 KB.
ASK_NEXT_MS: Final = 40
SEED_PATIENCE_MS: Final = 100
# A router that is no seed waits for the seeds to ask the engines: machines that get their power
# back start within half a second of each other. Requests do not wait for it that long.
OTHER_PATIENCE_MS: Final = 800
# Routers that wait for an answer; a fleet has at most some hundreds.
MAX_WANTING: Final = 1_000

SendTo = Callable[[str, Notice], Awaitable[bool]]
ToldListener = Callable[[str], None]


class HeldDesk:
    """Asks the seeds what engines hold, tells them what this router found, and answers others.

    Each engine is asked by one seed, in turn through the list of engines; the others take over one
    after the other where that one is away. All other routers ask the seeds.
    """

    __slots__ = (
        "_app",
        "_complete",
        "_holdings",
        "_informed",
        "_journal",
        "_knows_little",
        "_list_seeds",
        "_listed",
        "_none_knows_all",
        "_own",
        "_send",
        "_told",
        "_wanting",
    )

    def __init__(
        self,
        *,
        app: Application,
        journal: Journal,
        notices: NoticeHub,
        holdings: CacheIndex,
        own: Callable[[], str],
        list_seeds: Callable[[], tuple[str, ...]],
        send: SendTo,
    ) -> None:
        self._app = app
        self._journal = journal
        self._holdings = holdings
        self._own = own
        self._list_seeds = list_seeds
        self._send = send
        self._informed = False
        self._complete = asyncio.Event()
        # Seeds that could not be reached, and names of routers that do not know all yet.
        self._knows_little: set[str] = set()
        self._none_knows_all = asyncio.Event()
        self._wanting: list[Peer] = []
        # Engines of which all is known that they held.
        self._listed: set[str] = set()
        self._told: ToldListener = lambda upstream: None
        notices.subscribe(HeldWanted, self._answer)
        notices.subscribe(HeldNews, self._take)

    def on_told(self, listener: ToldListener) -> None:
        """Call `listener` with each engine of which a peer told what it holds."""
        self._told = listener

    @property
    def complete(self) -> asyncio.Event:
        """Return the event that is set once a peer told of all engines."""
        return self._complete

    async def async_ask(self) -> bool:
        """Return whether a peer told of all engines within the time that one may wait for it."""
        others = self._list_others()
        if not others:
            return False
        if len(others) < len(self._list_seeds()):
            return await self._async_ask_as_seed(others)
        return await self._async_ask_as_other(others)

    async def _async_ask_as_seed(self, others: list[str]) -> bool:
        """Ask all at once, and no longer than until all have said that they do not know all."""
        asking = [self._app.async_create_task(self._async_ask_seed(s), "ask held") for s in others]
        ended = [
            asyncio.ensure_future(event.wait()) for event in (self._complete, self._none_knows_all)
        ]
        await asyncio.wait(
            ended, timeout=SEED_PATIENCE_MS / MS_PER_S, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (*asking, *ended):
            task.cancel()
        return self._complete.is_set()

    async def _async_ask_seed(self, seed: str) -> None:
        if not await self._send(seed, HeldWanted()):
            self._note_knows_little(seed)

    async def _async_ask_as_other(self, others: list[str]) -> bool:
        """Ask one after the other, and wait until the seeds know."""
        others.sort(key=lambda seed: _hash(self._own(), seed))
        asking = [
            self._app.async_create_task(self._async_ask(seed, turn * ASK_NEXT_MS), "ask held")
            for turn, seed in enumerate(others)
        ]
        try:
            async with asyncio.timeout(OTHER_PATIENCE_MS / MS_PER_S):
                await self._complete.wait()
        except TimeoutError:
            return False
        finally:
            for task in asking:
                task.cancel()
        return True

    def rank(self, position: int) -> int:
        """Return how many routers ask the engine at a position of the list before this one."""
        own = self._own()
        seeds = sorted(self._list_seeds())
        if own not in seeds:
            return len(seeds)
        return (position + seeds.index(own)) % len(seeds)

    async def async_share(self, upstream: str, parts: tuple[int, ...]) -> None:
        """Tell the other seeds, and all that asked, what an engine holds."""
        self._listed.add(upstream)
        news = HeldNews(complete=False, engines=(HeldAt(upstream=upstream, parts=parts),))
        for peer in self._wanting:
            peer.send(news)
        await asyncio.gather(*(self._send(seed, news) for seed in self._list_others()))

    def note_informed(self) -> None:
        """Note that this router knows of all engines, and tell those that wait for it."""
        self._informed = True
        wanting, self._wanting = self._wanting, []
        for peer in wanting:
            peer.send(self._make_news())

    def _list_others(self) -> list[str]:
        own = self._own()
        return [seed for seed in self._list_seeds() if seed != own]

    async def _async_ask(self, seed: str, delay_ms: int) -> None:
        await self._app.clock.async_sleep(delay_ms)
        while not await self._send(seed, HeldWanted()):
            await self._app.clock.async_sleep(ASK_AGAIN_MS)

    def _answer(self, peer: Peer, wanted: HeldWanted) -> None:
        if self._informed:
            peer.send(self._make_news())
            return
        peer.send(self._make_news(only=self._listed))
        if len(self._wanting) < MAX_WANTING:
            self._wanting.append(peer)

    def _note_knows_little(self, router: str) -> None:
        self._knows_little.add(router)
        if len(self._knows_little) >= len(self._list_others()):
            self._none_knows_all.set()

    def _make_news(self, *, only: set[str] | None = None) -> HeldNews:
        """Return what all engines hold, or what `only` those hold of which all is known."""
        held = self._holdings.list_cached(now_ms=self._app.clock.now_ms())
        engines = tuple(
            HeldAt(upstream=name, parts=parts)
            for name, parts in held.items()
            if only is None or name in only
        )
        return HeldNews(complete=only is None, engines=engines)

    def _take(self, peer: Peer, news: HeldNews) -> None:
        now_ms = self._app.clock.now_ms()
        for engine in news.engines:
            for part in engine.parts:
                self._holdings.note_cached(part=part, upstream=engine.upstream, now_ms=now_ms)
            self._listed.add(engine.upstream)
            self._told(engine.upstream)
        self._journal.record(
            HeldPartsTold(
                peer=peer.hello.name,
                engines=len(news.engines),
                parts=sum(len(engine.parts) for engine in news.engines),
                complete=news.complete,
            )
        )
        if news.complete:
            self._complete.set()
        else:
            self._note_knows_little(peer.hello.name)


def _hash(upstream: str, seed: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{upstream}/{seed}".encode())
