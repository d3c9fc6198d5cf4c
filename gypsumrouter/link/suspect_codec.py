"""Encodes and decodes the notices on crash suspects."""

from __future__ import annotations

import struct
from typing import Any, Final

from gypsumrouter.link.frames import FrameError
from gypsumrouter.link.router_models import (
    CrashNotice,
    CrashReport,
    ImplicationNotice,
    SurvivalNotice,
    SuspectEvidence,
    SuspectVerdicts,
    VerdictNotice,
)
from gypsumrouter.link.schema import SCHEMA, open_packed_message, to_packed, write_list

MAX_SUSPECTS_BYTES: Final = 64 * 1024
MAX_AGE_MS: Final = 2**32 - 1
FINGERPRINT_BYTES: Final = 2


def encode_suspect_evidence(notice: SuspectEvidence) -> bytes:
    """Encode the body of a SUSPECT_EVIDENCE frame."""
    message = SCHEMA.SuspectEvidence.new_message()
    write_list(message, "crashes", notice.crashes, _write_report)
    write_list(message, "survivals", notice.survivals, _write_survival)
    return to_packed(message)


def _write_report(target: Any, crash: CrashReport) -> None:
    target.upstream = crash.upstream
    target.ageMs = _limit_age(crash.age_ms)
    write_list(target, "implications", crash.implications, _write_implication)


def _write_survival(target: Any, survival: SurvivalNotice) -> None:
    target.subject = survival.subject
    target.workspace = survival.workspace
    target.ageMs = _limit_age(survival.age_ms)


def decode_suspect_evidence(body: bytes) -> SuspectEvidence:
    """Decode the body of a SUSPECT_EVIDENCE frame; raises FrameError."""
    kind = SCHEMA.SuspectEvidence
    with open_packed_message(kind, body, max_bytes=MAX_SUSPECTS_BYTES) as message:
        return SuspectEvidence(
            crashes=tuple(
                CrashReport(
                    upstream=crash.upstream,
                    age_ms=crash.ageMs,
                    implications=tuple(
                        _read_implication(implication) for implication in crash.implications
                    ),
                )
                for crash in message.crashes
            ),
            survivals=tuple(
                SurvivalNotice(
                    subject=survival.subject,
                    workspace=survival.workspace,
                    age_ms=survival.ageMs,
                )
                for survival in message.survivals
            ),
        )


def encode_suspect_verdicts(notice: SuspectVerdicts) -> bytes:
    """Encode the body of a SUSPECT_VERDICTS frame."""
    message = SCHEMA.SuspectVerdicts.new_message(dataCentre=notice.data_centre)
    write_list(message, "verdicts", notice.verdicts, _write_verdict)
    return to_packed(message)


def decode_suspect_verdicts(body: bytes) -> SuspectVerdicts:
    """Decode the body of a SUSPECT_VERDICTS frame; raises FrameError."""
    kind = SCHEMA.SuspectVerdicts
    with open_packed_message(kind, body, max_bytes=MAX_SUSPECTS_BYTES) as message:
        return SuspectVerdicts(
            data_centre=message.dataCentre,
            verdicts=tuple(_read_verdict(verdict) for verdict in message.verdicts),
        )


def _write_implication(target: Any, implication: ImplicationNotice) -> None:
    target.subject = implication.subject
    target.workspace = implication.workspace
    target.content = implication.content
    target.companions = struct.pack(f"<{len(implication.companions)}H", *implication.companions)


def _read_implication(implication: Any) -> ImplicationNotice:
    companions = bytes(implication.companions)
    count, rest = divmod(len(companions), FINGERPRINT_BYTES)
    if rest:
        raise FrameError(f"fingerprints of {len(companions)} bytes")
    return ImplicationNotice(
        subject=implication.subject,
        workspace=implication.workspace,
        content=implication.content,
        companions=struct.unpack(f"<{count}H", companions),
    )


def _write_verdict(target: Any, verdict: VerdictNotice) -> None:
    target.subject = verdict.subject
    target.generation = verdict.generation
    target.state = verdict.state
    target.workspace = verdict.workspace
    target.ageMs = _limit_age(verdict.age_ms)
    target.known = verdict.known
    target.trials = verdict.trials
    target.implications = verdict.implications
    target.origin = verdict.origin
    write_list(target, "crashes", verdict.crashes, _write_crash)


def _write_crash(target: Any, crash: CrashNotice) -> None:
    target.upstream = crash.upstream
    target.router = crash.router
    target.ageMs = _limit_age(crash.age_ms)


def _read_verdict(verdict: Any) -> VerdictNotice:
    return VerdictNotice(
        subject=verdict.subject,
        generation=verdict.generation,
        state=verdict.state,
        workspace=verdict.workspace,
        age_ms=verdict.ageMs,
        known=verdict.known,
        trials=verdict.trials,
        implications=verdict.implications,
        origin=verdict.origin,
        crashes=tuple(
            CrashNotice(upstream=crash.upstream, router=crash.router, age_ms=crash.ageMs)
            for crash in verdict.crashes
        ),
    )


def _limit_age(age_ms: int) -> int:
    return min(max(0, age_ms), MAX_AGE_MS)
