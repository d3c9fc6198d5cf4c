"""Journal: one structured log line for each decision, within a bound on their number."""

from __future__ import annotations

from gypsumrouter.journal.events import (
    EVENTS,
    AttemptEnded,
    AttemptSent,
    ConfigurationAccepted,
    DependencyLost,
    DependencyRegained,
    Event,
    HeldPartsTold,
    LinesDropped,
    PeerNews,
    ProcessStarted,
    ProcessStopped,
    ProcessStopping,
    RequestEnded,
    RequestPlaced,
    RequestRefused,
    SettingsReloaded,
    StreamResumed,
    SuspectNoted,
    UpstreamChanged,
    UpstreamHealth,
)
from gypsumrouter.journal.journal import Journal

__all__ = [
    "EVENTS",
    "AttemptEnded",
    "AttemptSent",
    "ConfigurationAccepted",
    "DependencyLost",
    "DependencyRegained",
    "Event",
    "HeldPartsTold",
    "Journal",
    "LinesDropped",
    "PeerNews",
    "ProcessStarted",
    "ProcessStopped",
    "ProcessStopping",
    "RequestEnded",
    "RequestPlaced",
    "RequestRefused",
    "SettingsReloaded",
    "StreamResumed",
    "SuspectNoted",
    "UpstreamChanged",
    "UpstreamHealth",
]
