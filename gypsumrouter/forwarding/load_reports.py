"""Loads that upstreams report in their responses."""

from __future__ import annotations

from typing import Final

from gypsumrouter.forwarding.models import LoadReport

# Older reports say nothing about the present load: most requests of that time have ended.
REPORT_TTL_MS: Final = 1_000


class _Reported:
    """The last report of an upstream, and the requests that this router has sent it since."""

    __slots__ = ("received_ms", "report", "sent_since")

    def __init__(self, *, report: LoadReport, received_ms: int) -> None:
        self.report = report
        self.received_ms = received_ms
        self.sent_since = 0


class LoadReports:
    """Keeps the last load report of each upstream.

    A report counts the requests of all routers as the upstream sees them. A count of requests sent
    and ended differs from it when responses are lost: the upstream is done, but the router waits.
    """

    __slots__ = ("_by_upstream",)

    def __init__(self) -> None:
        self._by_upstream: dict[str, _Reported] = {}

    def note(self, upstream: str, report: LoadReport, *, now_ms: int) -> None:
        """Record a report at the time of its receipt."""
        self._by_upstream[upstream] = _Reported(report=report, received_ms=now_ms)

    def note_sent(self, upstream: str) -> None:
        """Count a request that is sent to an upstream after its last report."""
        reported = self._by_upstream.get(upstream)
        if reported is not None:
            reported.sent_since += 1

    def get_held(self, upstream: str, *, now_ms: int) -> int | None:
        """Return the requests that an upstream holds, None without a recent report.

        Requests that this router sent after the report are included.
        """
        reported = self._by_upstream.get(upstream)
        if reported is None or now_ms - reported.received_ms > REPORT_TTL_MS:
            return None
        return reported.report.held + reported.sent_since

    def get_age_ms(self, upstream: str, *, now_ms: int) -> int | None:
        """Return the age of an upstream's report, None without a recent one."""
        reported = self._by_upstream.get(upstream)
        if reported is None or now_ms - reported.received_ms > REPORT_TTL_MS:
            return None
        return now_ms - reported.received_ms

    def forget(self, upstream: str) -> None:
        """Drop the report of an upstream that was removed."""
        self._by_upstream.pop(upstream, None)
