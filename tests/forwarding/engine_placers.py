"""Placers of routers in front of engines, without a network."""

from __future__ import annotations

from typing import Final

from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory, Entry, EntryState, Evacuations, Record
from gypsumrouter.forwarding.backoff import BackoffTracker
from gypsumrouter.forwarding.health import HealthTracker
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.placer import Placer
from gypsumrouter.forwarding.silence_tracker import SilenceTracker
from gypsumrouter.forwarding.slow_start import SlowStartLimiter
from gypsumrouter.instances import Address
from gypsumrouter.journal import Journal
from gypsumrouter.mechanisms import Mechanism
from gypsumrouter.util.clock import ManualClock

SERVICE: Final = "models"
ENGINES: Final = 24
SLOTS: Final = 64
CAP: Final = Cap(factor=2.0, slack=2.0)


def make_placer(
    clock: ManualClock, *, without: frozenset[Mechanism] = frozenset(), tracks_silence: bool = False
) -> Placer:
    """Return a placer that knows ENGINES engines of SERVICE."""
    app = Application(name="r", role=Role.FORWARDER, data_centre="a", region="r", clock=clock)
    journal = Journal(app=app)
    directory = Directory(app=app, journal=journal)
    placer = Placer(
        app=app,
        directory=directory,
        cap=CAP,
        health=HealthTracker(
            clock=clock,
            journal=journal,
            silence=SilenceTracker(clock=clock) if tracks_silence else None,
        ),
        backoffs=BackoffTracker(clock=clock, journal=journal),
        evacuations=Evacuations(app=app, journal=journal),
        slow_start=SlowStartLimiter(clock=clock, journal=journal),
        without=without,
    )
    for number in range(ENGINES):
        entry = Entry(
            upstream=f"i-{number}",
            state=EntryState.READY,
            service=SERVICE,
            address=Address(host="10.0.0.1", port=80),
            data_centre="a",
            slots=SLOTS,
        )
        directory.merge(Record(revision=number + 1, entry=entry), source="test")
    return placer
