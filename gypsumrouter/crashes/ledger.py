"""Collects what routers have seen of each subject, and decides which ones crash upstreams.

A subject that crashes upstreams crashes each one that begins to write for it. So it is convicted
after a few crashes between which it has survived nowhere, and one survival clears it. Subjects that
merely ran beside it survive elsewhere, and crashes without a culprit are followed by survivals.
"""

from __future__ import annotations

from collections import Counter
from typing import Final

from gypsumrouter.crashes.models import (
    EVERY_WORKSPACE,
    CrashSeen,
    Survival,
    SuspectImplication,
    SuspectState,
    Verdict,
    make_fingerprint,
)

# Crashes, in two moments or more, after which all routers are asked whether the subject has
# survived anywhere, and after which it is convicted. Fewer would make a large fleet ask about many
# subjects after each loss of a rack.
CONVICT_IMPLICATIONS: Final = 3
# The same for a subject that has survived before.
CONVICT_KNOWN_IMPLICATIONS: Final = 5
# Time that the answers to that question have: a further survival takes `SURVIVAL_MS`.
OBJECTION_MS: Final = 800
# Crashes within this time count as two at most: the loss of a rack is no proof.
SAME_MOMENT_MS: Final = 500
MAX_IMPLICATIONS_IN_MOMENT: Final = 2
IMPLICATION_TTL_MS: Final = 600_000
# Implications that show that a workspace has the subject itself, not beside another one's request.
MIN_OWN_IMPLICATIONS: Final = 2
# Implications that are kept for each subject, and subjects.
MAX_IMPLICATIONS: Final = 8
MAX_SUBJECTS: Final = 2_048
# What is seen in other workspaces counts if it is in this many of them: the parts of a prompt are
# what its caller says.
MIN_OTHER_WORKSPACES: Final = 2
# Crashes that a verdict names.
MAX_NAMED_CRASHES: Final = 4


class SubjectRecord:
    """What is known of one subject; `suspected_ms` is when all routers were asked about it."""

    __slots__ = (
        "explained",
        "implications",
        "known",
        "others",
        "reported_by",
        "subject",
        "suspected_ms",
    )

    def __init__(self, *, subject: int, reported_by: int) -> None:
        self.subject = subject
        # Workspace to whose share of the records this one counts.
        self.reported_by = reported_by
        # Implications that do not count while a conviction of another subject explains them.
        self.explained: dict[int, list[SuspectImplication]] = {}
        self.implications: list[SuspectImplication] = []
        self.known = False
        self.suspected_ms: int | None = None
        # Workspaces, other than those of the implications, in which the subject has survived.
        self.others: set[int] = set()

    @property
    def workspaces(self) -> set[int]:
        """Return the workspaces whose requests were running in the crashes."""
        return {implication.workspace for implication in self.implications}

    @property
    def scope(self) -> int:
        """Return the workspace that a verdict concerns, or `EVERY_WORKSPACE`.

        A workspace can only bring its own requests under suspicion, even if a request of another
        one happened to run beside its own in one of the crashes.
        """
        counts = Counter(implication.workspace for implication in self.implications)
        (main, most), *others = counts.most_common()
        proven = any(implications >= CONVICT_IMPLICATIONS for _, implications in others)
        if most < MIN_OWN_IMPLICATIONS or proven or len(others) >= MIN_OTHER_WORKSPACES:
            return EVERY_WORKSPACE
        return main

    def count(self) -> int:
        """Return the number of crashes, of which few count within one moment."""
        times = sorted(implication.at_ms for implication in self.implications)
        counted = in_moment = 0
        began_ms: int | None = None
        for at_ms in times:
            if began_ms is None or at_ms - began_ms >= SAME_MOMENT_MS:
                began_ms, in_moment = at_ms, 0
            in_moment += 1
            counted += in_moment <= MAX_IMPLICATIONS_IN_MOMENT
        return counted

    def name_crashes(self) -> tuple[CrashSeen, ...]:
        """Return the first crashes, for operators."""
        return tuple(
            CrashSeen(
                upstream=implication.upstream, router=implication.router, at_ms=implication.at_ms
            )
            for implication in self.implications[:MAX_NAMED_CRASHES]
        )

    def is_suspected(self) -> bool:
        """Return whether all routers should be asked about the subject."""
        if self.count() < CONVICT_IMPLICATIONS:
            return False
        times = [implication.at_ms for implication in self.implications]
        return max(times) - min(times) >= SAME_MOMENT_MS

    def is_convicted(self, *, known: bool, now_ms: int) -> bool:
        """Return whether the subject crashes upstreams; `known` if it has survived before."""
        needed = CONVICT_KNOWN_IMPLICATIONS if known or self.known else CONVICT_IMPLICATIONS
        if self.suspected_ms is None or self.count() < needed or self._is_one_content():
            return False
        return now_ms - self.suspected_ms >= OBJECTION_MS

    def _is_one_content(self) -> bool:
        """Return whether one request, sent again, explains the crashes better than this part."""
        contents = {implication.content for implication in self.implications}
        return len(contents) == 1 and contents != {make_fingerprint(self.subject)}


class CrashLedger:
    """Bounded records of the subjects that ran in crashes."""

    __slots__ = ("_records", "_subjects_by_workspace")

    def __init__(self) -> None:
        self._records: dict[int, SubjectRecord] = {}
        self._subjects_by_workspace: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, subject: int) -> SubjectRecord | None:
        """Return the record of a subject, None if it ran in no crash."""
        return self._records.get(subject)

    def add_implication(self, implication: SuspectImplication) -> bool:
        """Add an implication; return whether it is the first for this crash of the upstream."""
        record = self._records.get(implication.subject)
        if record is None:
            self._make_room()
            record = SubjectRecord(subject=implication.subject, reported_by=implication.workspace)
            self._records[implication.subject] = record
            self._subjects_by_workspace[implication.workspace] += 1
        since_ms = implication.at_ms - IMPLICATION_TTL_MS
        kept = [item for item in record.implications if item.at_ms > since_ms]
        if any(item.upstream == implication.upstream for item in kept):
            return False
        record.implications = [*kept[1 - MAX_IMPLICATIONS :], implication]
        return True

    def add_survival(self, survival: Survival) -> bool:
        """Add a survival; return whether it counts, so that no earlier implication is left."""
        record = self._records.get(survival.subject)
        if record is None or not self._counts(record, survival):
            return False
        record.known = True
        record.explained.clear()
        left = [
            implication for implication in record.implications if implication.at_ms > survival.at_ms
        ]
        if len(left) == len(record.implications):
            return False
        self._replace_implications(record, left)
        return not left

    def explain(self, convicted: int) -> None:
        """Set aside the implications that a conviction explains."""
        fingerprint = make_fingerprint(convicted)
        for subject, record in tuple(self._records.items()):
            explained = [s for s in record.implications if fingerprint in s.companions]
            if subject == convicted or not explained:
                continue
            record.explained.setdefault(convicted, []).extend(explained)
            record.implications = [
                s for s in record.implications if fingerprint not in s.companions
            ]

    def withdraw_explanation(self, cleared: int) -> list[int]:
        """Count the implications again that a conviction had explained; return their subjects."""
        subjects: list[int] = []
        for subject, record in self._records.items():
            explained = record.explained.pop(cleared, None)
            if explained is not None:
                implications = sorted(
                    (*record.implications, *explained), key=lambda implication: implication.at_ms
                )
                record.implications = implications[-MAX_IMPLICATIONS:]
                subjects.append(subject)
        return subjects

    def remove(self, subject: int) -> None:
        """Forget a subject."""
        record = self._records.pop(subject, None)
        if record is not None:
            self._subjects_by_workspace[record.reported_by] -= 1

    def _counts(self, record: SubjectRecord, survival: Survival) -> bool:
        if survival.workspace in record.workspaces:
            return True
        record.others.add(survival.workspace)
        return len(record.others) >= MIN_OTHER_WORKSPACES

    def _replace_implications(
        self, record: SubjectRecord, implications: list[SuspectImplication]
    ) -> None:
        record.implications = implications
        if not record.is_suspected():
            record.suspected_ms = None
        if not implications:
            self.remove(record.subject)

    def _make_room(self) -> None:
        """Drop a subject of the workspace with the most, the one with the fewest implications."""
        if len(self._records) < MAX_SUBJECTS:
            return
        largest, _ = self._subjects_by_workspace.most_common(1)[0]
        candidates = (
            (len(record.implications), subject)
            for subject, record in self._records.items()
            if record.reported_by == largest
        )
        # Of equal ones the first, which is the oldest.
        self.remove(min(candidates, key=lambda item: item[0])[1])


def make_verdict(
    record: SubjectRecord,
    previous: Verdict | None,
    *,
    state: SuspectState,
    known: bool,
    now_ms: int,
) -> Verdict:
    """Return the verdict that follows a previous one on a subject, without its origin."""
    generation, trials, since_ms = 1, 0, now_ms
    if previous is not None:
        generation = previous.generation + (previous.state is SuspectState.CLEARED)
        if previous.state is state:
            trials, since_ms = previous.trials, previous.since_ms
    return Verdict(
        subject=record.subject,
        generation=generation,
        state=state,
        workspace=record.scope,
        since_ms=since_ms,
        known=known,
        trials=trials,
        implications=len(record.implications),
        origin="",
        # Only refusals have to be explained to operators, and suspicions can be many.
        crashes=record.name_crashes() if state is SuspectState.CONVICTED else (),
    )
