"""Handoff of cached prefixes to other engines before a planned stop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from gypsumrouter.const import MS_PER_S
from gypsumrouter.core import Application
from gypsumrouter.fleet import Instance
from gypsumrouter.placement import MemberTable, hash_chat
from gypsumrouter.prefixes.const import (
    HANDOFF_TIMEOUT_MS,
    HTTP_OK,
    MAX_CONCURRENT_HANDOFFS,
    MAX_HANDOFF_CHATS,
    PATH_IMPORT,
)
from gypsumrouter.prefixes.engine import CacheClient
from gypsumrouter.prefixes.peers import Links, async_request

_LOGGER = logging.getLogger(__name__)


class PrefixHandoff:
    """Transfer the cached prefixes of idle chats to the engines that will serve them next.

    `list_chats` returns up to the given number of idle chats, most recently served first. Chats
    that are running when the stop begins are transferred when their runs have ended.
    """

    __slots__ = (
        "_app",
        "_attempted",
        "_client",
        "_handoffs",
        "_links",
        "_list_chats",
        "_list_members",
        "count",
    )

    def __init__(
        self,
        *,
        app: Application,
        list_members: Callable[[], tuple[Instance, ...]],
        links: Links,
        client: CacheClient,
        list_chats: Callable[[int], list[str]],
    ) -> None:
        self._app = app
        self._list_members = list_members
        self._links = links
        self._client = client
        self._list_chats = list_chats
        self._attempted: set[str] = set()
        self.count = 0
        self._handoffs = app.metrics.counter(
            "gypsumrouter_prefix_handed_on_total", "Prefixes handed on before a planned stop"
        )

    def start(self) -> None:
        """Start to wait for a planned stop."""
        self._app.on_drain(self._async_drain)
        self._app.async_create_task(self._async_run(), "prefix handoff")

    async def _async_run(self) -> None:
        await self._app.stopping.wait()
        await self._async_hand_off_idle()

    async def _async_drain(self) -> None:
        """Transfer the chats of the last runs; all runs have ended when this hook is called."""
        try:
            async with asyncio.timeout(HANDOFF_TIMEOUT_MS / MS_PER_S):
                await self._async_hand_off_idle()
        except TimeoutError:
            _LOGGER.info(
                "Handoff of prefixes reached its time limit after %d prefixes; the others are "
                "prefilled again at their next engines",
                self.count,
            )

    async def _async_hand_off_idle(self) -> None:
        others = tuple(item for item in self._list_members() if item.name != self._app.name)
        if not others:
            return
        table = MemberTable(members=others)
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_HANDOFFS)
        chats = self._list_chats(MAX_HANDOFF_CHATS)
        await asyncio.gather(*(self._async_hand_off(semaphore, table, chat) for chat in chats))

    async def _async_hand_off(
        self, semaphore: asyncio.Semaphore, table: MemberTable, chat: str
    ) -> None:
        async with semaphore:
            if chat in self._attempted:
                return
            self._attempted.add(chat)
            exported = await self._client.async_export(chat)
            if exported is None:
                return
            workspace, _, name = chat.partition("/")
            target = table.rank(key=hash_chat(workspace=workspace, chat=name), limit=1)[0]
            reply = await async_request(
                links=self._links, instance=target, path=PATH_IMPORT, chat=chat, body=exported
            )
        if reply is not None and reply.status == HTTP_OK:
            self.count += 1
            self._handoffs.inc()
