"""Which upstream has which part of a prompt in its cache, as far as this router knows."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from gypsumrouter.forwarding.models import PromptPart

# A part that nobody asked for within this time counts as evicted: an engine of 655,000 tokens that
# reads 15,000 new tokens a second turns its cache over in about 40 s.
HELD_MS: Final = 40_000
MAX_PARTS: Final = 20_000


class Holdings:
    """Remembers where parts were read, from this router's own placements and its peers' news."""

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        self._parts: OrderedDict[int, dict[str, int]] = OrderedDict()

    def note(self, *, part: int, upstream: str, now_ms: int) -> None:
        """Note that an upstream has read, or is about to read, a part."""
        holders = self._parts.get(part)
        if holders is None:
            holders = self._parts[part] = {}
            if len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
        else:
            self._parts.move_to_end(part)
        holders[upstream] = now_ms

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
        noted_ms = holders.get(upstream)
        return noted_ms is not None and now_ms - noted_ms < HELD_MS
