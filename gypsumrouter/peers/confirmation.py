"""Confirms the list of upstreams up to now: by the store, or by a router that asks the store."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Collection
from functools import partial
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.link import CatchUpRequest, ListedUpstreams, Notice, NoticeHub, Peer
from gypsumrouter.peers.catch_up import CatchUpCoordinator
from gypsumrouter.peers.routers import RouterRegistry
from gypsumrouter.peers.watchers import WatchCoordinator
from gypsumrouter.published import ListConfirmation, WatchState
from gypsumrouter.util.shared_call import SharedCall

CONFIRM_TIMEOUT_MS: Final = 150
# The second way is tried once the first has taken longer than a few round trips.
SECOND_WAY_MS: Final = 50
# Routers that are asked where the store can't be reached.
ASKED: Final = 2
# Routers that are asked in place of the watchers.
SUBSTITUTES: Final = 2
# Routers that have lost their watchers ask the store 500 times a second together.
INTERVAL_MS_PER_ROUTER: Final = 2
NEVER_MS: Final = -(1 << 62)

SendTo = Callable[[str, Notice], Awaitable[bool]]


class ListConfirmer:
    """Finds out whether this router knows all upstreams that were listed when it was asked.

    A router that watches the store asks that, and other routers if it does not answer. All others
    ask the watchers of their data centre, so that the questions to the store do not grow with the
    fleet, and those that take over from these if they do not answer. A router that is asked by
    another one asks the store, and answers with its changes of the list.
    """

    __slots__ = (
        "_app",
        "_asked_store_ms",
        "_catch_up",
        "_directory",
        "_list",
        "_numbers",
        "_routers",
        "_runs",
        "_send",
        "_store",
        "_waiting",
        "_watch",
    )

    def __init__(
        self,
        *,
        app: Application,
        routers: RouterRegistry,
        notices: NoticeHub,
        directory: Directory,
        upstreams: WatchState,
        catch_up: CatchUpCoordinator,
        watch: WatchCoordinator,
        store: ListConfirmation,
        send: SendTo,
    ) -> None:
        self._app = app
        self._routers = routers
        self._directory = directory
        self._list = upstreams
        self._catch_up = catch_up
        self._watch = watch
        self._store = store
        self._send = send
        self._asked_store_ms = NEVER_MS
        self._numbers = itertools.count(1)
        # Requests that no router has answered, by their number.
        self._waiting: dict[int, asyncio.Future[bool]] = {}
        self._runs = SharedCall(
            start=app.async_create_task, call=self._async_confirm, name="confirm the list"
        )
        notices.subscribe(CatchUpRequest, self._handle_request)
        # Behind the catch-up, which has merged the changes by then.
        notices.subscribe(ListedUpstreams, self._handle_upstreams)

    @property
    def unanswered(self) -> int:
        """Return the number of requests to other routers that wait for an answer."""
        return len(self._waiting)

    async def async_confirm(self) -> bool:
        """Return whether all that was listed when this was called is known here."""
        return await self._async_bound(self._runs.async_join(), CONFIRM_TIMEOUT_MS)

    async def _async_bound(self, found: Awaitable[bool], limit_ms: int) -> bool:
        """Return what is found out within a time, False if that is not known by then."""
        finding = asyncio.ensure_future(found)
        timer = asyncio.ensure_future(self._app.clock.async_sleep(limit_ms))
        try:
            await asyncio.wait((finding, timer), return_when=asyncio.FIRST_COMPLETED)
            return finding.done() and finding.result()
        finally:
            finding.cancel()
            timer.cancel()

    async def _async_confirm(self) -> bool:
        """Try the first way, and the second one beside it unless it has succeeded soon."""
        if self._list.as_of is None:
            return False
        watchers = self._watch.list_watchers()
        first, second = self._store.async_confirm, self._async_ask_any
        if self._routers.own_address not in watchers:
            first, second = partial(self._async_ask, watchers), self._async_replace_watchers
        task = asyncio.ensure_future(first())
        try:
            if await self._async_bound(asyncio.shield(task), SECOND_WAY_MS):
                return True
            return await self._async_bound(
                self._async_find_any(task, second()), CONFIRM_TIMEOUT_MS - SECOND_WAY_MS
            )
        finally:
            task.cancel()

    async def _async_find_any(self, *ways: Awaitable[bool]) -> bool:
        """Return whether one of several ways succeeds; the others are given up then."""
        tasks = [asyncio.ensure_future(way) for way in ways]
        try:
            for result in asyncio.as_completed(tasks):
                if await result:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _async_replace_watchers(self) -> bool:
        """Ask the routers that take over the watch, and at times the store."""
        in_order = self._watch.list_watchers(more=SUBSTITUTES)
        substitutes = in_order[len(self._watch.list_watchers()) :]
        others = [address for address in substitutes if address != self._routers.own_address]
        return await self._async_find_any(self._async_ask(others), self._async_ask_store())

    async def _async_ask_store(self) -> bool:
        """Ask the store unless this was done lately: all routers may do so at once."""
        now_ms = self._app.clock.now_ms()
        if now_ms - self._asked_store_ms < INTERVAL_MS_PER_ROUTER * self._routers.count_alive():
            return False
        self._asked_store_ms = now_ms
        return await self._store.async_confirm()

    async def _async_ask_any(self) -> bool:
        return await self._async_ask(self._routers.rank(key=random.getrandbits(64), count=ASKED))

    async def _async_ask(self, addresses: Collection[str]) -> bool:
        """Ask routers to confirm the list; return whether one of them has done so."""
        number = next(self._numbers)
        sent_ms = self._app.clock.now_ms()
        since = self._catch_up.get_list_as_of()
        request = CatchUpRequest(routing=False, upstreams=True, since=since, confirm=number)
        answered: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting[number] = answered
        sending = asyncio.ensure_future(self._async_send_all(addresses, request, answered))
        try:
            is_confirmed = await answered
        finally:
            sending.cancel()
            del self._waiting[number]
        if is_confirmed:
            self._list.note_confirmed(sent_ms)
        return is_confirmed

    async def _async_send_all(
        self, addresses: Collection[str], request: CatchUpRequest, answered: asyncio.Future[bool]
    ) -> None:
        """Send a request to all of these routers; without one that gets it, it is answered."""
        sent = await asyncio.gather(*(self._send(address, request) for address in addresses))
        if not any(sent) and not answered.done():
            answered.set_result(False)

    def _handle_request(self, peer: Peer, request: CatchUpRequest) -> None:
        if request.confirm:
            self._app.async_create_task(self._async_answer(peer, request), "confirm for a peer")

    async def _async_answer(self, peer: Peer, request: CatchUpRequest) -> None:
        if not await self._store.async_confirm() or self._directory.in_grace_period:
            return
        peer.send(self._catch_up.list_changes(request.since, confirms=request.confirm))

    def _handle_upstreams(self, _peer: Peer, message: ListedUpstreams) -> None:
        answered = self._waiting.get(message.confirms)
        if answered is not None and not answered.done():
            answered.set_result(True)
