"""What a router reports of a crash that it has seen: at most a few implications of each subject."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from gypsumrouter.crashes.ledger import MAX_IMPLICATIONS_IN_MOMENT, SAME_MOMENT_MS
from gypsumrouter.crashes.models import SuspectImplication, make_fingerprint
from gypsumrouter.crashes.runs import Run, SurvivalMemory

# A subject that survived here so shortly before a crash is not reported.
RECENT_SURVIVAL_MS: Final = 2_000
# Requests of one crash that are reported, the likeliest first.
MAX_REPORTED_RUNS: Final = 16


class ImplicationReporter:
    """Makes the implications of the runs that may have crashed an upstream."""

    __slots__ = ("_reported", "_router", "_survivals")

    def __init__(self, *, router: str, survivals: SurvivalMemory) -> None:
        self._router = router
        self._survivals = survivals
        # Implications reported of each subject within one moment: its begin and their number.
        self._reported: dict[int, tuple[int, int]] = {}

    def report(self, runs: Sequence[Run], *, at_ms: int) -> tuple[SuspectImplication, ...]:
        """Return the implications of a crash at `at_ms`, for its runs, the likeliest first."""
        return tuple(self._make_implications(runs[:MAX_REPORTED_RUNS], at_ms))

    def sweep(self, *, since_ms: int) -> None:
        """Forget the moments that began before `since_ms`."""
        self._reported = {s: told for s, told in self._reported.items() if told[0] > since_ms}

    def _make_implications(self, runs: Iterable[Run], at_ms: int) -> Iterable[SuspectImplication]:
        seen: set[int] = set()
        for run in runs:
            subjects = run.subjects
            fingerprints = {part: make_fingerprint(part) for part in subjects.parts}
            for subject in subjects.all:
                if subject in seen or not self._should_report(subject, at_ms):
                    continue
                seen.add(subject)
                companions = tuple(f for part, f in fingerprints.items() if part != subject)
                yield SuspectImplication(
                    subject=subject,
                    workspace=subjects.workspace,
                    upstream=run.upstream,
                    router=self._router,
                    at_ms=at_ms,
                    content=make_fingerprint(subjects.digest),
                    companions=companions,
                )

    def _should_report(self, subject: int, at_ms: int) -> bool:
        """Return whether an implication may count; few do within one moment."""
        if self._survivals.has_any_since(subject, at_ms - RECENT_SURVIVAL_MS):
            return False
        since_ms, count = self._reported.get(subject, (at_ms, 0))
        if at_ms - since_ms >= SAME_MOMENT_MS:
            since_ms, count = at_ms, 0
        if count >= MAX_IMPLICATIONS_IN_MOMENT:
            return False
        self._reported[subject] = (since_ms, count + 1)
        return True
