"""Requests running at the upstream, and whether each has run alone."""

from __future__ import annotations

from collections.abc import Iterable


class ActiveRun:
    """A run of a digest: `alone` if no other overlapped it, `crashed` if its upstream crashed."""

    __slots__ = ("alone", "crashed", "digest")

    def __init__(self, *, digest: int, alone: bool) -> None:
        self.digest = digest
        self.alone = alone
        self.crashed = False


class RunningSet:
    """Running requests of one upstream, in the order of their start."""

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: dict[ActiveRun, None] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def start(self, digest: int) -> ActiveRun:
        """Add a run; concurrent runs no longer count as alone."""
        alone = not self._runs
        if not alone:
            for other in self._runs:
                other.alone = False
        run = ActiveRun(digest=digest, alone=alone)
        self._runs[run] = None
        return run

    def end(self, run: ActiveRun) -> None:
        """Remove a run, unless `remove_crashed` has removed it."""
        self._runs.pop(run, None)

    def remove_crashed(self) -> tuple[ActiveRun, ...]:
        """Remove and return all runs after a crash of the upstream, newest first."""
        crashed = tuple(reversed(self._runs))
        self._runs.clear()
        for run in crashed:
            run.crashed = True
        return crashed


def list_digests(runs: Iterable[ActiveRun]) -> tuple[int, ...]:
    """Return the distinct digests of runs, in their order."""
    return tuple(dict.fromkeys(run.digest for run in runs))
