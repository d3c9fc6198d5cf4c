"""Data classes for the state of an engine, orders and changes."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

from msgspec import Struct, field
from msgspec.structs import replace


class OrderKind(StrEnum):
    """Kind of an order."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class Order(Struct, frozen=True, kw_only=True):
    """One order to an engine; `source` is a neighbouring engine, empty for the weight store."""

    kind: OrderKind
    name: str = ""
    version: str = ""
    role: str = ""
    source: str = ""


class EngineState(Struct, frozen=True, kw_only=True):
    """State of an engine by name: held and pending versions, and reasons of failed loads."""

    models: Mapping[str, str]
    role: str = ""
    pending: Mapping[str, str] = field(default_factory=dict)
    failures: Mapping[str, str] = field(default_factory=dict)

    def holds(self, name: str, version: str) -> bool:
        """Return whether a version is held; an engine without versions matches any."""
        return name in self.models and self.models[name] in ("", version)


class Done(Struct, frozen=True, kw_only=True):
    """The engine has executed the order, or was already in the requested state."""


class Accepted(Struct, frozen=True, kw_only=True):
    """The engine has started to load."""


class StaleFence(Struct, frozen=True, kw_only=True):
    """The engine has seen a higher fencing number, so another process sends it orders."""

    highest: int


class NotSent(Struct, frozen=True, kw_only=True):
    """The order was never sent."""

    reason: str


class Indeterminate(Struct, frozen=True, kw_only=True):
    """The order may or may not have been executed: no response, or an unexpected status."""

    reason: str


Submission = Done | Accepted | StaleFence | NotSent | Indeterminate


class Change(Struct, frozen=True, kw_only=True):
    """One step of an engine towards its desired state.

    New requests for the models in `withdraws` are rejected and running ones are drained first.
    Then the models in `drops` are unloaded.
    """

    kind: OrderKind
    name: str = ""
    version: str = ""
    role: str = ""
    drops: tuple[str, ...] = ()
    withdraws: tuple[str, ...] = ()
    reason: str = ""

    @property
    def replaces(self) -> bool:
        """Return whether the change replaces another version of the same model."""
        return self.kind is OrderKind.LOAD and self.name in self.withdraws

    @property
    def skips_settling(self) -> bool:
        """Return whether it depends on the configuration only, so it starts without settling."""
        return self.replaces or self.kind is OrderKind.SET_ROLE


def is_same_step(one: Change | None, other: Change | None) -> bool:
    """Return whether two changes are equal except for their reasons."""
    if one is None or other is None:
        return one is other
    return replace(one, reason="") == replace(other, reason="")


class Result(StrEnum):
    """How a change ended."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    ABANDONED = "abandoned"


class ChangeOutcome(Struct, frozen=True, kw_only=True):
    """The outcome of a change; `source` is the source of the load."""

    result: Result
    reason: str = ""
    source: str = ""
