"""A budget for requests that are sent a second time, so that a slow upstream isn't multiplied."""

from __future__ import annotations

from gypsumrouter.upstream.const import REOPEN_BURST, REOPEN_SHARE


class Budget:
    """Allow a second try for a fixed share of the runs, and a small burst."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left = REOPEN_BURST

    def note_run(self) -> None:
        """Count one run."""
        self._left = min(REOPEN_BURST, self._left + REOPEN_SHARE)

    def take(self) -> bool:
        """Take one second try; False if the budget is spent."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
