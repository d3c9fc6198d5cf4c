"""What an engine is read and ordered, as values."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

from msgspec import Struct, field
from msgspec.structs import replace


class OrderKind(StrEnum):
    """What an order asks for."""

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
    """What an engine says that it holds and loads, by name; `failures` are reasons of the last."""

    models: Mapping[str, str]
    role: str = ""
    pending: Mapping[str, str] = field(default_factory=dict)
    failures: Mapping[str, str] = field(default_factory=dict)

    def holds(self, name: str, version: str) -> bool:
        """Return whether a version is held; an engine that names no versions holds any."""
        return name in self.models and self.models[name] in ("", version)


class Done(Struct, frozen=True, kw_only=True):
    """The engine has carried an order out, or holds already what was asked for."""


class Accepted(Struct, frozen=True, kw_only=True):
    """The engine has begun to load."""


class StaleFence(Struct, frozen=True, kw_only=True):
    """The engine knows a higher fencing number: another process gives it orders."""

    highest: int


class NotSent(Struct, frozen=True, kw_only=True):
    """The order was never sent."""

    reason: str


class Indeterminate(Struct, frozen=True, kw_only=True):
    """The order may or may not have reached the engine, or was not understood."""

    reason: str


Submission = Done | Accepted | StaleFence | NotSent | Indeterminate


class Change(Struct, frozen=True, kw_only=True):
    """The next step of an engine towards what it is to hold.

    `drops` are unloaded first. Requests for `withdraws` are turned away and finished before.
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
        """Return whether another version of the same model is held until then."""
        return self.kind is OrderKind.LOAD and self.name in self.withdraws

    @property
    def skips_settling(self) -> bool:
        """Return whether the configuration alone calls for it, so that it need not settle."""
        return self.replaces or self.kind is OrderKind.SET_ROLE


def is_same_step(one: Change | None, other: Change | None) -> bool:
    """Return whether two changes do the same, for whatever reason."""
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
    """The end of a change; `source` is where the load came from."""

    result: Result
    reason: str = ""
    source: str = ""
