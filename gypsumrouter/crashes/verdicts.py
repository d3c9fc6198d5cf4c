"""The verdicts that all routers share; each router merges what it hears, in any order."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Final

import xxhash
from msgspec.structs import replace

from gypsumrouter.crashes.models import Subjects, SuspectState, Verdict

MAX_VERDICTS: Final = 128
# How long a verdict holds after its decision or its last trial.
TTL_MS: Final = {
    SuspectState.SUSPECTED: 600_000,
    SuspectState.CONVICTED: 4 * 3_600_000,
    # As long as a conviction that a router cut off from the others may still hold.
    SuspectState.CLEARED: 4 * 3_600_000,
}
# Pauses before the trials of a convicted subject. The first ones find out soon that a part has
# become harmless; more of them would let a part that is not crash further upstreams.
TRIAL_PAUSES_MS: Final = (15_000, 60_000, 600_000)
LAST_TRIAL_PAUSE_MS: Final = 3_600_000
# Pause before the first trial of a subject that has survived before, and may only seem to crash.
KNOWN_TRIAL_PAUSE_MS: Final = 5_000


class VerdictTable:
    """Bounded table of verdicts by subject, and a digest by which two routers compare theirs."""

    __slots__ = ("_convicted", "_digest", "_verdicts")

    def __init__(self) -> None:
        self._verdicts: dict[int, Verdict] = {}
        # The convicted ones among them.
        self._convicted: dict[int, Verdict] = {}
        self._digest: int | None = 0

    def __len__(self) -> int:
        return len(self._verdicts)

    @property
    def convicted(self) -> int:
        """Return the number of convicted subjects."""
        return len(self._convicted)

    @property
    def digest(self) -> int:
        """Return a 64-bit digest of all verdicts, 0 if there are none."""
        if self._digest is None:
            orders = sorted((v.subject, *v.order) for v in self._verdicts.values())
            self._digest = xxhash.xxh3_64_intdigest(repr(orders).encode()) if orders else 0
        return self._digest

    def get(self, subject: int) -> Verdict | None:
        """Return the verdict on a subject."""
        return self._verdicts.get(subject)

    def list_all(self) -> tuple[Verdict, ...]:
        """Return all verdicts."""
        return tuple(self._verdicts.values())

    def list_convicted(self) -> tuple[Verdict, ...]:
        """Return the verdicts on convicted subjects."""
        return tuple(self._convicted.values())

    def find(self, subjects: Subjects) -> list[Verdict]:
        """Return the convictions that concern a request."""
        if not self._convicted:
            return []
        found = (self._convicted.get(subject) for subject in subjects.all)
        return [v for v in found if v is not None and v.concerns(subjects.workspace)]

    def find_open(self, subject: int) -> Verdict | None:
        """Return the verdict on a subject unless it is cleared."""
        verdict = self._verdicts.get(subject)
        if verdict is None or verdict.state is SuspectState.CLEARED:
            return None
        return verdict

    def merge(self, verdicts: Iterable[Verdict], *, now_ms: int) -> list[Verdict]:
        """Take over verdicts that are later than the known ones; return these."""
        return [verdict for verdict in verdicts if self._merge_one(verdict, now_ms)]

    def expire(self, *, now_ms: int) -> None:
        """Remove verdicts that no longer hold."""
        for verdict in tuple(self._verdicts.values()):
            if not is_in_force(verdict, now_ms=now_ms):
                self._remove(verdict.subject)

    def _merge_one(self, verdict: Verdict, now_ms: int) -> bool:
        known = self._verdicts.get(verdict.subject)
        if known is not None and known.order >= verdict.order:
            return False
        if not is_in_force(verdict, now_ms=now_ms):
            return False
        if known is None and not self._make_room(verdict):
            return False
        self._remove(verdict.subject)
        self._verdicts[verdict.subject] = verdict
        if verdict.state is SuspectState.CONVICTED:
            self._convicted[verdict.subject] = verdict
        return True

    def _remove(self, subject: int) -> None:
        self._verdicts.pop(subject, None)
        self._convicted.pop(subject, None)
        self._digest = None

    def _make_room(self, verdict: Verdict) -> bool:
        """Drop the least important verdict; return whether there is room for this one.

        A conviction yields to another one only, and then the oldest of the workspace with the most.
        """
        if len(self._verdicts) < MAX_VERDICTS:
            return True
        open_ones = [v for v in self._verdicts.values() if v.state is not SuspectState.CONVICTED]
        if open_ones:
            # Clearances first, then the oldest.
            self._remove(min(open_ones, key=lambda v: (-v.state, v.since_ms)).subject)
            return True
        if verdict.state is not SuspectState.CONVICTED:
            return False
        counts = Counter(v.workspace for v in self._convicted.values())
        largest = counts.most_common(1)[0][0]
        of_largest = (v for v in self._convicted.values() if v.workspace == largest)
        self._remove(min(of_largest, key=lambda v: v.since_ms).subject)
        return True


def is_in_force(verdict: Verdict, *, now_ms: int) -> bool:
    """Return whether a verdict still holds."""
    return now_ms - verdict.since_ms < TTL_MS[verdict.state]


def get_trial_ms(verdict: Verdict) -> int:
    """Return when a request may be let through to find out whether a conviction still holds."""
    if verdict.known and verdict.trials == 0:
        return verdict.since_ms + KNOWN_TRIAL_PAUSE_MS
    pauses = TRIAL_PAUSES_MS
    pause_ms = pauses[verdict.trials] if verdict.trials < len(pauses) else LAST_TRIAL_PAUSE_MS
    return verdict.since_ms + pause_ms


def note_trial(verdict: Verdict, *, now_ms: int) -> Verdict:
    """Return the verdict after a request was let through."""
    return replace(verdict, trials=verdict.trials + 1, since_ms=now_ms)
