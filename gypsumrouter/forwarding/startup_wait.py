"""Wait of requests for the data that the process loads at startup."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

from gypsumrouter.const import MS_PER_S
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.models import CallerRequest
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.refusals import DEFAULT_TIMEOUT_MS
from gypsumrouter.routing import RoutingStore

_LOGGER = logging.getLogger(__name__)

# How long requests wait at startup until the configuration, the upstream list and the inventory of
# cached prompts have been loaded.
# That takes 10 to 50 ms where the store responds, and 50 ms more for the listings of the engines.
STARTUP_WAIT_MS: Final = 300


class StartupWait:
    """Holds requests for a limited time until the startup data that they need is loaded."""

    __slots__ = ("_inventory_loaded", "_loaded", "_placer")

    def __init__(
        self,
        *,
        routing: RoutingStore,
        directory: Directory,
        placer: Placer,
        inventory_loaded: asyncio.Event,
    ) -> None:
        self._loaded = (routing.ready, directory.loaded)
        self._placer = placer
        self._inventory_loaded = inventory_loaded

    async def async_wait(self, caller_request: CallerRequest) -> None:
        """Wait a limited time for the data that a request needs."""
        awaited = (
            self._loaded
            if self._can_place_without_inventory(caller_request)
            else (*self._loaded, self._inventory_loaded)
        )
        if all(event.is_set() for event in awaited):
            return
        timeout_ms = min(STARTUP_WAIT_MS, (caller_request.deadline_ms or DEFAULT_TIMEOUT_MS) // 3)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                for event in awaited:
                    await event.wait()
        except TimeoutError:
            _LOGGER.debug(
                "Startup data not loaded within the wait limit; continuing with request %s",
                caller_request.request_id,
            )

    def _can_place_without_inventory(self, caller_request: CallerRequest) -> bool:
        """Return whether a request has no prompt, or an upstream that caches it is known."""
        return caller_request.prompt is None or self._placer.is_cached(caller_request.prompt)
