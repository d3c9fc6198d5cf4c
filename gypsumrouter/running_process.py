"""Handle of a started process of any role."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from msgspec import Struct

from gypsumrouter.core import Application, Remove
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal


class ObservableStore(Protocol):
    """Store of the current configuration; `ready` is set once there is one."""

    ready: asyncio.Event

    def on_change(self, listener: Callable[[Any], None]) -> Remove:
        """Call `listener` with each configuration version that takes effect."""


class RunningProcess(Struct, kw_only=True):
    """The application of one process, its bound addresses and its state queries.

    `list_running` returns the ids of the requests in progress. `reload` checks the settings file
    for changes and applies them; it is None if the process has no reloadable settings. `journal`
    is None if the process has none. `get_drain_limit_ms` returns the time limit of
    a drain; it is None if the settings have it.
    """

    app: Application
    store: ObservableStore
    addresses: dict[str, Address]
    is_ready: Callable[[], bool]
    list_running: Callable[[], list[str]]
    reload: Callable[[], None] | None = None
    journal: Journal | None = None
    get_drain_limit_ms: Callable[[], int] | None = None
