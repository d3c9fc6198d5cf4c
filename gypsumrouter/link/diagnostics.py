"""Counts of the bytes by kind of frame, and the diagnostics of links."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gypsumrouter.core import Application
from gypsumrouter.helpers.metrics import Counter, Labels
from gypsumrouter.link.const import KIND_SLOTS, PAYLOAD_KINDS, Kind

_SENT = "sent"
_RECEIVED = "received"


class ByteCounts:
    """Bytes sent and received; the lists are indexed by the kind of frame."""

    __slots__ = ("received", "sent")

    def __init__(self) -> None:
        self.sent: list[int] = [0] * KIND_SLOTS
        self.received: list[int] = [0] * KIND_SLOTS

    def publish(self, counter: Counter) -> None:
        """Copy the counts into the metric `counter`."""
        for kind in Kind:
            counter.values[_make_labels(kind, _SENT)] = self.sent[kind]
            counter.values[_make_labels(kind, _RECEIVED)] = self.received[kind]

    def sum_control(self) -> tuple[int, int]:
        """Return the bytes sent and received in frames other than requests and answers."""
        kinds = [kind for kind in Kind if kind not in PAYLOAD_KINDS]
        return sum(self.sent[kind] for kind in kinds), sum(self.received[kind] for kind in kinds)

    def dump(self) -> dict[str, dict[str, int]]:
        """Return the counts that are not zero, by kind, for the state dump."""
        return {
            kind.name.lower(): {_SENT: self.sent[kind], _RECEIVED: self.received[kind]}
            for kind in Kind
            if self.sent[kind] or self.received[kind]
        }


def _make_labels(kind: Kind, direction: str) -> Labels:
    return (("kind", kind.name.lower()), ("direction", direction))


_SECTION: Final = "link"
_METRIC_BYTES: Final = "gypsumrouter_link_bytes_total"
_METRIC_LINKS: Final = "gypsumrouter_link_open"


class LinkDiagnostics:
    """Metrics and dump section that the server and the pool of a process share."""

    __slots__ = ("_app", "_counter", "_links", "_parts", "counts")

    def __init__(self, *, app: Application) -> None:
        self.counts = ByteCounts()
        self._app = app
        self._links: list[Callable[[], int]] = []
        self._parts: dict[str, Callable[[], object]] = {}
        self._counter = app.metrics.counter(
            _METRIC_BYTES, "Bytes on the links between processes, by kind of frame"
        )
        app.metrics.gauge(_METRIC_LINKS, "Open links", lambda: {(): self._count_links()})
        app.add_dump_section(_SECTION, self._dump)

    def add_part(
        self, name: str, part: Callable[[], object], count_links: Callable[[], int]
    ) -> None:
        """Add a part to the dump section, and the number of its open links to the gauge."""
        self._parts[name] = part
        self._links.append(count_links)

    def publish(self) -> None:
        """Update the byte metrics."""
        self.counts.publish(self._counter)

    def _count_links(self) -> int:
        return sum(count() for count in self._links)

    def _dump(self) -> object:
        sent, received = self.counts.sum_control()
        return {
            "incarnation": self._app.incarnation,
            "open": self._count_links(),
            "bytes": self.counts.dump(),
            "control_bytes": {"sent": sent, "received": received},
            **{name: part() for name, part in sorted(self._parts.items())},
        }
