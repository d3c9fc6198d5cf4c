"""Counts of the bytes sent and received by kind of frame."""

from __future__ import annotations

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
