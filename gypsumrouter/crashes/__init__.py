"""Decides from crashes of upstreams which parts of requests bring them down.

The decision does no input or output, and all times are its arguments: the own runs of a process
(`runs`), what several have seen of one subject (`ledger`), and what the fleet has decided
(`verdicts`). `guard` applies it in a process, `implications` bounds what the process reports of a
crash, and `messages` encodes it for the others.
"""

from __future__ import annotations

from gypsumrouter.crashes.guard import CrashGuard
from gypsumrouter.crashes.ledger import CrashLedger
from gypsumrouter.crashes.models import (
    CrashSeen,
    Subjects,
    Survival,
    SuspectImplication,
    SuspectState,
    Verdict,
    make_workspace_id,
    select_parts,
)
from gypsumrouter.crashes.runs import Run, RunTracker
from gypsumrouter.crashes.verdicts import VerdictTable

__all__ = [
    "CrashGuard",
    "CrashLedger",
    "CrashSeen",
    "Run",
    "RunTracker",
    "Subjects",
    "Survival",
    "SuspectImplication",
    "SuspectState",
    "Verdict",
    "VerdictTable",
    "make_workspace_id",
    "select_parts",
]
