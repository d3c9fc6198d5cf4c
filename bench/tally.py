"""What callers of a bench or the demo have counted."""

from __future__ import annotations

from collections import Counter

from msgspec import Struct, field


class Tally(Struct, kw_only=True):
    """Outcomes of all callers; times are in milliseconds.

    A request counts once, however often it is tried. It is `whole`, or `not_run` (each try was
    refused), or `lost`. `crossed`, `doubled` and `truncated` count answers that passed for whole
    and were not: another request's, with surplus, with parts missing.
    """

    requests: int = 0
    tries: int = 0
    whole: int = 0
    not_run: int = 0
    lost: int = 0
    doubled: int = 0
    crossed: int = 0
    truncated: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    unknown: Counter[str] = field(default_factory=Counter)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    tokens: int = 0
    first_token_ms: dict[str, list[float]] = field(default_factory=dict)
    answer_ms: dict[str, list[float]] = field(default_factory=dict)
    gap_ms: list[float] = field(default_factory=list)

    @property
    def reuse(self) -> float:
        """Return the share of prompt tokens that came from a cache."""
        return self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0.0

    def list_first_token_ms(self) -> list[float]:
        """Return the first-token times of all classes."""
        return [time for times in self.first_token_ms.values() for time in times]

    def record_times(self, caller_class: str, *, first_ms: float, answer_ms: float) -> None:
        """Count the times of one whole answer."""
        self.first_token_ms.setdefault(caller_class, []).append(first_ms)
        self.answer_ms.setdefault(caller_class, []).append(answer_ms)
