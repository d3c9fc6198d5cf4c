"""What was decided of a placement, and what was noted of it, as values."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.directory import Entry


class Placement(Struct, frozen=True, kw_only=True):
    """The chosen upstream and the inputs that decided it.

    `probably_cached` is a prompt of which this router knows nothing at the first of its order, where
    routers that know it send it: right after a start that is nearly always where it is cached.
    """

    entry: Entry
    load: int
    mean_load: float
    missing_tokens: int
    candidates: int
    pending_tokens: int = 0
    fetch_from: Entry | None = None
    probably_cached: bool = False


class CopySource(Struct, frozen=True, kw_only=True):
    """An upstream from which cached parts can be copied, and what it lacks itself."""

    entry: Entry
    missing_tokens: int


class SentRequest(Struct, frozen=True, kw_only=True):
    """What was noted of a request: prompt tokens to read, and parts new to its upstream.

    `uncontended` says that its prompt is the only one that is to be read there, and nothing is copied.
    """

    upstream: str
    tokens: int
    new_parts: tuple[int, ...]
    sent_ms: int = 0
    uncontended: bool = False
