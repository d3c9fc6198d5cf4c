"""A budget for requests that are sent a second time, so that a slow upstream isn't multiplied."""

from __future__ import annotations

from gypsumrouter.upstream.const import RETRY_BUDGET_BURST, RETRY_BUDGET_SHARE


class RetryBudget:
    """Allow a second try for a fixed share of the runs, and a small burst."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = RETRY_BUDGET_BURST

    def record_run(self) -> None:
        """Count one run."""
        self._tokens = min(RETRY_BUDGET_BURST, self._tokens + RETRY_BUDGET_SHARE)

    def try_acquire(self) -> bool:
        """Take one second try; False if the budget is spent."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
