"""Index of the prompt parts that each upstream is expected to have in its cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from gypsumrouter.forwarding.models import PromptPart
from gypsumrouter.forwarding.prompt_spread import PromptSpread

# A part that was not requested for this long counts as evicted from an engine's cache.
# An engine of 655,000 tokens that prefills 15,000 new tokens a second replaces its cache in about
# 40 s.
CACHE_TTL_MS: Final = 40_000
MAX_PARTS: Final = 20_000
# A part can be copied from an engine this long after it was sent there, when its prefill is done.
# Prefilling ten thousand tokens takes 0.12 s, and what was queued before them may take as long.
COPY_READY_MS: Final = 400


class CacheIndex:
    """Maps prompt parts to upstreams, from placements of this router and reports of its peers.

    All placements are counted in `prompt_spread`, if it is set.
    """

    __slots__ = ("_parts", "_prompt_spread")

    def __init__(self, *, prompt_spread: PromptSpread | None = None) -> None:
        self._prompt_spread = prompt_spread
        # For each part and upstream: the times of the first and last request with the part.
        self._parts: OrderedDict[int, dict[str, tuple[int, int]]] = OrderedDict()

    def note(self, *, part: int, upstream: str, now_ms: int) -> bool:
        """Record that a part is sent to an upstream; return whether it is new to its cache."""
        if self._prompt_spread is not None:
            self._prompt_spread.note_placed(part, now_ms=now_ms)
        return self._note(part=part, upstream=upstream, now_ms=now_ms)

    def _note(self, *, part: int, upstream: str, now_ms: int) -> bool:
        holders = self._parts.get(part)
        if holders is None:
            holders = self._parts[part] = {}
            if len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
        else:
            self._parts.move_to_end(part)
        times = holders.get(upstream)
        new = times is None or now_ms - times[1] >= CACHE_TTL_MS
        holders[upstream] = (now_ms if times is None or new else times[0], now_ms)
        return new

    def note_cached(self, *, part: int, upstream: str, now_ms: int) -> None:
        """Record a part that an upstream has already prefilled; it can be copied at once."""
        self._note(part=part, upstream=upstream, now_ms=now_ms)
        self._parts[part][upstream] = (now_ms - COPY_READY_MS, now_ms)

    def list_cached(self, *, now_ms: int) -> dict[str, tuple[int, ...]]:
        """Return the copyable parts of each upstream, to fill the index of another router."""
        cached: dict[str, list[int]] = {}
        for part in self._parts:
            for upstream in self.list_copy_sources(part, now_ms=now_ms):
                cached.setdefault(upstream, []).append(part)
        return {upstream: tuple(parts) for upstream, parts in cached.items()}

    def forget(self, *, part: int, upstream: str) -> None:
        """Remove a part of an upstream: the request with it was not run there."""
        self._parts.get(part, {}).pop(upstream, None)

    def list_copy_sources(self, part: int, *, now_ms: int) -> tuple[str, ...]:
        """Return the upstreams that have prefilled a part, so that it can be copied from them."""
        holders = self._parts.get(part, {})
        return tuple(
            upstream
            for upstream, (first_ms, last_ms) in holders.items()
            if now_ms - first_ms >= COPY_READY_MS and now_ms - last_ms < CACHE_TTL_MS
        )

    def forget_upstream(self, upstream: str) -> None:
        """Remove all parts of an upstream that was removed."""
        for holders in self._parts.values():
            holders.pop(upstream, None)

    def missing_tokens(self, *, parts: Sequence[PromptPart], upstream: str, now_ms: int) -> int:
        """Return how many tokens of a prompt are not in an upstream's cache.

        Caches hold prefixes: a part counts as cached only if all parts before it are cached too.
        """
        for index, part in enumerate(parts):
            if not self._is_cached(part.part, upstream, now_ms):
                return sum(missing.tokens for missing in parts[index:])
        return 0

    def _is_cached(self, part: int, upstream: str, now_ms: int) -> bool:
        holders = self._parts.get(part)
        if holders is None:
            return False
        times = holders.get(upstream)
        return times is not None and now_ms - times[1] < CACHE_TTL_MS
