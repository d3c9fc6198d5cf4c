"""The policy in force, compiled from each new configuration without blocking the event loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from gypsumrouter.configuration import ConfigurationStore
from gypsumrouter.configuration.models import Configuration
from gypsumrouter.const import UpstreamKind
from gypsumrouter.core import Application
from gypsumrouter.policy import Policy

_LOGGER = logging.getLogger(__name__)


class CompiledPolicy:
    """A policy with the names that the gateway looks up for each request."""

    __slots__ = ("class_names", "configuration", "model_names", "policy")

    def __init__(self, *, configuration: Configuration, policy: Policy) -> None:
        self.configuration = configuration
        self.policy = policy
        self.class_names = frozenset(entry.name for entry in configuration.classes)
        # A dict, because it preserves the order of the configuration.
        self.model_names = dict.fromkeys(
            model
            for pool in configuration.pools
            if pool.kind is UpstreamKind.ENGINE
            for model in pool.models
        )


class PolicyHolder:
    """Holds the latest compiled policy; `current` is None before the first configuration."""

    __slots__ = ("_app", "_changed", "_on_change", "_store", "current")

    def __init__(
        self,
        *,
        app: Application,
        store: ConfigurationStore,
        on_change: Callable[[Configuration], None],
    ) -> None:
        self._app = app
        self._store = store
        self._on_change = on_change
        self._changed = asyncio.Event()
        self.current: CompiledPolicy | None = None

    def async_start(self) -> None:
        """Compile the current configuration and every later one."""
        self._store.on_change(lambda configuration: self._changed.set())
        self._changed.set()
        self._app.async_create_task(self._async_compile_changes(), "gateway policy")

    async def _async_compile_changes(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            configuration = self._store.current
            if configuration.version == 0:
                continue
            policy = await Policy.async_compile(configuration)
            self.current = CompiledPolicy(configuration=configuration, policy=policy)
            self._on_change(configuration)
            _LOGGER.debug(
                "Configuration version %d is compiled and in force", configuration.version
            )
