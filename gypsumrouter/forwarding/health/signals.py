"""Records what upstreams announce in responses, and which of them can't be reached."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState
from gypsumrouter.forwarding.const import SOURCE_RESPONSE
from gypsumrouter.forwarding.models import ResponseMetadata
from gypsumrouter.forwarding.odd_headers import OddHeaders
from gypsumrouter.forwarding.trackers import UpstreamTrackers
from gypsumrouter.mechanisms import Mechanism


class UpstreamSignals:
    """Passes on to the trackers what upstreams and peer routers tell of upstreams."""

    __slots__ = (
        "_clock",
        "_directory",
        "_ignored_reports",
        "_odd_headers",
        "_trackers",
        "_uses_load_reports",
    )

    def __init__(
        self,
        *,
        app: Application,
        directory: Directory,
        trackers: UpstreamTrackers,
        without: frozenset[Mechanism],
    ) -> None:
        self._clock = app.clock
        self._directory = directory
        self._trackers = trackers
        self._uses_load_reports = Mechanism.LOAD_REPORTS not in without
        self._ignored_reports = app.metrics.counter(
            "gypsumrouter_load_reports_ignored_total", "Malformed load reports of upstreams"
        )
        self._odd_headers = OddHeaders(metrics=app.metrics)

    def apply_response_metadata(self, entry: Entry, metadata: ResponseMetadata) -> None:
        """Apply the load, the back-off and the shutdown that an upstream announced in a response.

        Any response also ends the upstream's silence. The directory may be unavailable: if the
        announcement did not count, an upstream that shuts down would get new requests until it has
        stopped.
        """
        trackers = self._trackers
        if metadata.odd_headers:
            self._odd_headers.note(entry.upstream, metadata.odd_headers)
        if metadata.retry_after_ms is not None:
            trackers.backoffs.note(entry.incarnation, backoff_ms=metadata.retry_after_ms)
        if trackers.health.silence is not None:
            trackers.health.silence.note_response(entry.incarnation)
        if self._uses_load_reports:
            self._apply_load_report(entry, metadata)
        if metadata.draining:
            self._directory.note_leaving(entry.incarnation, source=SOURCE_RESPONSE)

    def _apply_load_report(self, entry: Entry, metadata: ResponseMetadata) -> None:
        if metadata.load is not None:
            self._trackers.load_reports.note(
                entry.incarnation, metadata.load, now_ms=self._clock.now_ms()
            )
        elif metadata.reports_load:
            self._ignored_reports.inc()

    def note_unreachable(self, entry: Entry, *, reason: str, refused: bool) -> None:
        """Record a failed connection attempt; `refused` if the host actively refused it."""
        self._trackers.health.note_unreachable(entry.incarnation, reason=reason, refused=refused)
        if refused:
            self._trackers.slow_start.note_refused(entry)

    def apply_peer_refusals(self, upstreams: Iterable[str]) -> None:
        """Record upstreams that recently refused connections of peer routers."""
        self._trackers.health.apply_peer_refusals(upstreams)
        for upstream in upstreams:
            entry = self._directory.get_incarnation(upstream)
            if entry is not None and entry.state is not EntryState.GONE:
                self._trackers.slow_start.note_refused(entry)

    def note_cached(self, *, part: int, upstream: str) -> None:
        """Record a prompt part that an upstream reports as cached."""
        self._trackers.cache_index.note_cached(
            part=part, upstream=upstream, now_ms=self._clock.now_ms()
        )
