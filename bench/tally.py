"""Outcome counts of the callers in benches and the demo."""

from __future__ import annotations

from collections import Counter

from msgspec import Struct, field


class Tally(Struct, kw_only=True):
    """Outcomes of all callers; times are in milliseconds.

    A request counts once, whatever its number of tries: as `whole` (complete and correct), as
    `not_run` (every try was refused) or as `lost`. Wrong answers count as `crossed` if they belong
    to another request, as `doubled` if they have surplus data, and as `truncated` if data is
    missing. `refused` and `unknown` count failed tries by code.
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
        """Return the times to first token of all classes."""
        return [time for times in self.first_token_ms.values() for time in times]

    def record_times(self, caller_class: str, *, first_ms: float, answer_ms: float) -> None:
        """Record the times of one complete answer."""
        self.first_token_ms.setdefault(caller_class, []).append(first_ms)
        self.answer_ms.setdefault(caller_class, []).append(answer_ms)
