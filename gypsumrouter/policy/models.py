"""What a decision is made from, and what comes out of it."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.configuration import CallerClass, Pool
from gypsumrouter.const import UpstreamKind


class RequestFacts(Struct, frozen=True, kw_only=True):
    """What rules may look at; `caller_class` is the class that the caller asked for, or empty.

    `service` and `path` are those of a service call, `model` and `returning` those of a chat.
    """

    workspace: str
    kind: UpstreamKind
    wall_ms: int
    caller_class: str = ""
    model: str = ""
    service: str = ""
    method: str = ""
    path: str = ""
    size_bytes: int = 0
    returning: bool = False
    data_centre: str = ""


class Decision(Struct, frozen=True, kw_only=True):
    """What follows for one request; `rule` is None where no rule matched.

    The limits are those of the rule alone; the workspace's own hold beside them.
    """

    rule: str | None
    caller_class: CallerClass
    pool: Pool | None
    next_pool: Pool | None = None
    max_output_tokens: int | None = None
    concurrent: int | None = None
    requests_per_s: float | None = None
    deadline_ms: int | None = None
    refuse: str | None = None
    retry_after_ms: int | None = None


class Miss(Struct, frozen=True, kw_only=True):
    """An earlier rule that did not match, and the first of its conditions that did not hold."""

    rule: str
    condition: str
    needed: str
    found: str


class Explanation(Struct, frozen=True, kw_only=True):
    """A decision with the rules that came before the one that counted."""

    decision: Decision
    misses: tuple[Miss, ...]
