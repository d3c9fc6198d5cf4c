"""How far one request is, for all that take part in it."""

from __future__ import annotations

from msgspec import Struct, field

from gypsumrouter.forwarding.models import Whole


class Progress(Struct, kw_only=True):
    """How far a request is.

    `ran_on` are the upstreams that may have run it, `in_doubt` says that one has it now, and
    `kept_answer` is a failure of an upstream that is passed on if no other one does better.
    """

    arrived_ms: int
    deadline_at_ms: int
    attempts: int = 0
    not_reached: int = 0
    turned_away: int = 0
    ran_on: list[str] = field(default_factory=list)
    passed_over: set[str] = field(default_factory=set)
    upstream: str = ""
    first_byte_ms: int = -1
    bytes_out: int = 0
    outcome: str = ""
    in_doubt: bool = False
    kept_answer: Whole | None = None
