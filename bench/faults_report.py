"""Report of the faults bench."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from msgspec import Struct

from bench.faults_journal import Journal, Request, RequestKind, Result, get_share
from bench.faults_probes import ProbeResult
from bench.faults_schedule import FAULTS
from bench.faults_stage import Stage
from bench.report import Value, print_result, print_table
from bench.tally import Tally
from gypsumrouter.outcomes import Executed

MAX_CODES = 3
MAX_LISTED = 10


class Findings(Struct, frozen=True, kw_only=True):
    """Results of a run; `quiet_journal` covers the phase without faults."""

    seeds: int
    stage: Stage
    tallies: Sequence[Tally]
    quiet_journal: Journal
    probe_results: Sequence[ProbeResult]

    @property
    def journal(self) -> Journal:
        """Return the journal of the phase with faults."""
        return self.stage.journal

    @property
    def doubled(self) -> int:
        """Return the number of calls that ran twice, or of answers with surplus data."""
        seen_by_callers = sum(tally.doubled for tally in self.tallies)
        return max(self.stage.rig.platform.count_repeated_calls(), seen_by_callers)

    def list_false_not_run(self) -> list[str]:
        """Return the ids of requests that were reported as not run, but did run."""
        executed = list_executed_ids(self.stage)
        return [
            attempt.request_id
            for journal in (self.quiet_journal, self.journal)
            for attempt in journal.tries
            if attempt.executed is Executed.NOT_RUN and attempt.request_id in executed
        ]

    def count_not_run_after_run(self) -> Counter[str]:
        """Count, by code, tries reported as not run whose call an earlier try had run."""
        ran_ms: dict[str, int] = {}
        for service in self.stage.rig.platform.services.values():
            for execution in service.executions:
                ran_ms.setdefault(execution.key, execution.wall_ms)
        return Counter(
            attempt.code
            for attempt in self.journal.tries
            if attempt.executed is Executed.NOT_RUN
            and attempt.key
            and ran_ms.get(attempt.key, attempt.began_ms) < attempt.began_ms
        )

    def count_lost(self) -> int:
        """Count requests without any response and tries that an available router ignored."""
        lost = [item for item in self.journal.requests if item.result is Result.LOST]
        return len(lost) + len(self.journal.list_unanswered())


def list_executed_ids(stage: Stage) -> set[str]:
    """Return the ids of all requests that ran at an upstream."""
    ids: set[str] = set()
    for engine in stage.rig.platform.engines.values():
        ids.update(stream_id.partition(".")[0] for stream_id in engine.executions)
    for service in stage.rig.platform.services.values():
        ids.update(execution.request_id for execution in service.executions)
    return ids


def report(findings: Findings) -> None:
    """Print the tables and the figures."""
    _print_kinds(findings.journal)
    _print_results(findings)
    _print_probe_results(findings.probe_results)
    _print_details(findings)
    print_result(_make_figures(findings))


def _print_kinds(journal: Journal) -> None:
    rows = []
    for fault in FAULTS:
        windows = [window for window in journal.windows if window.kind == fault.kind]
        if not windows:
            continue
        during = journal.list_during(fault.kind)
        calls = [item for item in during if item.kind is RequestKind.CALL]
        chats = [item for item in during if item.kind is RequestKind.CHAT]
        rows.append(
            (
                fault.kind,
                len(windows),
                len(calls),
                f"{get_share(calls, Result.UNKNOWN):.2%}",
                f"{get_share(calls, Result.NOT_RUN):.2%}",
                len(chats),
                f"{get_share(chats, Result.UNKNOWN):.2%}",
                f"{get_share(chats, Result.NOT_RUN):.2%}",
                _format_codes([item for item in calls if item.result is Result.UNKNOWN]),
            )
        )
    print_table(
        title="requests during each kind of fault or within 2 s after it (two faults at a time)",
        columns=(
            "fault",
            "times",
            "calls",
            "unknown",
            "not run",
            "chats",
            "unknown",
            "not run",
            "codes of unknown calls",
        ),
        rows=rows,
    )


def _print_results(findings: Findings) -> None:
    rows = []
    for title, journal in (("quiet", findings.quiet_journal), ("faults", findings.journal)):
        for kind in RequestKind:
            requests = journal.select(kind)
            counts = Counter(request.result for request in requests)
            rows.append((title, kind, len(requests), *(counts[result] for result in Result)))
    print_table(
        title="results of requests after all tries",
        columns=("phase", "kind", "requests", *Result),
        rows=rows,
    )
    codes = Counter(
        (attempt.code, attempt.executed or "no response")
        for attempt in findings.journal.tries
        if attempt.code != Result.WHOLE
    )
    print_table(
        title="tries without an answer",
        columns=("code", "executed", "tries"),
        rows=[(*code, count) for code, count in codes.most_common()],
    )


def _print_probe_results(probe_results: Sequence[ProbeResult]) -> None:
    print_table(
        title="streams whose connection went silent",
        columns=("leg", "directions", "stalled s", "complete"),
        rows=[
            (item.probe.leg, "+".join(sorted(item.probe.ways)), item.stall_s, item.complete)
            for item in probe_results
        ],
    )


def _print_details(findings: Findings) -> None:
    journal = findings.journal
    print(f"\ngraceful stops by exit code: {dict(journal.exit_codes)}")
    print(f"upstreams crashed by each crashing request: {journal.crashes_per_request}")
    print(f"last codes of crashing requests: {dict(journal.crasher_codes)}")
    print(f"reported as not run after an earlier run: {dict(findings.count_not_run_after_run())}")
    if journal.failed_faults:
        print(f"faults that could not be injected: {dict(journal.failed_faults)}")
    for attempt in journal.list_unanswered()[:MAX_LISTED]:
        print(f"no response from an available router: {attempt}")
    for request_id in findings.list_false_not_run()[:MAX_LISTED]:
        print(f"reported as not run, but ran: {request_id}")


def _make_figures(findings: Findings) -> dict[str, Value]:
    journal = findings.journal
    timed, opaque = RequestKind.CALL, RequestKind.OPAQUE_CALL
    return {
        "seeds": findings.seeds,
        "calls": len(journal.select(timed, opaque)),
        "chats": len(journal.select(RequestKind.CHAT)),
        "doubled": findings.doubled,
        "false_not_run": len(findings.list_false_not_run()),
        "crossed": sum(tally.crossed for tally in findings.tallies),
        "silently_truncated": sum(tally.truncated for tally in findings.tallies),
        "lost": findings.count_lost(),
        "unknown_share": round(get_share(journal.select(timed), Result.UNKNOWN), 4),
        "unknown_share_quiet": round(
            get_share(findings.quiet_journal.select(timed), Result.UNKNOWN), 4
        ),
        "unknown_share_opaque": round(get_share(journal.select(opaque), Result.UNKNOWN), 4),
        "unknown_share_chats": round(
            get_share(journal.select(RequestKind.CHAT), Result.UNKNOWN), 4
        ),
        "not_run_after_run": findings.count_not_run_after_run().total(),
        "new_work_after_leaving_s_max": round(max(journal.work_after_stop_s, default=0.0), 3),
        "new_work_after_listed_leaving_s_max": round(
            max(journal.work_after_mark_s, default=0.0), 3
        ),
        "upstreams_lost_per_crasher_max": max(journal.crashes_per_request, default=0),
        "silent_found_s_max": round(
            max((item.stall_s for item in findings.probe_results), default=0.0), 3
        ),
        "silent_whole": all(item.complete for item in findings.probe_results),
        "planned_stops": journal.exit_codes.total(),
        "planned_stops_unclean": journal.exit_codes.total() - journal.exit_codes["0"],
    }


def _format_codes(requests: Sequence[Request]) -> str:
    codes = Counter(request.code for request in requests)
    return ", ".join(f"{code} {count}" for code, count in codes.most_common(MAX_CODES))
