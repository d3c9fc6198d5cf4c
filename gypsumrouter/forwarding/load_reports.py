"""Loads that upstreams report in their responses.

Load reports of peers, which count the requests that each router has sent, are kept in `loads`.
"""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.models import LoadReport

# Older reports say nothing about the present load: most requests of that time have ended.
REPORT_TTL_MS: Final = 1_000
# Half-life of a reported pace, both in the average and after the last report. A pace changes many
# times a second: a single one describes a moment, and an average over seconds describes the past.
PACE_HALF_LIFE_MS: Final = 300
# The pace of an upstream that does not report one.
USUAL_PACE: Final = 1.0
# Reported paces are limited to this range, so that a false one neither attracts nor repels all
# requests. An upstream that shares its machine with three equally busy ones is at the upper end.
MIN_PACE: Final = 0.5
MAX_PACE: Final = 4.0


class _PaceAverage:
    """Average of the paces that an upstream reported, weighted by their age."""

    __slots__ = ("_noted_ms", "_sum", "_weight")

    def __init__(self) -> None:
        self._noted_ms = 0
        self._sum = 0.0
        self._weight = 0.0

    def note(self, pace: float, *, now_ms: int) -> None:
        factor = self._get_decay(now_ms)
        self._sum = self._sum * factor + min(MAX_PACE, max(MIN_PACE, pace))
        self._weight = self._weight * factor + 1
        self._noted_ms = now_ms

    def get(self, *, now_ms: int) -> float:
        """Return the average, which approaches the usual pace after the last report."""
        deviation = self._sum / self._weight - USUAL_PACE
        return USUAL_PACE + deviation * self.get_certainty(now_ms=now_ms)

    def get_certainty(self, *, now_ms: int) -> float:
        """Return 1 at the time of the last report, decaying to 0."""
        if now_ms - self._noted_ms > REPORT_TTL_MS:
            return 0.0
        return self._get_decay(now_ms)

    def _get_decay(self, now_ms: int) -> float:
        return float(0.5 ** (max(0, now_ms - self._noted_ms) / PACE_HALF_LIFE_MS))


class _Reported:
    """The last report of an upstream, and the requests that this router has sent it since."""

    __slots__ = ("received_ms", "report", "sent_since")

    def __init__(self, *, report: LoadReport, received_ms: int) -> None:
        self.report = report
        self.received_ms = received_ms
        self.sent_since = 0


class LoadReports:
    """Keeps the last load report of each upstream, and an average of the paces it reported.

    A report counts the requests of all routers as the upstream sees them. A count of requests sent
    and ended differs from it when responses are lost: the upstream is done, but the router waits.
    """

    __slots__ = ("_by_upstream", "_paces")

    def __init__(self) -> None:
        self._by_upstream: dict[str, _Reported] = {}
        self._paces: dict[str, _PaceAverage] = {}

    def note(self, upstream: str, report: LoadReport, *, now_ms: int) -> None:
        """Record a report at the time of its receipt."""
        self._by_upstream[upstream] = _Reported(report=report, received_ms=now_ms)
        if report.pace is not None:
            self._paces.setdefault(upstream, _PaceAverage()).note(report.pace, now_ms=now_ms)

    def note_sent(self, upstream: str) -> None:
        """Count a request that is sent to an upstream after its last report."""
        reported = self._by_upstream.get(upstream)
        if reported is not None:
            reported.sent_since += 1

    def get_held(self, upstream: str, *, now_ms: int) -> int | None:
        """Return the requests that an upstream holds, None without a recent report.

        Requests that this router sent after the report are included.
        """
        reported = self._get_recent(upstream, now_ms)
        return None if reported is None else reported.report.held + reported.sent_since

    def get_age_ms(self, upstream: str, *, now_ms: int) -> int | None:
        """Return the age of an upstream's report, None without a recent one."""
        reported = self._get_recent(upstream, now_ms)
        return None if reported is None else now_ms - reported.received_ms

    def get_pace(self, upstream: str, *, now_ms: int) -> float:
        """Return how long work takes at an upstream, as a multiple of the usual time.

        It is an average over some hundred milliseconds, and 1.0 without a recent report.
        """
        average = self._paces.get(upstream)
        return USUAL_PACE if average is None else average.get(now_ms=now_ms)

    def get_pace_certainty(self, upstream: str, *, now_ms: int) -> float:
        """Return how current the pace is, from 1 right after a report to 0 if it is unknown."""
        average = self._paces.get(upstream)
        return 0.0 if average is None else average.get_certainty(now_ms=now_ms)

    def forget(self, upstream: str) -> None:
        """Drop the reports of an upstream that was removed."""
        self._by_upstream.pop(upstream, None)
        self._paces.pop(upstream, None)

    def _get_recent(self, upstream: str, now_ms: int) -> _Reported | None:
        reported = self._by_upstream.get(upstream)
        if reported is None or now_ms - reported.received_ms > REPORT_TTL_MS:
            return None
        return reported
