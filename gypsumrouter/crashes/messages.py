"""Converts evidence and verdicts on crash suspects to notices between processes, and back.

Times become ages, as processes have different clocks.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Final

from gypsumrouter.crashes.guard import CrashGuard
from gypsumrouter.crashes.models import (
    CrashSeen,
    Survival,
    SuspectImplication,
    SuspectState,
    Verdict,
)
from gypsumrouter.link.router_models import (
    CrashNotice,
    CrashReport,
    ImplicationNotice,
    SurvivalNotice,
    SuspectEvidence,
    VerdictNotice,
)

# Age of evidence that a message may state; older evidence is dropped.
MAX_EVIDENCE_AGE_MS: Final = 60_000


def encode_evidence(
    implications: Iterable[SuspectImplication], survivals: Iterable[Survival], *, now_ms: int
) -> SuspectEvidence:
    """Return a notice with implications, by crash, and survivals."""
    by_crash: dict[tuple[str, int], list[ImplicationNotice]] = defaultdict(list)
    for implication in implications:
        by_crash[implication.upstream, implication.at_ms].append(
            ImplicationNotice(
                subject=implication.subject,
                workspace=implication.workspace,
                content=implication.content,
                companions=implication.companions,
            )
        )
    return SuspectEvidence(
        crashes=tuple(
            CrashReport(upstream=upstream, age_ms=now_ms - at_ms, implications=tuple(told))
            for (upstream, at_ms), told in by_crash.items()
        ),
        survivals=tuple(
            SurvivalNotice(
                subject=survival.subject,
                workspace=survival.workspace,
                age_ms=now_ms - survival.at_ms,
            )
            for survival in survivals
        ),
    )


def apply_evidence(
    guard: CrashGuard, evidence: SuspectEvidence, *, sender: str, now_ms: int
) -> None:
    """Take in the evidence of a notice; `sender` is the name of the process that saw it."""
    guard.apply_evidence(
        _read_implications(evidence, sender=sender, now_ms=now_ms),
        _read_survivals(evidence, now_ms=now_ms),
    )


def _read_implications(
    evidence: SuspectEvidence, *, sender: str, now_ms: int
) -> Iterator[SuspectImplication]:
    """Yield the implications of a notice."""
    for crash in evidence.crashes:
        if crash.age_ms >= MAX_EVIDENCE_AGE_MS:
            continue
        for implication in crash.implications:
            yield SuspectImplication(
                subject=implication.subject,
                workspace=implication.workspace,
                upstream=crash.upstream,
                router=sender,
                at_ms=now_ms - crash.age_ms,
                content=implication.content,
                companions=implication.companions,
            )


def _read_survivals(evidence: SuspectEvidence, *, now_ms: int) -> Iterator[Survival]:
    """Yield the survivals of a notice."""
    for survival in evidence.survivals:
        yield Survival(
            subject=survival.subject,
            workspace=survival.workspace,
            at_ms=now_ms - survival.age_ms,
        )


def encode_verdicts(verdicts: Iterable[Verdict], *, now_ms: int) -> tuple[VerdictNotice, ...]:
    """Return verdicts as entries of a notice."""
    return tuple(
        VerdictNotice(
            subject=verdict.subject,
            generation=verdict.generation,
            state=int(verdict.state),
            workspace=verdict.workspace,
            age_ms=now_ms - verdict.since_ms,
            known=verdict.known,
            trials=verdict.trials,
            implications=verdict.implications,
            origin=verdict.origin,
            crashes=tuple(
                CrashNotice(
                    upstream=crash.upstream, router=crash.router, age_ms=now_ms - crash.at_ms
                )
                for crash in verdict.crashes
            ),
        )
        for verdict in verdicts
    )


def read_verdicts(notices: Iterable[VerdictNotice], *, now_ms: int) -> Iterator[Verdict]:
    """Yield the verdicts of a notice, except those in a state of a later release."""
    states = {int(state): state for state in SuspectState}
    for notice in notices:
        state = states.get(notice.state)
        if state is None:
            continue
        yield Verdict(
            subject=notice.subject,
            generation=notice.generation,
            state=state,
            workspace=notice.workspace,
            since_ms=now_ms - notice.age_ms,
            known=notice.known,
            trials=notice.trials,
            implications=notice.implications,
            origin=notice.origin,
            crashes=tuple(
                CrashSeen(upstream=crash.upstream, router=crash.router, at_ms=now_ms - crash.age_ms)
                for crash in notice.crashes
            ),
        )
