"""Values of a placement: the decision, the source of a cache copy and the request as sent."""

from __future__ import annotations

from msgspec import Struct

from gypsumrouter.directory import Entry
from gypsumrouter.forwarding.engine_memory import HeldTokens


class Placement(Struct, frozen=True, kw_only=True):
    """The chosen upstream and the inputs of the decision.

    `probably_cached` is set shortly after a router's start, if no engine is known to have the
    prompt cached and it goes to the first upstream of its rendezvous order: other routers send it
    there too, so it is most likely in that cache.
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
    """An upstream from which cached prompt parts can be copied; `missing_tokens` are not cached."""

    entry: Entry
    missing_tokens: int


class SentRequest(Struct, frozen=True, kw_only=True):
    """A request as it was sent: prompt tokens to prefill, and parts not cached there before.

    `uncontended` is set if no other prompt waits for prefill at the upstream and nothing is copied,
    so that the time to the first event measures the prefill speed. `awaited` identifies the request
    while its upstream has not responded. `held` is what it holds in the engine's memory, if that is
    counted. `shared_part` is the last shared part of its prompt.
    """

    upstream: str
    tokens: int
    new_parts: tuple[int, ...]
    sent_ms: int = 0
    uncontended: bool = False
    awaited: int = 0
    held: HeldTokens | None = None
    shared_part: int | None = None
