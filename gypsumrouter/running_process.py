"""The running product of one process, whatever its role."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from msgspec import Struct

from gypsumrouter.core import Application, Remove
from gypsumrouter.instances import Address


class Versions(Protocol):
    """Holds the configuration in force."""

    ready: asyncio.Event

    def on_change(self, listener: Callable[[Any], None]) -> Remove:
        """Call `listener` for each version that comes into force."""


class RunningProcess(Struct, kw_only=True):
    """The application of one process and its bound addresses.

    `reload` is called where the settings file may have changed.
    """

    app: Application
    store: Versions
    addresses: dict[str, Address]
    is_ready: Callable[[], bool]
    list_running: Callable[[], list[str]]
    reload: Callable[[], None] | None = None
