"""What an engine is read and ordered, as values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class OrderKind(StrEnum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


@dataclass(slots=True, kw_only=True, frozen=True)
class Order:
    """One order to an engine; `source` is a neighbouring engine, empty for the weight store."""

    kind: OrderKind
    name: str = ""
    version: str = ""
    role: str = ""
    source: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineState:
    """What an engine says that it holds and loads, by name; `failures` are reasons of the last."""

    models: Mapping[str, str]
    role: str = ""
    pending: Mapping[str, str] = field(default_factory=dict)
    failures: Mapping[str, str] = field(default_factory=dict)

    def holds(self, name: str, version: str) -> bool:
        """Return whether a version is held; an engine that names no versions holds any."""
        return name in self.models and self.models[name] in ("", version)


@dataclass(slots=True, kw_only=True, frozen=True)
class Done:
    """The engine has carried an order out, or holds already what was asked for."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Begun:
    """The engine has begun to load."""


@dataclass(slots=True, kw_only=True, frozen=True)
class OldFence:
    """The engine knows a higher fencing number: another process gives it orders."""

    highest: int


@dataclass(slots=True, kw_only=True, frozen=True)
class NotGiven:
    """The order was never sent."""

    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Unclear:
    """The order may or may not have reached the engine, or was not understood."""

    reason: str


Given = Done | Begun | OldFence | NotGiven | Unclear


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """The next step of an engine towards what it is to hold.

    `drops` are unloaded first. Requests for `withdraws` are turned away and finished before.
    """

    kind: OrderKind
    name: str = ""
    version: str = ""
    role: str = ""
    drops: tuple[str, ...] = ()
    withdraws: tuple[str, ...] = ()
    reason: str = field(default="", compare=False)

    @property
    def replaces(self) -> bool:
        """Return whether another version of the same model is held until then."""
        return self.kind is OrderKind.LOAD and self.name in self.withdraws

    @property
    def is_prompt(self) -> bool:
        """Return whether the configuration alone calls for it, so that it need not settle."""
        return self.replaces or self.kind is OrderKind.SET_ROLE


class Result(StrEnum):
    """How a change ended."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    ABANDONED = "abandoned"


@dataclass(slots=True, kw_only=True, frozen=True)
class Ending:
    """The end of a change; `source` is where the load came from."""

    result: Result
    reason: str = ""
    source: str = ""
