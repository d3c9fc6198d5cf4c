"""Interfaces that orders require from other parts of a side."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gypsumrouter.core import Remove
from gypsumrouter.fleet import Instance, InstanceList
from gypsumrouter.link.models import Notice


class Membership(Protocol):
    """The instance list, and the instances that this process considers present."""

    def peers(self) -> tuple[Instance, ...]:
        """Return every other instance."""

    def on_list(self, listener: Callable[[InstanceList], None]) -> Remove:
        """Register a listener for every accepted list, in order."""

    def on_confirmed(self, listener: Callable[[int], None]) -> Remove:
        """Register a listener for the time at which the list was still unchanged."""


class Sender(Protocol):
    """The links to other processes."""

    async def async_send(self, *, instance: Instance, notice: Notice) -> bool:
        """Send a notice; return False if the instance cannot be reached."""


class ServedModels(Protocol):
    """The models for which the engine accepts requests."""

    @property
    def held_models(self) -> tuple[str, ...]:
        """Return the models that the engine held at the last poll."""

    def withdraw(self, names: frozenset[str]) -> None:
        """Reject new requests for exactly these models; earlier withdrawals end."""
