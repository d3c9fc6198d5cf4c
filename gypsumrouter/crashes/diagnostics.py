"""Journal events and dump of verdicts on crash suspects."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumrouter.crashes.models import SUBJECT_MASK, Verdict
from gypsumrouter.crashes.verdicts import VerdictTable, get_trial_ms
from gypsumrouter.journal import SuspectChanged, SuspectRefused


def make_changed_event(verdict: Verdict, *, source: str, now_ms: int) -> SuspectChanged:
    """Return the event of a new verdict; `source` is "own", or the process that told."""
    return SuspectChanged(
        subject=f"{verdict.subject:x}",
        state=verdict.state.name.lower(),
        generation=verdict.generation,
        implications=verdict.implications,
        known=verdict.known,
        trials=verdict.trials,
        crashes=_describe_crashes(verdict, now_ms),
        decided_by=verdict.origin,
        source=source,
    )


def make_refused_event(
    verdict: Verdict, *, request_id: str, prompt_parts: Iterable[int], now_ms: int
) -> SuspectRefused:
    """Return the event of a refused request, which names the part that crashes upstreams."""
    parts = {part & SUBJECT_MASK: part for part in prompt_parts}
    part = parts.get(verdict.subject)
    return SuspectRefused(
        request_id=request_id,
        part="" if part is None else f"{part:x}",
        digest=verdict.subject if part is None else 0,
        implications=verdict.implications,
        crashes=_describe_crashes(verdict, now_ms),
        decided_by=verdict.origin,
        decided_ms_ago=now_ms - verdict.since_ms,
        trials=verdict.trials,
        trial_in_ms=get_trial_ms(verdict) - now_ms,
    )


def dump_verdicts(table: VerdictTable, *, now_ms: int) -> dict[str, dict[str, object]]:
    """Return all verdicts by subject, in hexadecimal, for the state dump."""
    return {
        f"{verdict.subject:x}": {
            "state": verdict.state.name.lower(),
            "implications": verdict.implications,
            "trials": verdict.trials,
            "crashes": _describe_crashes(verdict, now_ms),
            "decided_by": verdict.origin,
        }
        for verdict in table.list_all()
    }


def _describe_crashes(verdict: Verdict, now_ms: int) -> tuple[str, ...]:
    """Return the upstream, the router and the age of each crash that a verdict names."""
    return tuple(
        f"{crash.upstream} seen by {crash.router} {now_ms - crash.at_ms} ms ago"
        for crash in verdict.crashes
    )
