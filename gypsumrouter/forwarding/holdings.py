"""Which upstream has which part of a prompt in its cache, as far as this router knows."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from gypsumrouter.forwarding.models import PromptPart

# A part that nobody asked for within this time counts as evicted: an engine of 655,000 tokens that
# reads 15,000 new tokens a second turns its cache over in about 40 s.
CACHE_TTL_MS: Final = 40_000
MAX_PARTS: Final = 20_000
# A part can be copied from an engine once it was read there: 0.12 s for ten thousand tokens, and as
# much again for what was read before it.
COPY_READY_MS: Final = 400


class CacheIndex:
    """Remembers where parts were read, from this router's own placements and its peers' news."""

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        # For each part and upstream: when it was first and last sent there.
        self._parts: OrderedDict[int, dict[str, tuple[int, int]]] = OrderedDict()

    def note(self, *, part: int, upstream: str, now_ms: int) -> bool:
        """Note that an upstream has read, or is about to read, a part; return whether it is new."""
        holders = self._parts.get(part)
        if holders is None:
            holders = self._parts[part] = {}
            if len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
        else:
            self._parts.move_to_end(part)
        noted = holders.get(upstream)
        new = noted is None or now_ms - noted[1] >= CACHE_TTL_MS
        holders[upstream] = (now_ms if noted is None or new else noted[0], now_ms)
        return new

    def note_cached(self, *, part: int, upstream: str, now_ms: int) -> None:
        """Note a part that was read before; it can be copied at once."""
        self.note(part=part, upstream=upstream, now_ms=now_ms)
        self._parts[part][upstream] = (now_ms - COPY_READY_MS, now_ms)

    def list_cached(self, *, now_ms: int) -> dict[str, tuple[int, ...]]:
        """Return the parts that each upstream has read, for a router that knows nothing."""
        held: dict[str, list[int]] = {}
        for part in self._parts:
            for upstream in self.list_copy_sources(part, now_ms=now_ms):
                held.setdefault(upstream, []).append(part)
        return {upstream: tuple(parts) for upstream, parts in held.items()}

    def forget(self, *, part: int, upstream: str) -> None:
        """Forget that an upstream has a part: it was turned away there."""
        self._parts.get(part, {}).pop(upstream, None)

    def list_copy_sources(self, part: int, *, now_ms: int) -> tuple[str, ...]:
        """Return the upstreams that have read a part, so that it can be copied from them."""
        holders = self._parts.get(part, {})
        return tuple(
            upstream
            for upstream, (first_ms, last_ms) in holders.items()
            if now_ms - first_ms >= COPY_READY_MS and now_ms - last_ms < CACHE_TTL_MS
        )

    def forget_upstream(self, upstream: str) -> None:
        """Forget an upstream that ended."""
        for holders in self._parts.values():
            holders.pop(upstream, None)

    def missing_tokens(self, *, parts: Sequence[PromptPart], upstream: str, now_ms: int) -> int:
        """Return the tokens that an upstream has to read of a prompt.

        A part counts as held only if all parts before it are held too.
        """
        for index, part in enumerate(parts):
            if not self._holds(part.part, upstream, now_ms):
                return sum(rest.tokens for rest in parts[index:])
        return 0

    def _holds(self, part: int, upstream: str, now_ms: int) -> bool:
        holders = self._parts.get(part)
        if holders is None:
            return False
        noted = holders.get(upstream)
        return noted is not None and now_ms - noted[1] < CACHE_TTL_MS
