"""Retry budget that limits the additional load which hedged requests cause at a slow upstream."""

from __future__ import annotations

from gypsumrouter.upstream.const import RETRY_BUDGET_BURST, RETRY_BUDGET_SHARE


class RetryBudget:
    """Token bucket that allows retries for a fixed share of the requests, plus a burst."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = RETRY_BUDGET_BURST

    def record_run(self) -> None:
        """Add the share of a token that one request earns."""
        self._tokens = min(RETRY_BUDGET_BURST, self._tokens + RETRY_BUDGET_SHARE)

    def try_acquire(self) -> bool:
        """Take a token for one retry; return False if the budget is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
