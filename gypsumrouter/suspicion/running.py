"""What runs at the upstream now, and whether each run was alone."""

from __future__ import annotations

from collections.abc import Iterable


class ActiveRun:
    """One run of a digest: `alone` while nothing else ran, `dead` once its upstream died."""

    __slots__ = ("alone", "crashed", "digest")

    def __init__(self, *, digest: int, alone: bool) -> None:
        self.digest = digest
        self.alone = alone
        self.crashed = False


class RunningSet:
    """The runs of one upstream, in the order of their start."""

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: dict[ActiveRun, None] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def start(self, digest: int) -> ActiveRun:
        """Add a run; all that run beside it are not alone any more."""
        alone = not self._runs
        if not alone:
            for other in self._runs:
                other.alone = False
        run = ActiveRun(digest=digest, alone=alone)
        self._runs[run] = None
        return run

    def end(self, run: ActiveRun) -> None:
        """Remove a run; one that was taken as dead is gone already."""
        self._runs.pop(run, None)

    def remove_crashed(self) -> tuple[ActiveRun, ...]:
        """Remove all runs because the upstream died; the newest come first."""
        crashed = tuple(reversed(self._runs))
        self._runs.clear()
        for run in crashed:
            run.crashed = True
        return crashed


def list_digests(runs: Iterable[ActiveRun]) -> tuple[int, ...]:
    """Return the different digests of runs, in their order."""
    return tuple(dict.fromkeys(run.digest for run in runs))
