"""Input and result of a policy decision."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.configuration import CallerClass, Pool
from gypsumrouter.const import UpstreamKind


class RequestFacts(Struct, frozen=True, kw_only=True):
    """The request attributes that rules can match.

    `caller_class` is the class requested by the caller, or empty. `service` and `path` apply to
    service calls, `model` and `returning` to chats.
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
    """The result for one request; `rule` is None if no rule matched.

    The limits come from the rule only; those of the workspace apply in addition.
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
    """A rule that did not match, with its first condition that failed."""

    rule: str
    condition: str
    needed: str
    found: str


class Explanation(Struct, frozen=True, kw_only=True):
    """A decision with the earlier rules that did not match."""

    decision: Decision
    misses: tuple[Miss, ...]
