"""Placers of routers in front of engines, without a network."""

from __future__ import annotations

from typing import Final

from bench.replay_placer import add_entries, make_ready_entry, make_replay_placer
from gypsumrouter.const import Role
from gypsumrouter.core import Application
from gypsumrouter.directory import Directory
from gypsumrouter.forwarding.health.silences import SilenceTracker
from gypsumrouter.forwarding.health.tracker import HealthTracker
from gypsumrouter.forwarding.placement import Cap
from gypsumrouter.forwarding.placer import Placer
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
    placer = make_replay_placer(
        app=app,
        journal=journal,
        directory=directory,
        cap=CAP,
        health=HealthTracker(
            clock=clock,
            journal=journal,
            silence=SilenceTracker(clock=clock) if tracks_silence else None,
        ),
        without=without,
    )
    names = (f"i-{number}" for number in range(ENGINES))
    add_entries(directory, (make_ready_entry(n, service=SERVICE, slots=SLOTS) for n in names))
    return placer
